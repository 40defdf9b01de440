//! Why a gateway can't start, or stops before it is told to.

use std::io;
use std::net::SocketAddr;

use crate::config::ConfigError;

/// Why the gateway can't listen for clients.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// `NODE_LISTEN_FD` isn't a descriptor above those of standard input, output and error.
    #[error("NODE_LISTEN_FD: not a usable file descriptor number")]
    NoDescriptor,
    /// The descriptor in `NODE_LISTEN_FD` isn't a listening socket.
    #[error("NODE_LISTEN_FD: {0}: not a listening socket")]
    NotListening(i32),
    /// The descriptor in `NODE_LISTEN_FD` can't be used.
    #[error("NODE_LISTEN_FD: {descriptor}: {source}")]
    Descriptor {
        /// The descriptor's number.
        descriptor: i32,
        /// The I/O error.
        source: io::Error,
    },
    /// The address can't be bound.
    #[error(transparent)]
    Bind(#[from] io::Error),
}

/// Why a gateway can't start, or stops before it is told to.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The async runtime can't be created.
    #[error("runtime: {0}")]
    Runtime(io::Error),
    /// The handler of a signal can't be installed.
    #[error("{name}: {source}")]
    Signal {
        /// The signal.
        name: &'static str,
        /// The I/O error.
        source: io::Error,
    },
    /// The metrics can't be registered.
    #[error("figures: {0}")]
    Metrics(String),
    /// The admin interface can't be started.
    #[error("{0}")]
    Admin(String),
    /// The address for messages of other gateways can't be bound.
    #[error("peer_listen: {address}: {source}")]
    PeerListen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The clients' address can't be used.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The reason.
        source: ListenError,
    },
    /// SIGTERM was received during the start.
    #[error("SIGTERM received before the first list of backends")]
    NoList,
    /// An actor that the gateway can't serve without has ended.
    #[error("an essential actor ended: {0}")]
    ActorEnded(String),
    /// An actor no longer receives messages.
    #[error("an actor's channel is closed")]
    ChannelClosed,
}
