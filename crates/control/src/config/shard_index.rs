//! An index of items by shard, with a digest for each shard and for each group of shards. To find the differences
//! between two snapshots, their 32 group digests are compared, and then the 32 shard digests of each group that
//! differs.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use bitcode::{Decode, Encode};

use super::{Item, ItemKey, stable_hash};

/// The number of groups of shards.
pub const GROUP_COUNT: usize = 32;
/// The number of shards in each group.
pub const SHARDS_PER_GROUP: usize = 32;
const SHARD_COUNT: usize = GROUP_COUNT * SHARDS_PER_GROUP;

/// The number of a shard, from 0 to 1,023. Shards of the same group have consecutive numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ShardId(u16);

impl ShardId {
    /// Returns the shard of a key, which is the same in every process.
    pub fn of(key: &ItemKey) -> Self {
        let hash = stable_hash(&key.name) as usize;
        ShardId((hash.wrapping_add(key.kind as usize) % SHARD_COUNT) as u16)
    }

    /// Returns the shard with this index in a group.
    pub fn in_group(group: usize, index: usize) -> Self {
        ShardId((group * SHARDS_PER_GROUP + index) as u16)
    }

    /// Returns the group of the shard.
    pub fn group(self) -> usize {
        usize::from(self.0) / SHARDS_PER_GROUP
    }
}

#[derive(Clone, Debug, Default)]
struct Shard {
    /// The XOR of the fingerprints of the shard's items.
    digest: u64,
    keys: BTreeSet<ItemKey>,
}

/// The keys in each shard, and the digests of their items.
#[derive(Clone, Debug, Default)]
pub struct ShardIndex {
    shards: BTreeMap<ShardId, Shard>,
    group_digests: [u64; GROUP_COUNT],
}

impl ShardIndex {
    /// Adds an item. Its key must not be in the index.
    pub fn insert(&mut self, item: &Item) {
        let id = ShardId::of(&item.key);
        let fingerprint = item.fingerprint();
        let shard = self.shards.entry(id).or_default();
        shard.digest ^= fingerprint;
        shard.keys.insert(item.key.clone());
        self.group_digests[id.group()] ^= fingerprint;
    }

    /// Removes an item, which must be equal to the inserted one.
    pub fn remove(&mut self, item: &Item) {
        let id = ShardId::of(&item.key);
        let Some(shard) = self.shards.get_mut(&id) else {
            return;
        };
        if !shard.keys.remove(&item.key) {
            return;
        }
        let fingerprint = item.fingerprint();
        shard.digest ^= fingerprint;
        self.group_digests[id.group()] ^= fingerprint;
        if shard.keys.is_empty() {
            self.shards.remove(&id);
        }
    }

    /// Returns the digest of all items.
    pub fn digest(&self) -> u64 {
        self.group_digests
            .iter()
            .fold(0, |digest, group| digest ^ group)
    }

    /// Returns the digest of each group.
    pub fn group_digests(&self) -> &[u64; GROUP_COUNT] {
        &self.group_digests
    }

    /// Returns the digest of each shard in a group.
    pub fn shard_digests(&self, group: usize) -> impl Iterator<Item = u64> {
        let shards = (0..SHARDS_PER_GROUP).map(move |index| ShardId::in_group(group, index));
        shards.map(|id| self.shards.get(&id).map_or(0, |shard| shard.digest))
    }

    /// Returns the keys of a shard in order, starting with the first key above `after`.
    pub fn keys(&self, shard: ShardId, after: Option<&ItemKey>) -> impl Iterator<Item = &ItemKey> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let range = (start, Bound::Unbounded);
        let shard = self.shards.get(&shard);
        let keys = shard.map(|shard| shard.keys.range::<ItemKey, _>(range));
        keys.into_iter().flatten()
    }
}
