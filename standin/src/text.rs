//! The text that engines generate.

/// Returns the text of one token, which depends only on version, request id and index.
pub fn token_text(version: &str, id: &str, index: u32) -> String {
    format!("{version}:{id}:{index} ")
}

/// Returns the text of the tokens `0..tokens`.
pub fn answer_text(version: &str, id: &str, tokens: u32) -> String {
    (0..tokens).map(|i| token_text(version, id, i)).collect()
}
