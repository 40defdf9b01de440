//! Size limits used in several parts of the gateway, in bytes.

/// Maximum size of a buffered body, in bytes; larger bodies are streamed.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;
/// Maximum size of a response body, and of a request body where the operators state no other, in bytes.
pub const MAX_BODY: usize = 32 << 20;
/// Maximum size of a request or response head, in bytes.
pub const MAX_HEAD: usize = 16 << 10;
/// Maximum memory of a connection to a client or backend with its buffers, in bytes, without a body.
pub const CONNECTION_MEMORY: usize = MAX_HEAD + (12 << 10);
/// Maximum size of a datagram between gateways, in bytes; the platform does not allow longer ones.
pub const MAX_DATAGRAM: usize = 256;
