//! The fleet key that authenticates messages between nodes.
//!
//! The key file has one key of 64 hexadecimal digits per line. Messages are signed with the first key
//! and verified against all keys. To rotate a key, append the new key to the files of all nodes, then
//! move it to the first line, then remove the old key.

use std::path::Path;

/// Length of an authentication tag in bytes.
pub const TAG_BYTES: usize = 16;
/// Length of a key in bytes.
const KEY_BYTES: usize = 32;
/// Maximum number of keys in a file.
const MAX_KEYS: usize = 4;

/// Errors of reading a fleet key file.
#[derive(Debug, thiserror::Error)]
pub enum FleetKeyError {
    /// The file can't be read.
    #[error("the fleet key file can't be read")]
    Read(#[source] std::io::Error),
    /// A line isn't a valid key.
    #[error("line {line} of the fleet key file is not 64 hexadecimal digits")]
    InvalidKey {
        /// Line number, starting at 1.
        line: usize,
    },
    /// The file contains no key or more than `MAX_KEYS`.
    #[error("the fleet key file contains {found} keys; allowed are 1 to {MAX_KEYS}")]
    WrongCount {
        /// Number of keys in the file.
        found: usize,
    },
}

/// Keys shared by all nodes of a fleet; the first one signs.
#[derive(Clone)]
pub struct FleetKey {
    keys: Vec<[u8; KEY_BYTES]>,
}

impl FleetKey {
    /// Reads and parses a key file.
    pub fn read(path: &Path) -> Result<Self, FleetKeyError> {
        let text = std::fs::read_to_string(path).map_err(FleetKeyError::Read)?;
        Self::parse(&text)
    }

    /// Parses the contents of a key file; empty lines are skipped.
    pub fn parse(text: &str) -> Result<Self, FleetKeyError> {
        let mut keys = vec![];
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() {
                continue;
            }
            let key = blake3::Hash::from_hex(line);
            let key = key.map_err(|_| FleetKeyError::InvalidKey { line: index + 1 })?;
            keys.push(*key.as_bytes());
        }
        match keys.len() {
            1..=MAX_KEYS => Ok(Self { keys }),
            found => Err(FleetKeyError::WrongCount { found }),
        }
    }

    /// Returns the authentication tag of a message, computed with the signing key.
    pub fn sign(&self, message: &[u8]) -> [u8; TAG_BYTES] {
        compute_tag(&self.keys[0], message)
    }

    /// Returns whether any key yields this tag for the message.
    ///
    /// Each comparison takes constant time.
    pub fn verify(&self, message: &[u8], expected: &[u8; TAG_BYTES]) -> bool {
        self.keys.iter().any(|key| constant_time_eq(&compute_tag(key, message), expected))
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "FleetKey({} keys)", self.keys.len())
    }
}

fn compute_tag(key: &[u8; KEY_BYTES], message: &[u8]) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&blake3::keyed_hash(key, message).as_bytes()[..TAG_BYTES]);
    tag
}

/// Compares two tags in constant time.
fn constant_time_eq(a: &[u8; TAG_BYTES], b: &[u8; TAG_BYTES]) -> bool {
    a.iter().zip(b).fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
}
