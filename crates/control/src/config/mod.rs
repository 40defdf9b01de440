//! The configuration: items, each with its own version, that are merged one by one and validated together.
//!
//! In reading order: [`Item`] and its key (`item`); [`ConfigChange`], a change sent by an operator (`change`);
//! [`ConfigSnapshot`], all items known to a process (`snapshot`), with the digests that are used to compare two
//! snapshots (`shard_index`); the typed contents of items (`entries`, `mirror_rule`) and access to their JSON fields
//! (`fields`); and the rules that all items together must satisfy (`validation`).

mod change;
mod entries;
mod error;
mod fields;
mod item;
mod mirror_rule;
mod shard_index;
mod snapshot;
mod validation;

pub use change::ConfigChange;
pub use entries::{ConnectionLimits, Route, RouteKind, Service, Tenant, WeightedService};
pub use error::InvalidConfig;
pub use item::{Item, ItemKey, ItemKind, ProposalNumber, stable_hash};
pub use mirror_rule::{MirrorRule, SelectionKey, TrialInstance};
pub use shard_index::{GROUP_COUNT, SHARDS_PER_GROUP, ShardId, ShardIndex};
pub use snapshot::ConfigSnapshot;
pub use validation::Conflict;
