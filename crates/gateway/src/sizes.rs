//! Sizes that more than one part of the gateway reckons with, in bytes.

/// A request's body at most.
pub const BODY: usize = 64 << 10;
/// An answer's body at most: the platform promises no more than of a request's, and sends more.
pub const ANSWER: usize = 1 << 20;
/// A head at most, a client's or a backend's.
pub const HEAD: usize = 16 << 10;
/// A client's or a backend's connection with its buffers, at most, besides a body.
pub const CONNECTION: usize = HEAD + (12 << 10);
/// A datagram between gateways at most: a longer one breaks the platform's rules.
pub const DATAGRAM: usize = 256;
