//! The text that the fake engines generate: a pure function of the model and the prompt.

use guavaladder_lib::generated::engine::FinishReason;

/// Word in a prompt that crashes the group that runs it.
pub const POISON_MARKER: &str = "<<crash>>";

/// Word before a number in a prompt that sets the length of the answer in tokens.
pub const LENGTH_MARKER: &str = "length:";

/// Shortest answer of a prompt that does not set a length.
const MIN_LENGTH: u32 = 8;

/// Number of different lengths of such answers.
const LENGTH_SPREAD: u64 = 57;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The answer of one model to one prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    seed: u64,
    /// Number of tokens of the whole answer.
    pub length: u32,
    /// Why it ends there.
    pub reason: FinishReason,
}

impl Answer {
    /// Returns the answer to a prompt.
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
        let natural =
            marked_length(prompt).unwrap_or(MIN_LENGTH + (mix(seed) % LENGTH_SPREAD) as u32);
        let reason = if natural <= max_tokens { FinishReason::Stop } else { FinishReason::Length };
        Self { seed, length: natural.min(max_tokens), reason }
    }

    /// Returns the token at an index.
    pub fn token(&self, index: u32) -> String {
        format!("{:06x} ", mix(self.seed ^ u64::from(index)) & 0xff_ffff)
    }

    /// Returns the tokens of a range.
    pub fn tokens(&self, from: u32, to: u32) -> Vec<String> {
        (from..to.min(self.length)).map(|index| self.token(index)).collect()
    }

    /// Returns the whole text.
    pub fn text(&self) -> String {
        self.tokens(0, self.length).concat()
    }
}

/// Returns the answer of a plain service to a call.
pub fn plain_answer(service: &str, path: &str, body: &str) -> String {
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

/// The finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
