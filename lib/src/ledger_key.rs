//! Keys of requests that run at most once: `<unix ms>-<random>`, with the time at which the caller
//! made the key, so that the ledger can forget keys that no node accepts any more.

use crate::generated::requests::ErrorCode;
use crate::request::RequestError;
use std::time::Duration;

/// Time for which a key is accepted after it was made.
pub const KEY_WINDOW: Duration = Duration::from_secs(600);
/// Greatest difference between the clocks of callers and nodes.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);
/// Lengths that the random part may have.
const RANDOM_LEN: std::ops::RangeInclusive<usize> = 8..=48;
/// Digits of the time.
const TIME_DIGITS: usize = 13;

/// A key with its time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerKeyTime {
    /// Time at which the caller made the key, since the Unix epoch.
    pub made: Duration,
}

impl LedgerKeyTime {
    /// Reads the time of a key; `None` when the key does not have the form.
    pub fn parse(key: &str) -> Option<Self> {
        let (time, random) = key.split_once('-')?;
        let is_time = time.len() == TIME_DIGITS && time.bytes().all(|b| b.is_ascii_digit());
        let is_word = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        let is_random = RANDOM_LEN.contains(&random.len()) && random.bytes().all(is_word);
        let made = Duration::from_millis(time.parse().ok()?);
        (is_time && is_random).then_some(Self { made })
    }

    /// Checks that the ledger still remembers, and will remember, what became of the key.
    pub fn check_window(&self, unix: Duration) -> Result<(), RequestError> {
        if self.made > unix + MAX_CLOCK_SKEW {
            let message = "the time in the key lies in the future";
            return Err(
                RequestError::not_run(ErrorCode::KeyOutOfWindow, message).confirmed_by_ledger()
            );
        }
        if unix > self.made + KEY_WINDOW {
            // A key that old may have been used; what became of it may be forgotten.
            let message = format!("the key is older than {KEY_WINDOW:?}");
            return Err(RequestError::unknown(ErrorCode::KeyOutOfWindow, message));
        }
        Ok(())
    }

    /// Tells whether the ledger may forget the key, whatever the differences between clocks.
    pub fn is_forgettable(&self, unix: Duration) -> bool {
        unix > self.made + KEY_WINDOW + 2 * MAX_CLOCK_SKEW
    }
}

/// Checks a key's form and window.
pub fn check(key: &str, unix: Duration) -> Result<LedgerKeyTime, RequestError> {
    let Some(time) = LedgerKeyTime::parse(key) else {
        let message = "a key is <unix ms>-<random>, with 13 digits and 8 to 48 letters or digits";
        return Err(RequestError::not_run(ErrorCode::KeyMalformed, message).confirmed_by_ledger());
    };
    time.check_window(unix)?;
    Ok(time)
}
