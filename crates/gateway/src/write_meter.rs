//! Tracks how much of a request has been written to the socket, which hyper does not report.

use std::cell::Cell;
use std::fmt;

/// How much of a request has been handed to the operating system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// The end of the head has not been written.
    HeadIncomplete,
    /// The head and this number of bytes of the body, with its framing, have been written, and more is due.
    BodyIncomplete(usize),
    /// The last byte has been written.
    Complete,
}

impl fmt::Display for WriteProgress {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            WriteProgress::HeadIncomplete => write!(f, "head not written completely"),
            WriteProgress::BodyIncomplete(bytes) => {
                write!(f, "head and {bytes} bytes of the body written")
            }
            WriteProgress::Complete => write!(f, "written completely"),
        }
    }
}

/// Tracks how much of a request has been written to its connection.
#[derive(Default)]
pub struct WriteMeter {
    /// Bytes of the body, `usize::MAX` if not known.
    body_bytes: Cell<usize>,
    /// Bytes written after the head.
    body_written: Cell<usize>,
    /// Whether the end of the head has not been written yet.
    in_head: Cell<bool>,
    /// Number of bytes of `\r\n\r\n` matched by the bytes written last.
    head_end_matched: Cell<usize>,
}

impl WriteMeter {
    /// Starts tracking a request with a body of `body_bytes`; `usize::MAX` stands for an unknown length.
    pub fn start_request(&self, body_bytes: usize) {
        self.body_bytes.set(body_bytes);
        self.body_written.set(0);
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
        self.body_written.set(self.body_written.get() + bytes.len());
    }

    /// Returns how much of the request has been written.
    pub fn progress(&self) -> WriteProgress {
        let body_written = self.body_written.get();
        if self.in_head.get() {
            WriteProgress::HeadIncomplete
        } else if body_written < self.body_bytes.get() {
            WriteProgress::BodyIncomplete(body_written)
        } else {
            WriteProgress::Complete
        }
    }

    /// Returns whether the last byte of the request has been written.
    pub fn is_complete(&self) -> bool {
        self.progress() == WriteProgress::Complete
    }
}
