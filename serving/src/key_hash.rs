//! Short hashes of keys that are the same on every node.

/// Returns the first 64 bits of the BLAKE3 hash of a key.
pub fn key_hash(key: &[u8]) -> u64 {
    key_hash_of_parts([key])
}

/// Returns the hash of a key that is given in parts.
pub fn key_hash_of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
