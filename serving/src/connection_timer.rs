//! Timer of a connection for the deadline of its current phase, which changes with each request.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

/// Timer for a deadline that may change between polls. It is reset only to an earlier deadline, or once it has
/// expired, so that a deadline that moves on with each request costs nothing.
#[derive(Debug, Default)]
pub struct ConnectionTimer {
    timer: Option<Pin<Box<Sleep>>>,
}

impl ConnectionTimer {
    /// Returns a timer that has not been set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether `deadline` has passed; otherwise the task is woken at or before it.
    pub fn poll(&mut self, cx: &mut Context<'_>, deadline: Option<Instant>) -> Poll<()> {
        let Some(deadline) = deadline else { return Poll::Pending };
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if timer.deadline() > deadline {
            timer.as_mut().reset(deadline);
        }
        while timer.as_mut().poll(cx).is_ready() {
            if timer.deadline() >= deadline {
                return Poll::Ready(());
            }
            timer.as_mut().reset(deadline);
        }
        Poll::Pending
    }
}
