//! A minimal blocking HTTP/1.1 reader and writer for the clients and servers of tests. Unlike an HTTP library, it does
//! not normalize what was received.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP request or response.
#[derive(Clone, Debug, Default)]
pub struct HttpMessage {
    /// Request line or status line.
    pub start_line: String,
    /// Header names and values, in the order received.
    pub headers: Vec<(String, String)>,
    /// Body, without chunked encoding.
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// Returns the value of the first header with this name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|h| h.0.eq_ignore_ascii_case(name))
            .map(|h| h.1.as_str())
    }

    /// Returns the status code, or 0 where the first line has none.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    /// Reads the first line and the headers of the next message. Returns `None` where the connection ends before the
    /// head is complete or a header line has no colon.
    pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
        let mut message = HttpMessage::default();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if message.start_line.is_empty() {
                message.start_line = line.into();
            } else if line.is_empty() {
                break;
            } else {
                let (name, value) = line.split_once(':')?;
                message.headers.push((name.into(), value.trim().into()));
            }
        }
        Some(message)
    }

    /// Reads the next message. Returns `None` where the connection ends before the message is complete, or the message
    /// is malformed.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<HttpMessage> {
        let mut message = HttpMessage::read_head(reader)?;
        message.read_body(reader)?;
        Some(message)
    }

    /// Reads the body that follows the head of this message. Returns `None` where the connection ends before the body is
    /// complete, or the body is malformed.
    pub fn read_body(&mut self, reader: &mut BufReader<TcpStream>) -> Option<()> {
        let chunked = self.header("transfer-encoding").is_some();
        let mut length = self
            .header("content-length")
            .map_or(Some(0), |value| value.parse().ok())?;
        loop {
            if chunked {
                let mut line = String::new();
                reader.read_line(&mut line).ok()?;
                length = usize::from_str_radix(line.trim(), 16).ok()?;
            }
            let body_len = self.body.len();
            self.body.resize(body_len + length, 0);
            reader.read_exact(&mut self.body[body_len..]).ok()?;
            if chunked {
                reader.read_exact(&mut [0; 2]).ok()?;
            }
            if !chunked || length == 0 {
                return Some(());
            }
        }
    }
}

/// Returns the text of a response with the status code, reason phrase and headers of `head`, a `Content-Length` and
/// `body`.
pub fn response_text(head: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
