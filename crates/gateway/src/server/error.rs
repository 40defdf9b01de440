//! Why a gateway can't start, or stops before it is told to.

use std::io;
use std::net::SocketAddr;

use crate::config::ConfigError;

/// Why the clients' socket can't be listened on.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The environment names something that is no descriptor.
    #[error("NODE_LISTEN_FD: no number of a descriptor")]
    NoDescriptor,
    /// The descriptor that the environment names does not listen.
    #[error("NODE_LISTEN_FD: {0}: does not listen")]
    NotListening(i32),
    /// The descriptor that the environment names can't be used.
    #[error("NODE_LISTEN_FD: {descriptor}: {source}")]
    Descriptor {
        /// Its number.
        descriptor: i32,
        /// Why not.
        source: io::Error,
    },
    /// The address can't be listened on.
    #[error(transparent)]
    Bind(#[from] io::Error),
}

/// Why a gateway can't start, or stops before it is told to.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// Its configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The runtime can't be set up.
    #[error("runtime: {0}")]
    Runtime(io::Error),
    /// A signal can't be waited for.
    #[error("{name}: {source}")]
    Signal {
        /// The signal.
        name: &'static str,
        /// Why not.
        source: io::Error,
    },
    /// What is counted for operators can't be set up.
    #[error("figures: {0}")]
    Figures(String),
    /// The operators' address can't be served.
    #[error("{0}")]
    Admin(String),
    /// The address for the other gateways can't be used.
    #[error("peer_listen: {address}: {source}")]
    PeerListen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The clients' address can't be used.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: ListenError,
    },
    /// It was told to end at the start.
    #[error("SIGTERM before there was a list of backends")]
    NoList,
    /// An actor without which nothing is served has ended.
    #[error("an actor ended: {0}")]
    ActorEnded(String),
    /// An actor takes no more messages.
    #[error("channel closed")]
    ChannelClosed,
}
