//! Idempotency keys of requests that run at most once, in the form `<unix ms>-<random>`. The key
//! contains its creation time, so that the ledger can remove keys that no node accepts any more.

use crate::generated::requests::ErrorCode;
use crate::request::RequestError;
use std::time::Duration;

/// Time for which a key is accepted after its creation.
pub const KEY_WINDOW: Duration = Duration::from_secs(600);
/// Largest tolerated difference between the clocks of callers and nodes, and between nodes.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);
/// Allowed lengths of the random part of a key, in bytes.
const RANDOM_LEN: std::ops::RangeInclusive<usize> = 8..=48;
/// Number of digits of the creation time in a key.
const TIME_DIGITS: usize = 13;

/// Creation time that a key contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerKeyTime {
    /// Time at which the caller created the key, since the Unix epoch.
    pub created: Duration,
}

impl LedgerKeyTime {
    /// Parses a key; `None` if it is malformed.
    pub fn parse(key: &str) -> Option<Self> {
        let (time, random) = key.split_once('-')?;
        let is_time = time.len() == TIME_DIGITS && time.bytes().all(|b| b.is_ascii_digit());
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        let is_random = RANDOM_LEN.contains(&random.len()) && random.bytes().all(is_allowed);
        let created = Duration::from_millis(time.parse().ok()?);
        (is_time && is_random).then_some(Self { created })
    }

    /// Checks that the key is neither too old nor too far in the future, so that its ledger entry,
    /// if there is one, has not been removed.
    pub fn check_window(&self, unix: Duration) -> Result<(), RequestError> {
        if self.created > unix + MAX_CLOCK_SKEW {
            let message = "the creation time in the key is in the future";
            return Err(
                RequestError::not_run(ErrorCode::KeyOutOfWindow, message).confirmed_by_ledger()
            );
        }
        if unix > self.created + KEY_WINDOW {
            // The key may have been used and its ledger entry removed since.
            let message = format!("the key was created more than {KEY_WINDOW:?} ago");
            return Err(RequestError::unknown(ErrorCode::KeyOutOfWindow, message));
        }
        Ok(())
    }

    /// Returns whether no node accepts the key any more, allowing for clock skew, so that its
    /// ledger entry may be removed.
    pub fn is_expired(&self, unix: Duration) -> bool {
        unix > self.created + KEY_WINDOW + 2 * MAX_CLOCK_SKEW
    }
}

/// Checks that a key is well formed and that its creation time is within the accepted window.
pub fn check(key: &str, unix: Duration) -> Result<LedgerKeyTime, RequestError> {
    let Some(time) = LedgerKeyTime::parse(key) else {
        let message =
            "the key must be <unix ms>-<random>: 13 digits, then 8 to 48 of A-Z, a-z, 0-9, - and _";
        return Err(RequestError::not_run(ErrorCode::KeyMalformed, message).confirmed_by_ledger());
    };
    time.check_window(unix)?;
    Ok(time)
}
