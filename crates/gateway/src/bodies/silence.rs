//! Detects that the sender of a body has fallen silent.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::{Sleep, sleep};

/// Timer for the time since the sender of a body last sent data.
#[derive(Default)]
pub(super) struct SilenceTimer(Option<Pin<Box<Sleep>>>);

impl SilenceTimer {
    /// Resets the timer after data was received.
    pub(super) fn reset(&mut self) {
        self.0 = None;
    }

    /// Returns ready once no data was received for `limit`.
    pub(super) fn poll(&mut self, limit: Duration, cx: &mut Context) -> Poll<()> {
        self.0
            .get_or_insert_with(|| Box::pin(sleep(limit)))
            .as_mut()
            .poll(cx)
    }
}
