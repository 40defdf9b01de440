//! Items by the shard that their keys fall into, with a digest for each shard and for each group of shards: two snapshots
//! find where they differ by comparing 32 digests, and then the 32 digests of each group that differs.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use bitcode::{Decode, Encode};

use super::{Item, ItemKey, stable_hash};

/// Groups of shards.
pub const GROUPS: usize = 32;
/// Shards in each group.
pub const SHARDS_PER_GROUP: usize = 32;
const SHARDS: usize = GROUPS * SHARDS_PER_GROUP;

/// One of the 1,024 shards; those of a group are next to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ShardId(u16);

impl ShardId {
    /// The shard of a key, the same in every process.
    pub fn of(key: &ItemKey) -> Self {
        let hash = stable_hash(&key.name) as usize;
        ShardId((hash.wrapping_add(key.kind as usize) % SHARDS) as u16)
    }

    /// A shard by its group and its index there.
    pub fn in_group(group: usize, index: usize) -> Self {
        ShardId((group * SHARDS_PER_GROUP + index) as u16)
    }

    /// The group that it belongs to.
    pub fn group(self) -> usize {
        usize::from(self.0) / SHARDS_PER_GROUP
    }
}

#[derive(Clone, Debug, Default)]
struct Shard {
    /// The exclusive or of its items' fingerprints.
    digest: u64,
    keys: BTreeSet<ItemKey>,
}

/// Which keys each shard holds, and the digests of their items.
#[derive(Clone, Debug, Default)]
pub struct ShardIndex {
    shards: BTreeMap<ShardId, Shard>,
    groups: [u64; GROUPS],
}

impl ShardIndex {
    /// Adds an item whose key is not in the index.
    pub fn insert(&mut self, item: &Item) {
        let id = ShardId::of(&item.key);
        let fingerprint = item.fingerprint();
        let shard = self.shards.entry(id).or_default();
        shard.digest ^= fingerprint;
        shard.keys.insert(item.key.clone());
        self.groups[id.group()] ^= fingerprint;
    }

    /// Removes an item as it was inserted.
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
        self.groups[id.group()] ^= fingerprint;
        if shard.keys.is_empty() {
            self.shards.remove(&id);
        }
    }

    /// The digest of all items.
    pub fn digest(&self) -> u64 {
        self.groups.iter().fold(0, |digest, group| digest ^ group)
    }

    /// The digest of each group.
    pub fn group_digests(&self) -> &[u64; GROUPS] {
        &self.groups
    }

    /// The digest of each shard of a group.
    pub fn shard_digests(&self, group: usize) -> impl Iterator<Item = u64> {
        let shards = (0..SHARDS_PER_GROUP).map(move |index| ShardId::in_group(group, index));
        shards.map(|id| self.shards.get(&id).map_or(0, |shard| shard.digest))
    }

    /// The keys of a shard in order, from the first one after `after`.
    pub fn keys(&self, shard: ShardId, after: Option<&ItemKey>) -> impl Iterator<Item = &ItemKey> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let range = (start, Bound::Unbounded);
        let shard = self.shards.get(&shard);
        let keys = shard.map(|shard| shard.keys.range::<ItemKey, _>(range));
        keys.into_iter().flatten()
    }
}
