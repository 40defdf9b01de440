//! A snapshot of all items known to a process, into which items are merged one by one.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use super::change::{CONFIG_LISTS, MIRROR_LISTS, NamedList};
use super::{ConfigChange, Item, ItemKey, ItemKind, ShardId, ShardIndex};

/// All items known to a process, including removed ones.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    items: BTreeMap<ItemKey, Item>,
    /// Derived from `items`; updated with each change, because digests are requested many times per second.
    index: ShardIndex,
}

impl PartialEq for ConfigSnapshot {
    fn eq(&self, other: &Self) -> bool {
        self.items == other.items
    }
}

impl Eq for ConfigSnapshot {}

impl Hash for ConfigSnapshot {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.items.hash(state);
    }
}

impl ConfigSnapshot {
    /// Returns all items by key.
    pub fn items(&self) -> &BTreeMap<ItemKey, Item> {
        &self.items
    }

    /// Returns the index of keys and digests by shard.
    pub fn index(&self) -> &ShardIndex {
        &self.index
    }

    /// Returns the item with this key, even if it was removed.
    pub fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns the items of a kind that are not removed.
    pub fn present_items(&self, kind: ItemKind) -> impl Iterator<Item = &Item> {
        let of_kind = move |item: &&Item| item.key.kind == kind && !item.is_removed();
        self.items.values().filter(of_kind)
    }

    /// Inserts an item, or replaces the known one regardless of versions.
    pub fn insert(&mut self, item: Item) {
        self.remove(&item.key);
        self.index.insert(&item);
        self.items.insert(item.key.clone(), item);
    }

    /// Deletes an item together with its version, leaving no tombstone.
    pub fn remove(&mut self, key: &ItemKey) {
        if let Some(known) = self.items.remove(key) {
            self.index.remove(&known);
        }
    }

    /// Inserts an item if its `(version, proposal_number)` is above that of the known item. Returns whether the item
    /// was inserted.
    pub fn merge(&mut self, item: Item) -> bool {
        self.merge_ranked(item, |item| (item.version, item.proposal_number))
    }

    /// Inserts an item if its `(proposal_number, version)` is above that of the known item: a proposal replaces every
    /// earlier proposal. Under the same proposal number the higher version wins, because a proposer first commits the
    /// items that earlier rounds left uncommitted. Returns whether the item was inserted.
    pub fn merge_proposed(&mut self, item: Item) -> bool {
        self.merge_ranked(item, |item| (item.proposal_number, item.version))
    }

    /// Inserts an item if its rank is above that of the known item. Returns whether the item was inserted.
    fn merge_ranked<R: Ord>(&mut self, item: Item, rank: impl Fn(&Item) -> R) -> bool {
        let is_newer = self
            .get(&item.key)
            .is_none_or(|known| rank(known) < rank(&item));
        if is_newer {
            self.insert(item);
        }
        is_newer
    }

    /// Returns the items of a change whose version is above the known one; other items would have no effect.
    pub fn effective_items(&self, change: &ConfigChange) -> Vec<Item> {
        let mut effective = ConfigSnapshot::default();
        for item in change.items.iter().filter(|item| !item.is_unset()) {
            let known = self.get(&item.key).filter(|known| !known.is_unset());
            if known.is_none_or(|known| known.version < item.version) {
                effective.merge(item.clone());
            }
        }
        effective.items.into_values().collect()
    }

    /// Returns one digest of all keys, versions and proposal numbers.
    pub fn digest(&self) -> u64 {
        self.index.digest()
    }

    /// Returns the digest of each group of shards, folded to 32 bits.
    pub fn group_digests(&self) -> Vec<u32> {
        let digests = self.index.group_digests().iter();
        digests
            .map(|digest| (digest ^ digest >> 32) as u32)
            .collect()
    }

    /// Returns the items of the groups whose digests differ from the given ones.
    pub fn items_differing_from(&self, digests: &[u32]) -> Vec<Item> {
        let own = self.group_digests();
        let differs = |item: &&Item| {
            let group = ShardId::of(&item.key).group();
            digests.get(group) != Some(&own[group])
        };
        self.items.values().filter(differs).cloned().collect()
    }

    /// Returns the configuration without mirror rules as the JSON `upserts` of a call that would set all of it.
    pub fn to_json(&self) -> Vec<u8> {
        let mut json = self.lists_to_json(&CONFIG_LISTS);
        let limits = self
            .present_items(ItemKind::Limits)
            .find_map(|item| item.body.as_deref());
        if let Some(limits) = limits {
            json.extend_from_slice(b",\"limits\":");
            json.extend_from_slice(limits);
        }
        json.push(b'}');
        json
    }

    /// Returns the mirror rules as the JSON `upserts` of a call that would set all of them.
    pub fn mirror_rules_to_json(&self) -> Vec<u8> {
        let mut json = self.lists_to_json(&MIRROR_LISTS);
        json.push(b'}');
        json
    }

    /// Returns a JSON object of lists, without its closing brace.
    fn lists_to_json(&self, lists: &[NamedList]) -> Vec<u8> {
        let mut json = Vec::from(b"{");
        for (index, (name, kind)) in lists.iter().enumerate() {
            let items = self.present_items(*kind);
            let bodies: Vec<&[u8]> = items.filter_map(|item| item.body.as_deref()).collect();
            json.extend_from_slice(if index > 0 { b",\"" } else { b"\"" });
            json.extend_from_slice(name.as_bytes());
            json.extend_from_slice(b"\":[");
            json.extend_from_slice(&bodies.join(&b","[..]));
            json.push(b']');
        }
        json
    }
}
