//! Short hashes of keys that are the same on every node.

/// Returns the first 64 bits of the BLAKE3 hash of a key.
pub fn key_hash(key: &[u8]) -> u64 {
    let hash = blake3::hash(key);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
