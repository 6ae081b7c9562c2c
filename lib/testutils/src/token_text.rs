//! Deterministic output of the fake engines, a pure function of model, adapter and prompt.

use guavaladder_lib::generated::engine::FinishReason;

/// Marker in a prompt that crashes the group that processes it.
pub const POISON_MARKER: &str = "<<crash>>";

/// Marker in a prompt, followed by the length of the output in tokens.
pub const LENGTH_MARKER: &str = "length:";

/// Minimum output length of a prompt without a [`LENGTH_MARKER`].
const MIN_LENGTH: u32 = 8;

/// Number of different output lengths of prompts without a [`LENGTH_MARKER`].
const LENGTH_SPREAD: u64 = 57;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Output of a model for one prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelOutput {
    seed: u64,
    /// Total number of tokens.
    pub length: u32,
    /// Why the output ends after `length` tokens.
    pub reason: FinishReason,
}

impl ModelOutput {
    /// Returns the output for a prompt, limited to `max_tokens`.
    pub fn new(
        model: &str,
        version: &str,
        adapter: Option<&str>,
        prompt: &str,
        max_tokens: u32,
    ) -> Self {
        let mut seed = FNV_OFFSET;
        for part in [model, version, adapter.unwrap_or_default(), prompt] {
            seed = fnv(fnv(seed, part.as_bytes()), &[0xff]);
        }
        let full_length =
            marked_length(prompt).unwrap_or(MIN_LENGTH + (mix(seed) % LENGTH_SPREAD) as u32);
        let reason =
            if full_length <= max_tokens { FinishReason::Stop } else { FinishReason::Length };
        Self { seed, length: full_length.min(max_tokens), reason }
    }

    /// Returns the token at an index.
    pub fn token(&self, index: u32) -> String {
        format!("{:06x} ", mix(self.seed ^ u64::from(index)) & 0xff_ffff)
    }

    /// Returns the tokens from index `from` up to `to`, which is excluded and capped at the length.
    pub fn tokens(&self, from: u32, to: u32) -> Vec<String> {
        (from..to.min(self.length)).map(|index| self.token(index)).collect()
    }

    /// Returns the complete text.
    pub fn text(&self) -> String {
        self.tokens(0, self.length).concat()
    }
}

/// Returns the response body of a plain service to a call.
pub fn plain_response(service: &str, path: &str, body: &str) -> String {
    let hash =
        [service, path, body].iter().fold(FNV_OFFSET, |hash, part| fnv(hash, part.as_bytes()));
    format!("{{\"done\":\"{:016x}\"}}", mix(hash))
}

fn marked_length(prompt: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(LENGTH_MARKER)?;
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}

fn fnv(mut hash: u64, bytes: &[u8]) -> u64 {
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}

/// Mixes the bits of a value with the finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
