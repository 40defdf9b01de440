//! Requests and answers read and written by hand, blocking: for clients and servers of tests, which must see every
//! byte as it is and not as a library would have it.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or an answer, as read from a socket.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|h| h.0.eq_ignore_ascii_case(name))
            .map(|h| h.1.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }

    /// The next one's head; none where the connection ended before its end.
    pub fn head(from: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if message.first.is_empty() {
                message.first = line.into();
            } else if line.is_empty() {
                break;
            } else {
                let (name, value) = line.split_once(':')?;
                message.headers.push((name.into(), value.trim().into()));
            }
        }
        Some(message)
    }

    /// The next one; none where the connection ended, whole or not.
    pub fn read(from: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut message = Message::head(from)?;
        let chunked = message.header("transfer-encoding").is_some();
        let mut length = message
            .header("content-length")
            .map_or(Some(0), |l| l.parse().ok())?;
        loop {
            if chunked {
                let mut line = String::new();
                from.read_line(&mut line).ok()?;
                length = usize::from_str_radix(line.trim(), 16).ok()?;
            }
            let before = message.body.len();
            message.body.resize(before + length, 0);
            from.read_exact(&mut message.body[before..]).ok()?;
            if chunked {
                from.read_exact(&mut [0; 2]).ok()?;
            }
            if !chunked || length == 0 {
                return Some(message);
            }
        }
    }
}

pub fn answer(head: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
