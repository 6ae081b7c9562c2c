//! Hashing of bearer tokens; the configuration stores only the hashes.

/// Returns the hash of a token in the form used in the configuration: `blake3:` and hexadecimal digits.
pub fn hash_token(token: &str) -> String {
    format!("blake3:{}", blake3::hash(token.as_bytes()).to_hex())
}

/// Returns whether a token has the expected hash; the comparison takes constant time.
pub fn verify_token(token: &str, expected: &str) -> bool {
    let Some(hex) = expected.strip_prefix("blake3:") else { return false };
    match blake3::Hash::from_hex(hex) {
        // Comparing `blake3::Hash` values takes constant time.
        Ok(expected) => blake3::hash(token.as_bytes()) == expected,
        Err(_) => false,
    }
}
