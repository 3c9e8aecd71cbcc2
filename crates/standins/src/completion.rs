//! The completion that a stand-in engine generates for a prompt.
//!
//! It depends on the prompt alone, so that a caller can check every byte it receives.

/// Bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// The words that tokens are built from.
const WORDS: [&str; 16] = [
    "drum",
    "solvent",
    "batch",
    "release",
    "depot",
    "manifest",
    "pickup",
    "pallet",
    "hazard",
    "waste",
    "lot",
    "audit",
    "canton",
    "summary",
    "franchise",
    "dock",
];

/// Returns the token at `index` of the completion of `prompt`.
///
/// The index is part of the text, so that a missing, repeated or reordered token shows.
pub fn token(prompt: &str, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_le_bytes());
    let digest = hasher.finalize();
    let [first, second, ..] = *digest.as_bytes();
    let word = WORDS[usize::from(first) % WORDS.len()];
    format!("{word}{second:02x}-{index} ")
}

/// Returns the first `tokens` tokens of the completion of `prompt`.
pub fn text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Counts the tokens of a prompt, the last of which may be shorter than the others.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}
