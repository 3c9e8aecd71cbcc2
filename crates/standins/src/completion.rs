//! The text that a stand-in engine generates for a prompt, known in advance.

/// Bytes that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Words that tokens are drawn from.
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

/// The token at `index` of the answer to `prompt`.
pub fn token(prompt: &str, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prompt.as_bytes());
    hasher.update(&index.to_le_bytes());
    let digest = hasher.finalize();
    let [first, second, ..] = *digest.as_bytes();
    let word = WORDS[usize::from(first) % WORDS.len()];
    format!("{word}{second:02x}-{index} ")
}

/// The whole answer of `tokens` tokens.
pub fn text(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// The tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u32
}
