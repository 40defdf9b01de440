//! A live system, asked over HTTP.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::CtlError;

/// A process answers within this, or it is taken for gone.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// How a live system stands, as one registry sees it.
///
/// # Errors
/// Where it does not answer.
pub fn state(address: SocketAddr) -> Result<String, CtlError> {
    get(address, "/-/state")
}

/// What a proxy knows of each backend's load: its own, what others reported, from how many, how old, and what is kept of
/// the backend's weight.
///
/// # Errors
/// Where it does not answer.
pub fn loads(address: SocketAddr) -> Result<String, CtlError> {
    get(address, "/-/loads")
}

/// The body of an answer to a GET.
pub(crate) fn get(address: SocketAddr, path: &str) -> Result<String, CtlError> {
    call(address, "GET", path, "")
}

/// The body of an answer of status 200.
pub(crate) fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<String, CtlError> {
    let answer =
        exchange(address, method, path, body).map_err(|error| CtlError::process(address, error))?;
    match answer.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200") => Ok(body.trim_end().to_string()),
        Some((head, body)) => {
            let status = head.lines().next().unwrap_or_default();
            let reason = format!("{status} {}", body.trim_end());
            Err(CtlError::process(address, reason))
        }
        None => Err(CtlError::process(address, "no answer")),
    }
}

fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close");
    let length = body.len();
    write!(stream, "{head}\r\nContent-Length: {length}\r\n\r\n{body}")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
