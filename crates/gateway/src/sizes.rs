//! Sizes that more than one part of the gateway reckons with, in bytes.

/// A body that is held whole, at most; a larger one goes through as it comes.
pub const BODY: usize = 64 << 10;
/// A body at most, a request's or an answer's.
pub const LARGE: usize = 32 << 20;
/// A head at most, a client's or a backend's.
pub const HEAD: usize = 16 << 10;
/// A client's or a backend's connection with its buffers, at most, besides a body.
pub const CONNECTION: usize = HEAD + (12 << 10);
/// A datagram between gateways at most: a longer one breaks the platform's rules.
pub const DATAGRAM: usize = 256;
