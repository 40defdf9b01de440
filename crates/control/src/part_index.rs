//! Items by the part that their keys fall into, with a sum for each part and for each group of parts: two snapshots
//! find where they differ by comparing 32 sums, and then the 32 sums of each group that differs.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use bitcode::{Decode, Encode};

use crate::items::{Item, Key, hashed, mark};

pub const GROUPS: usize = 32;
pub const PARTS_PER_GROUP: usize = 32;
const PARTS: usize = GROUPS * PARTS_PER_GROUP;

/// One of the 1,024 parts; those of a group are next to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct PartId(u16);

impl PartId {
    pub fn of(key: &Key) -> Self {
        let number = (hashed(&key.name) as usize).wrapping_add(key.kind as usize) % PARTS;
        PartId(number as u16)
    }

    pub fn in_group(group: usize, place: usize) -> Self {
        PartId((group * PARTS_PER_GROUP + place) as u16)
    }

    pub fn group(self) -> usize {
        usize::from(self.0) / PARTS_PER_GROUP
    }
}

#[derive(Clone, Debug, Default)]
struct Part {
    /// The marks of its items, combined by exclusive or.
    sum: u64,
    keys: BTreeSet<Key>,
}

/// Which keys each part holds, and the sums of their items' marks.
#[derive(Clone, Debug, Default)]
pub struct PartIndex {
    parts: BTreeMap<PartId, Part>,
    groups: [u64; GROUPS],
}

impl PartIndex {
    pub fn insert(&mut self, item: &Item) {
        let id = PartId::of(&item.key);
        let part = self.parts.entry(id).or_default();
        part.sum ^= mark(item);
        part.keys.insert(item.key.clone());
        self.groups[id.group()] ^= mark(item);
    }

    pub fn remove(&mut self, item: &Item) {
        let id = PartId::of(&item.key);
        let Some(part) = self.parts.get_mut(&id) else {
            return;
        };
        if !part.keys.remove(&item.key) {
            return;
        }
        part.sum ^= mark(item);
        self.groups[id.group()] ^= mark(item);
        if part.keys.is_empty() {
            self.parts.remove(&id);
        }
    }

    /// One sum for all items.
    pub fn total(&self) -> u64 {
        self.groups.iter().fold(0, |total, sum| total ^ sum)
    }

    pub fn group_sums(&self) -> &[u64; GROUPS] {
        &self.groups
    }

    pub fn part_sums(&self, group: usize) -> impl Iterator<Item = u64> {
        let sum = move |place| {
            self.parts
                .get(&PartId::in_group(group, place))
                .map_or(0, |part| part.sum)
        };
        (0..PARTS_PER_GROUP).map(sum)
    }

    /// Keys of a part in order, from behind the one given.
    pub fn keys(&self, part: PartId, after: Option<&Key>) -> impl Iterator<Item = &Key> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let keys = self
            .parts
            .get(&part)
            .map(|part| part.keys.range::<Key, _>((start, Bound::Unbounded)));
        keys.into_iter().flatten()
    }
}
