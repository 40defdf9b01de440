//! How much of a request has been handed to the system: hyper alone does not tell.

use std::cell::Cell;

/// How much of a request has been written to its connection.
#[derive(Default)]
pub struct Meter {
    /// Bytes of its body, and whether it is the end of the head that is still looked for.
    body: Cell<usize>,
    head: Cell<bool>,
    /// Bytes of `\r\n\r\n` seen last.
    mark: Cell<usize>,
}

impl Meter {
    pub fn begin(&self, body: usize) {
        self.body.set(body);
        self.head.set(true);
        self.mark.set(0);
    }

    pub fn wrote(&self, mut bytes: &[u8]) {
        while self.head.get() {
            let Some((&b, rest)) = bytes.split_first() else {
                return;
            };
            bytes = rest;
            let mark = self.mark.get();
            let next = if b == b"\r\n\r\n"[mark] {
                mark + 1
            } else {
                usize::from(b == b'\r')
            };
            self.mark.set(next);
            self.head.set(next < 4);
        }
        self.body.set(self.body.get().saturating_sub(bytes.len()));
    }

    /// The last byte is written: the request may have run from here on.
    pub fn whole(&self) -> bool {
        !self.head.get() && self.body.get() == 0
    }
}
