//! The configuration: items with versions of their own, merged item by item and validated together.
//!
//! In reading order: an [`Item`] and what identifies it (`item`); a [`ConfigChange`] as an operator sends it
//! (`change`); a [`ConfigSnapshot`], all items known to one process (`snapshot`), with the digests by which two
//! snapshots are compared (`shard_index`); what the items mean (`entries`, `mirror_rule`), read field by field
//! (`fields`); and which items may be in force together (`validation`).

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
pub use shard_index::{GROUPS, SHARDS_PER_GROUP, ShardId, ShardIndex};
pub use snapshot::ConfigSnapshot;
