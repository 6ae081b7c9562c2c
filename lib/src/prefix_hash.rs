//! Hash that identifies a prompt prefix in the cache events of engines.

/// Length of a prompt's prefix in bytes.
pub const PREFIX_BYTES: usize = 256;

/// Hashes the prefix of a prompt.
pub fn prefix_hash(prompt: &str) -> u64 {
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let hash = blake3::hash(prefix);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
