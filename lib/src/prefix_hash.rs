//! The hash by which engines and nodes name a prompt prefix in cache events.

/// Number of leading bytes of a prompt that make up its prefix.
pub const PREFIX_BYTES: usize = 256;

/// Returns the hash of a prompt's prefix.
pub fn prefix_hash(prompt: &str) -> u64 {
    let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    let hash = blake3::hash(prefix);
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}
