//! Tracks how much of a request has been written to the socket, which hyper does not report.

use std::cell::Cell;

/// Tracks how much of a request has been written to its connection.
#[derive(Default)]
pub struct WriteMeter {
    /// Bytes of the body that are not written yet.
    body_left: Cell<usize>,
    /// Whether the end of the head has not been written yet.
    in_head: Cell<bool>,
    /// Number of bytes of `\r\n\r\n` matched by the bytes written last.
    head_end_matched: Cell<usize>,
}

impl WriteMeter {
    /// Starts tracking a request with a body of `body_left` bytes; `usize::MAX` stands for an unknown length.
    pub fn start_request(&self, body_left: usize) {
        self.body_left.set(body_left);
        self.in_head.set(true);
        self.head_end_matched.set(0);
    }

    /// Records that `bytes` were written to the socket.
    pub fn record_written(&self, mut bytes: &[u8]) {
        while self.in_head.get() {
            let Some((&b, rest)) = bytes.split_first() else {
                return;
            };
            bytes = rest;
            let head_end_matched = self.head_end_matched.get();
            let next = if b == b"\r\n\r\n"[head_end_matched] {
                head_end_matched + 1
            } else {
                usize::from(b == b'\r')
            };
            self.head_end_matched.set(next);
            self.in_head.set(next < 4);
        }
        self.body_left
            .set(self.body_left.get().saturating_sub(bytes.len()));
    }

    /// Returns whether the last byte of the request has been written, so that the request may have been executed.
    pub fn is_complete(&self) -> bool {
        !self.in_head.get() && self.body_left.get() == 0
    }
}
