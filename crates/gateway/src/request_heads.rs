//! The heads of a client's requests as they come in, read beside hyper for the one thing that it hides.

/// Of a line, the name and a length's digits fit in this; the rest says nothing here.
const LINE: usize = 64;

/// Looks for a head that gives its body's length in both ways. Hyper follows the one and drops the other
/// unseen; whoever follows the other finds a second request in the body.
#[derive(Default)]
pub struct HeadScanner {
    line: Vec<u8>,
    /// Inside a head, and what it has said so far.
    inside: bool,
    length: Option<u64>,
    chunked: bool,
    /// Bytes of the body to pass over.
    skip: u64,
    both: bool,
    /// After chunks, it is not known where the next head starts: that connection ends.
    blind: bool,
}

impl HeadScanner {
    /// Whether a head has said both.
    pub fn has_conflicting_length(&self) -> bool {
        self.both
    }

    /// Looks through bytes that came.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && !self.both && !self.blind {
            if self.skip > 0 {
                let over = self.skip.min(bytes.len() as u64);
                self.skip -= over;
                bytes = &bytes[over as usize..];
                continue;
            }
            let end = bytes.iter().position(|b| *b == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            self.line
                .extend_from_slice(&part[..part.len().min(LINE - self.line.len())]);
            let Some(end) = end else { return };
            bytes = &bytes[end + 1..];
            self.line_ended();
            self.line.clear();
        }
    }

    fn line_ended(&mut self) {
        let line = self.line.trim_ascii();
        if line.is_empty() {
            // Empty lines may stand before a request.
            if std::mem::take(&mut self.inside) {
                let (length, chunked) = (self.length.take(), std::mem::take(&mut self.chunked));
                (self.both, self.blind) = (chunked && length.is_some(), chunked);
                self.skip = length.unwrap_or(0);
            }
        } else if !std::mem::replace(&mut self.inside, true) {
            // The request line.
        } else if let Some(colon) = line.iter().position(|b| *b == b':') {
            let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
            if name.eq_ignore_ascii_case(b"content-length") {
                let digits = std::str::from_utf8(value).unwrap_or_default();
                self.length = Some(digits.parse().unwrap_or(0));
            }
            self.chunked |= name.eq_ignore_ascii_case(b"transfer-encoding");
        }
    }
}
