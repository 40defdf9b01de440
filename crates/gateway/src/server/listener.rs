//! Opens the listening socket for clients.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, FromRawFd};

use tokio::net::{TcpListener, TcpSocket};

use super::ListenError;

/// Most connections that wait to be accepted.
const BACKLOG: u32 = 1024;
/// Environment variable with the descriptor number of a listening socket that the platform passes.
const DESCRIPTOR_VARIABLE: &str = "NODE_LISTEN_FD";
/// Descriptors up to this number are standard input, output and error.
const LAST_STANDARD_DESCRIPTOR: i32 = 2;

/// Returns the listening socket that the platform passes in `NODE_LISTEN_FD`, or one bound to `address` if the variable
/// isn't set.
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
    // SAFETY: the descriptor is only queried and not closed; the query of a number that isn't open returns an error.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    socket2::SockRef::from(&borrowed).is_listener()
}

fn inherit(descriptor: i32) -> io::Result<TcpListener> {
    // SAFETY: the platform passes the descriptor to this process, and no other code here uses it.
    let listener = unsafe { std::net::TcpListener::from_raw_fd(descriptor) };
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}
