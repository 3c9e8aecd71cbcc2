//! The leading blocks of prompts, by which requests with the same beginning are recognized.

use damaskhatch_policy::prelude::*;
use damaskhatch_policy::schedule::message::{BLOCK_TOKENS, MAX_BLOCKS};
use damaskhatch_policy::strike::{self, MAX_PARTS};

/// The length of one prompt block in bytes, at an assumed 4 bytes per token.
const BLOCK_BYTES: usize = BLOCK_TOKENS as usize * 4;

/// Computes the cumulative hashes of the prompt's leading complete blocks.
pub fn hash_blocks(prompt: &str) -> Vec<u32> {
    let mut hasher = blake3::Hasher::new();
    let blocks = prompt.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    let digests = blocks.map(|block| {
        hasher.update(block);
        let digest = hasher.finalize();
        let bytes = digest.as_bytes();
        u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
    });
    digests.collect()
}

/// The fingerprints of the prompt's leading blocks, without the last one, which other requests hardly
/// have.
///
/// Each block's stands for all blocks up to it.
pub fn shared_blocks(service: Tag, prompt: &str) -> Vec<Tag> {
    let mut blocks = hash_blocks(prompt);
    blocks.pop();
    let shared = blocks.iter().take(MAX_PARTS);
    shared.map(|block| strike::part(service, &block.to_le_bytes())).collect()
}
