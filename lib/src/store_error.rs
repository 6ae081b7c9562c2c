//! Errors of the store client, classified by whether the call may have taken effect.

use crate::call_queue::QueueFull;
use crate::platform::PlatformError;

/// Error of a call to the platform's store.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The store is considered unavailable; the call was not made.
    #[error("the store is unavailable")]
    Unavailable,
    /// The call queue was full; the call was not made.
    #[error(transparent)]
    Shed(#[from] QueueFull),
    /// No attempt of the call had an effect.
    #[error("the store did not apply the call")]
    NotApplied(#[source] PlatformError),
    /// The response to a write was lost and the object could not be read back: the write may have
    /// taken effect, or may still do so. Repeating it with the same value and version resolves
    /// this.
    #[error("it is unclear whether the write took effect")]
    Unclear(#[source] PlatformError),
}

impl StoreError {
    /// Tells whether the call may have had an effect, or may still have one.
    pub fn may_have_effect(&self) -> bool {
        matches!(self, Self::Unclear(_))
    }
}
