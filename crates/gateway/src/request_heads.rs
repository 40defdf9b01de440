//! Scans the raw heads of client requests for a conflict of length headers, which hyper does not report.

/// Number of bytes of a header line that are kept: enough for the header name and the digits of a length. The rest of
/// the line is not needed.
const MAX_LINE_BYTES: usize = 64;

/// Detects request heads that have both `Content-Length` and `Transfer-Encoding`.
///
/// Hyper follows one of the two headers and silently drops the other. A server that follows the other header would find
/// a second request in the body (request smuggling).
#[derive(Default)]
pub struct HeadScanner {
    line: Vec<u8>,
    /// Whether the current line belongs to a head, that is, whether its request line has been read.
    in_head: bool,
    /// `Content-Length` of the current head.
    length: Option<u64>,
    /// Whether the current head has a `Transfer-Encoding` header.
    chunked: bool,
    /// Number of body bytes that are still to be skipped.
    body_bytes_left: u64,
    /// Whether a head had both headers.
    has_conflict: bool,
    /// Whether a chunked body has started. The scanner cannot find the next head after such a body, so the connection
    /// is closed after the response.
    is_chunked_body: bool,
}

impl HeadScanner {
    /// Returns whether a head had both `Content-Length` and `Transfer-Encoding`.
    pub fn has_conflicting_length(&self) -> bool {
        self.has_conflict
    }

    /// Scans received bytes.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() && !self.has_conflict && !self.is_chunked_body {
            if self.body_bytes_left > 0 {
                let skipped = self.body_bytes_left.min(bytes.len() as u64);
                self.body_bytes_left -= skipped;
                bytes = &bytes[skipped as usize..];
                continue;
            }
            let end = bytes.iter().position(|b| *b == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            self.line
                .extend_from_slice(&part[..part.len().min(MAX_LINE_BYTES - self.line.len())]);
            let Some(end) = end else { return };
            bytes = &bytes[end + 1..];
            self.handle_line();
            self.line.clear();
        }
    }

    fn handle_line(&mut self) {
        let line = self.line.trim_ascii();
        if line.is_empty() {
            // Empty lines are allowed before a request line, so an empty line ends a head only after a request line.
            if std::mem::take(&mut self.in_head) {
                let (length, chunked) = (self.length.take(), std::mem::take(&mut self.chunked));
                (self.has_conflict, self.is_chunked_body) = (chunked && length.is_some(), chunked);
                self.body_bytes_left = length.unwrap_or(0);
            }
        } else if !std::mem::replace(&mut self.in_head, true) {
            // The line is the request line.
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
