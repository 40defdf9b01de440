//! One item of the configuration: what identifies it, its version and its text. Items are stored and sent: neither
//! fields nor variants may change their order.

use std::hash::Hasher;

use bitcode::{Decode, Encode};
use fnv::FnvHasher;

use super::InvalidConfig;
use crate::json::{Value, parse};

/// What an item describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ItemKind {
    /// A host and path prefix, and the services that its requests go to.
    Route,
    /// A tenant with its keys and quota.
    Tenant,
    /// A service that backends provide.
    Service,
    /// Timeouts of client connections; there is one such item.
    Limits,
    /// A zone that gets no requests; the item is removed when the zone gets them again.
    Evacuation,
    /// A rule by which live requests are mirrored to a trial service.
    MirrorRule,
    /// The one item that names the voters of the configuration store. Proxies never get it.
    Voters,
}

impl ItemKind {
    /// Whether items of this kind are the store's own, and no part of the configuration.
    pub fn is_internal(self) -> bool {
        self == ItemKind::Voters
    }
}

/// What identifies an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ItemKey {
    /// What it describes.
    pub kind: ItemKind,
    /// Unique within the kind.
    pub name: String,
}

/// A proposal number of the consensus among the stores. Proposal numbers are totally ordered, and no two proposers
/// have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ProposalNumber {
    /// Raised with each round of a proposer above all that it has seen.
    pub round: u64,
    /// Who proposes, by the id of its disk.
    pub proposer: u64,
}

/// An item as it is stored and sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Item {
    /// What identifies it.
    pub key: ItemKey,
    /// The operator's version; of two contents the one with the higher version prevails.
    pub version: u64,
    /// The number under which it was last proposed; of one version, the content with the higher number prevails.
    pub proposal_number: ProposalNumber,
    /// Its JSON text; `None` where the item was removed. A removed item stays behind with its version, so that an
    /// older call can't bring it back.
    pub body: Option<Vec<u8>>,
}

impl Item {
    /// Whether the item was removed.
    pub fn is_removed(&self) -> bool {
        self.body.is_none()
    }

    /// About how many bytes of a message the item takes.
    pub fn wire_bytes(&self) -> usize {
        const VERSION_AND_PROPOSAL_NUMBER: usize = 32;
        let body = self.body.as_ref().map_or(0, Vec::len);
        self.key.name.len() + body + VERSION_AND_PROPOSAL_NUMBER
    }

    /// Its text as a JSON value.
    ///
    /// # Errors
    /// Where the text is not JSON.
    pub fn json(&self) -> Result<Value, InvalidConfig> {
        let text = self.body.clone().unwrap_or_default();
        parse(text).map_err(|e| InvalidConfig::item(&self.key.name, e.to_string()))
    }

    /// A hash of key, version and proposal number. Digests of sets are exclusive ors of these.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = FnvHasher::default();
        hasher.write(self.key.name.as_bytes());
        hasher.write(&[self.key.kind as u8]);
        let ProposalNumber { round, proposer } = self.proposal_number;
        for number in [self.version, round, proposer] {
            hasher.write(&number.to_be_bytes());
        }
        spread(hasher.finish())
    }
}

/// Mixes all bits of a hash, so that an exclusive or of several tells sets apart.
fn spread(hash: u64) -> u64 {
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let hash = (hash ^ hash >> 32).wrapping_mul(GOLDEN_RATIO);
    hash ^ hash >> 29
}

/// A hash of a name that is the same in every process and version.
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    hash ^ hash >> 29
}
