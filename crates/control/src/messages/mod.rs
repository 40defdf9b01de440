//! The messages between the processes of the system, on persistent connections and in datagrams. Stores also write
//! parts of the messages to disk.
//!
//! Messages are encoded by `bitcode`, which identifies fields and variants by their order and not by their names:
//! fields and variants may be renamed and new variants may be appended, but the order must not change.
//! `tests/wire_format.rs` checks the encoded bytes.
//!
//! In reading order: `codec` (encoding), `message` (messages on connections) with `proxy`, `backend`, `command`,
//! `store` and `transfer` for their parts, `gossip` (datagrams), and `batch` (splitting lists into messages of bounded
//! size).

mod backend;
mod batch;
mod codec;
mod command;
mod gossip;
mod message;
mod proxy;
mod store;
mod transfer;

pub use backend::{Backend, BackendList, BackendListVersion};
pub use batch::{MAX_CHUNK_BYTES, split_items};
pub use codec::{DecodeError, MAX_MESSAGE_BYTES, MESSAGE_VERSION, decode, encode};
pub use command::{Command, CommandReply};
pub use gossip::{Datagram, GossipBody, LeaseMessage, MemberState, MemberUpdate};
pub use message::Message;
pub use proxy::{Allotment, Heartbeat, LeaseHolder, NamedCount, ProxyStatus};
pub use store::{AcceptAnswer, ReplicaItems, StateDigest, StateGroupDigests};
pub use transfer::{Position, ShardDigests, ShardRequest, TransferMessage};
