//! How much of a request has been handed to the system: hyper alone does not tell.

use std::cell::Cell;

/// How much of a request has been written to its connection.
#[derive(Default)]
pub struct WriteMeter {
    /// Bytes of its body, and whether it is the end of the head that is still looked for.
    body_left: Cell<usize>,
    in_head: Cell<bool>,
    /// Bytes of `\r\n\r\n` seen last.
    head_end_matched: Cell<usize>,
}

impl WriteMeter {
    /// A request is about to be written, whose body is so long.
    pub fn begin(&self, body_left: usize) {
        self.body_left.set(body_left);
        self.in_head.set(true);
        self.head_end_matched.set(0);
    }

    /// These bytes were handed to the system.
    pub fn wrote(&self, mut bytes: &[u8]) {
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

    /// The last byte is written: the request may have run from here on.
    pub fn is_complete(&self) -> bool {
        !self.in_head.get() && self.body_left.get() == 0
    }
}
