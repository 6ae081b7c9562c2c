//! Errors of the store client, by what they say about the effect of the call.

use crate::call_queue::QueueFull;
use crate::platform::PlatformError;

/// Error of a call to the platform's store.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum StoreError {
    /// The store is believed to be away; the call was not made.
    #[error("the store is unavailable")]
    Unavailable,
    /// The queue shed the call; it was not made.
    #[error(transparent)]
    Shed(#[from] QueueFull),
    /// No attempt of the call had an effect.
    #[error("the store did not take the call")]
    NotTaken(#[source] PlatformError),
    /// A write whose answer was lost and that could not be read back: it may have taken effect, or
    /// may still do so. Writing the same text again under the same version resolves it.
    #[error("it is unclear whether the write took effect")]
    Unclear(#[source] PlatformError),
}

impl StoreError {
    /// Tells whether the call may have had an effect, or may still have one.
    pub fn may_have_effect(&self) -> bool {
        matches!(self, Self::Unclear(_))
    }
}
