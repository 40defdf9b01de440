//! Size limits used in several parts of the gateway, in bytes.

/// Maximum size of a buffered body; larger bodies are streamed.
pub const BODY: usize = 64 << 10;
/// Maximum size of a request or response body.
pub const LARGE: usize = 32 << 20;
/// Maximum size of a request or response head.
pub const HEAD: usize = 16 << 10;
/// Maximum memory of a connection to a client or backend with its buffers, without a body.
pub const CONNECTION: usize = HEAD + (12 << 10);
/// Maximum size of a datagram between gateways; the platform does not allow longer ones.
pub const DATAGRAM: usize = 256;
