//! Keys of a request under which crashes of replicas are recorded: the fingerprints of the whole request
//! and of the parts of its prompt that other requests may share.
//!
//! The last part of a prompt belongs to its request alone and has no key. A part has a key for each model,
//! since the replicas of one model tell nothing about those of another.

use crate::key_hash::key_hash;
use std::sync::Arc;

/// Begins the text that is hashed for a part. The text of a whole request begins with its method, which
/// has no space.
const PART_DOMAIN: &[u8] = b"prompt part\0";

/// What a key stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSubject {
    /// The whole request.
    Request,
    /// The part of the prompt at this position; 1 is the first.
    Part(usize),
}

impl CrashSubject {
    /// Returns the name in events and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Part(_) => "part",
        }
    }

    /// Returns the position of a part; 0 for the whole request.
    pub fn position(self) -> u64 {
        match self {
            Self::Request => 0,
            Self::Part(position) => position as u64,
        }
    }
}

/// Keys of one request; clones share them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashKeys {
    request: u64,
    /// All keys with what they stand for, the whole request first.
    keys: Arc<[(u64, CrashSubject)]>,
}

impl CrashKeys {
    /// Returns the keys of a request with this fingerprint and these parts of its prompt.
    pub fn new(request: u64, model: Option<&str>, parts: &[u128]) -> Self {
        let mut keys = vec![(request, CrashSubject::Request)];
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        for (index, part) in shared.iter().enumerate() {
            let key = part_fingerprint(model, *part);
            if keys.iter().all(|(known, _)| *known != key) {
                keys.push((key, CrashSubject::Part(index + 1)));
            }
        }
        Self { request, keys: keys.into() }
    }

    /// Returns the fingerprint of the whole request.
    pub fn request(&self) -> u64 {
        self.request
    }

    /// Returns all keys with what they stand for, the whole request first.
    pub fn all(&self) -> impl Iterator<Item = (u64, CrashSubject)> {
        self.keys.iter().copied()
    }

    /// Returns whether a fingerprint is one of the keys.
    pub fn contains(&self, fingerprint: u64) -> bool {
        self.keys.iter().any(|(key, _)| *key == fingerprint)
    }
}

/// Returns the fingerprint of a part of prompts for a model.
fn part_fingerprint(model: Option<&str>, part: u128) -> u64 {
    let mut text = PART_DOMAIN.to_vec();
    text.extend_from_slice(model.unwrap_or_default().as_bytes());
    text.push(0);
    text.extend_from_slice(&part.to_be_bytes());
    key_hash(&text)
}
