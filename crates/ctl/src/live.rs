//! HTTP requests to the processes of a running system.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::CtlError;

/// Limit for connecting and for each read; a process that exceeds the limit counts as unreachable.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the state of a running system as JSON, as the registry at `address` sees the system.
///
/// # Errors
/// Fails if the process does not answer with status 200.
pub fn state(address: SocketAddr) -> Result<String, CtlError> {
    get(address, "/-/state")
}

/// Returns as JSON what a proxy knows of the load of each backend: its own requests, the load that other proxies
/// reported, the number and age of these reports, and the share of the backend's weight that the proxy still uses.
///
/// # Errors
/// Fails if the process does not answer with status 200.
pub fn loads(address: SocketAddr) -> Result<String, CtlError> {
    get(address, "/-/loads")
}

/// Sends a GET request and returns the response body.
pub(crate) fn get(address: SocketAddr, path: &str) -> Result<String, CtlError> {
    call(address, "GET", path, "")
}

/// Sends a request and returns the response body; a status other than 200 is an error.
pub(crate) fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> Result<String, CtlError> {
    let response = send_request(address, method, path, body)
        .map_err(|error| CtlError::process(address, error))?;
    match response.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200") => Ok(body.trim_end().to_string()),
        Some((head, body)) => {
            let status = head.lines().next().unwrap_or_default();
            let reason = format!("{status} {}", body.trim_end());
            Err(CtlError::process(address, reason))
        }
        None => Err(CtlError::process(address, "incomplete response")),
    }
}

fn send_request(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let head = format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close");
    let length = body.len();
    write!(stream, "{head}\r\nContent-Length: {length}\r\n\r\n{body}")?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}
