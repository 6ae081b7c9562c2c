//! The fleet key that authenticates messages between nodes.
//!
//! The key file has one key of 64 hexadecimal digits a line. The first signs and all are accepted,
//! so a rotation adds the new key below, then moves it to the top, then removes the old one.

use std::path::Path;

/// Length of an authentication tag in bytes.
pub const TAG_BYTES: usize = 16;
/// Length of a key in bytes.
const KEY_BYTES: usize = 32;
/// Keys that a file may hold.
const MAX_KEYS: usize = 4;

/// Errors of reading a fleet key.
#[derive(Debug, thiserror::Error)]
pub enum FleetKeyError {
    /// The file cannot be read.
    #[error("the fleet key file cannot be read")]
    Read(#[source] std::io::Error),
    /// A line is not a key.
    #[error("line {line} of the fleet key file is not 64 hexadecimal digits")]
    NotAKey {
        /// Number of the line, from 1.
        line: usize,
    },
    /// The file holds no key or too many.
    #[error("the fleet key file holds {found} keys; allowed are 1 to {MAX_KEYS}")]
    WrongCount {
        /// Number of keys found.
        found: usize,
    },
}

/// The keys of a fleet.
#[derive(Clone)]
pub struct FleetKey {
    keys: Vec<[u8; KEY_BYTES]>,
}

impl FleetKey {
    /// Reads a key file.
    pub fn read(path: &Path) -> Result<Self, FleetKeyError> {
        let text = std::fs::read_to_string(path).map_err(FleetKeyError::Read)?;
        Self::parse(&text)
    }

    /// Parses the text of a key file; empty lines are skipped.
    pub fn parse(text: &str) -> Result<Self, FleetKeyError> {
        let mut keys = vec![];
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() {
                continue;
            }
            let key = blake3::Hash::from_hex(line);
            let key = key.map_err(|_| FleetKeyError::NotAKey { line: index + 1 })?;
            keys.push(*key.as_bytes());
        }
        match keys.len() {
            1..=MAX_KEYS => Ok(Self { keys }),
            found => Err(FleetKeyError::WrongCount { found }),
        }
    }

    /// Returns the tag of a message under the signing key.
    pub fn sign(&self, message: &[u8]) -> [u8; TAG_BYTES] {
        tag(&self.keys[0], message)
    }

    /// Tells whether a tag belongs to a message under any key, in constant time for each key.
    pub fn verify(&self, message: &[u8], expected: &[u8; TAG_BYTES]) -> bool {
        self.keys.iter().any(|key| is_same(&tag(key, message), expected))
    }
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "FleetKey({} keys)", self.keys.len())
    }
}

fn tag(key: &[u8; KEY_BYTES], message: &[u8]) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&blake3::keyed_hash(key, message).as_bytes()[..TAG_BYTES]);
    tag
}

/// Compares tags without an early exit.
fn is_same(a: &[u8; TAG_BYTES], b: &[u8; TAG_BYTES]) -> bool {
    a.iter().zip(b).fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
}
