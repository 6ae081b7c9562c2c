//! Hashes of bearer tokens, as the configuration keeps them.

/// Returns the hash of a token in the form that the configuration holds.
pub fn hash_token(token: &str) -> String {
    format!("blake3:{}", blake3::hash(token.as_bytes()).to_hex())
}

/// Tells whether a token has this hash, in constant time.
pub fn is_token(token: &str, expected: &str) -> bool {
    let Some(hex) = expected.strip_prefix("blake3:") else { return false };
    match blake3::Hash::from_hex(hex) {
        // Comparing `blake3::Hash` values takes constant time.
        Ok(expected) => blake3::hash(token.as_bytes()) == expected,
        Err(_) => false,
    }
}
