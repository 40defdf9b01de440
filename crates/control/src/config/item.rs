//! Configuration items: key, version and JSON text. Items are stored and sent, and their encoding depends on the order
//! of fields and variants: the order must not change.

use std::hash::Hasher;

use bitcode::{Decode, Encode};
use fnv::FnvHasher;

use super::InvalidConfig;
use crate::json::{Value, parse};

/// The kind of object that an item describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ItemKind {
    /// A route: a host, a path prefix, and the services that receive its requests.
    Route,
    /// A tenant with its API keys and quota.
    Tenant,
    /// A service provided by backends.
    Service,
    /// Timeouts of client connections; there is one such item.
    Limits,
    /// A zone out of service, which receives no requests; the item is removed when the zone returns to service.
    Evacuation,
    /// A rule that mirrors live requests to a trial service.
    MirrorRule,
    /// The voters of the configuration store. There is one such item, and proxies never receive it.
    Voters,
}

impl ItemKind {
    /// Returns whether items of this kind are internal to the store and not part of the configuration.
    pub fn is_internal(self) -> bool {
        self == ItemKind::Voters
    }
}

/// The key of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ItemKey {
    /// The kind of the item.
    pub kind: ItemKind,
    /// The name of the item; unique within its kind.
    pub name: String,
}

/// A proposal number of the consensus protocol between the stores. Proposal numbers are totally ordered, and no two
/// proposers use the same number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ProposalNumber {
    /// The round; a proposer starts each round with a higher number than any that it has seen.
    pub round: u64,
    /// The id of the proposer, followed by 16 bits with the number of a call within the round.
    pub proposer: u64,
}

/// The number of low bits of [`ProposalNumber::proposer`] that number the calls of a round. The items of a call are
/// proposed, accepted and committed together, under one number.
const CALL_BITS: u32 = 16;

impl ProposalNumber {
    /// Returns the number of a round, which is below those of its calls. No number of another round lies between.
    pub fn of_round(round: u64, proposer_id: u64) -> Self {
        ProposalNumber {
            round,
            proposer: proposer_id << CALL_BITS,
        }
    }

    /// Returns the number of a call of this round.
    pub fn of_call(self, call: u16) -> Self {
        let proposer = (self.proposer >> CALL_BITS) << CALL_BITS;
        ProposalNumber {
            proposer: proposer | u64::from(call),
            ..self
        }
    }

    /// Returns whether both numbers belong to the same round of the same proposer.
    pub fn is_of_same_round(self, other: ProposalNumber) -> bool {
        self.of_call(0) == other.of_call(0)
    }
}

/// A configuration item as it is stored and sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Item {
    /// The key of the item.
    pub key: ItemKey,
    /// The version that the operator gave to the item. Of two contents, the one with the higher version wins.
    pub version: u64,
    /// The number under which the item was last proposed. Of two contents of the same version, the one with the higher
    /// proposal number wins.
    pub proposal_number: ProposalNumber,
    /// The JSON text; `None` if the item was removed. A removed item is kept with its version as a tombstone, so that a
    /// call with an older version cannot restore it.
    pub body: Option<Vec<u8>>,
}

impl Item {
    /// Returns whether the item was removed.
    pub fn is_removed(&self) -> bool {
        self.body.is_none()
    }

    /// Returns an item that records that none of its versions has been committed. The store writes it to supersede
    /// earlier proposals for an item that does not exist.
    pub fn unset(key: ItemKey, proposal_number: ProposalNumber) -> Self {
        Item {
            key,
            version: 0,
            proposal_number,
            body: None,
        }
    }

    /// Returns whether no version of the item has been committed; see [`Item::unset`].
    pub fn is_unset(&self) -> bool {
        self.version == 0 && self.is_removed()
    }

    /// Returns the approximate size of the encoded item, in bytes.
    pub fn wire_bytes(&self) -> usize {
        const VERSION_AND_PROPOSAL_NUMBER: usize = 32;
        let body = self.body.as_ref().map_or(0, Vec::len);
        self.key.name.len() + body + VERSION_AND_PROPOSAL_NUMBER
    }

    /// Parses the text of the item as JSON.
    ///
    /// # Errors
    /// Returns an error if the text is not JSON, also if the item was removed.
    pub fn json(&self) -> Result<Value, InvalidConfig> {
        let text = self.body.clone().unwrap_or_default();
        parse(text).map_err(|e| InvalidConfig::item(&self.key.name, e.to_string()))
    }

    /// Returns a hash of key, version and proposal number. The digest of a set of items is the XOR of their
    /// fingerprints.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = FnvHasher::default();
        hasher.write(self.key.name.as_bytes());
        hasher.write(&[self.key.kind as u8]);
        let ProposalNumber { round, proposer } = self.proposal_number;
        for number in [self.version, round, proposer] {
            hasher.write(&number.to_be_bytes());
        }
        mix_bits(hasher.finish())
    }
}

/// Mixes the bits of a hash, so that the XOR of several hashes distinguishes sets.
fn mix_bits(hash: u64) -> u64 {
    const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
    let hash = (hash ^ hash >> 32).wrapping_mul(GOLDEN_RATIO);
    hash ^ hash >> 29
}

/// Returns a hash of a name that is the same in every process and version.
pub fn stable_hash(name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(name.as_bytes());
    let hash = hasher.finish();
    hash ^ hash >> 29
}
