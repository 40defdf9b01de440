//! The clients' socket.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, FromRawFd};

use tokio::net::{TcpListener, TcpSocket};

use super::ListenError;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Names the descriptor of the socket that the platform hands over.
const DESCRIPTOR_VARIABLE: &str = "NODE_LISTEN_FD";
/// The descriptors up to this one are standard input, output and error.
const LAST_STANDARD_DESCRIPTOR: i32 = 2;

/// The socket that the platform hands over in `NODE_LISTEN_FD`, else one of our own.
pub(super) fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    let Some(descriptor) = std::env::var_os(DESCRIPTOR_VARIABLE) else {
        return Ok(bind(address)?);
    };
    let descriptor = descriptor
        .to_str()
        .and_then(|text| text.parse().ok())
        .filter(|descriptor: &i32| *descriptor > LAST_STANDARD_DESCRIPTOR)
        .ok_or(ListenError::NoDescriptor)?;
    if is_listening(descriptor).map_err(|source| ListenError::Descriptor { descriptor, source })? {
        inherit(descriptor).map_err(|source| ListenError::Descriptor { descriptor, source })
    } else {
        Err(ListenError::NotListening(descriptor))
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn is_listening(descriptor: i32) -> io::Result<bool> {
    // SAFETY: looked at only; a number that is no descriptor fails there.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    socket2::SockRef::from(&borrowed).is_listener()
}

fn inherit(descriptor: i32) -> io::Result<TcpListener> {
    // SAFETY: the platform hands it to this process, and nothing else here uses it.
    let listener = unsafe { std::net::TcpListener::from_raw_fd(descriptor) };
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
