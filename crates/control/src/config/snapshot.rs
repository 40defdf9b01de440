//! All items that one process knows, merged item by item.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use super::change::{CONFIG_LISTS, MIRROR_LISTS, NamedList};
use super::{ConfigChange, Item, ItemKey, ItemKind, ShardId, ShardIndex};

/// All items known, removed ones too.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    items: BTreeMap<ItemKey, Item>,
    /// Follows from the items; kept up to date because digests are asked for many times a second.
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
    /// All items by key.
    pub fn items(&self) -> &BTreeMap<ItemKey, Item> {
        &self.items
    }

    /// Keys and digests by shard.
    pub fn index(&self) -> &ShardIndex {
        &self.index
    }

    /// One item, removed ones too.
    pub fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.items.get(key)
    }

    /// The items of a kind that are not removed.
    pub fn present_items(&self, kind: ItemKind) -> impl Iterator<Item = &Item> {
        let of_kind = move |item: &&Item| item.key.kind == kind && !item.is_removed();
        self.items.values().filter(of_kind)
    }

    /// Puts an item in place of the one known, whatever their versions.
    pub fn insert(&mut self, item: Item) {
        self.remove(&item.key);
        self.index.insert(&item);
        self.items.insert(item.key.clone(), item);
    }

    /// Forgets an item and its version.
    pub fn remove(&mut self, key: &ItemKey) {
        if let Some(known) = self.items.remove(key) {
            self.index.remove(&known);
        }
    }

    /// Takes an item in if its version is above the one known, or, of one version, its proposal number. Returns whether
    /// it did.
    pub fn merge(&mut self, item: Item) -> bool {
        self.merge_ranked(item, |item| (item.version, item.proposal_number))
    }

    /// Takes an item in if its proposal number is above that of the one known: a proposal takes the place of any earlier
    /// one. Of one number the later version prevails, for what was left uncommitted before it is committed first. Returns
    /// whether it did.
    pub fn merge_proposed(&mut self, item: Item) -> bool {
        self.merge_ranked(item, |item| (item.proposal_number, item.version))
    }

    /// Takes an item in if it ranks above the one known. Returns whether it did.
    fn merge_ranked<R: Ord>(&mut self, item: Item, rank: impl Fn(&Item) -> R) -> bool {
        let prevails = self
            .get(&item.key)
            .is_none_or(|known| rank(known) < rank(&item));
        if prevails {
            self.insert(item);
        }
        prevails
    }

    /// The items of a change that would have an effect here: an equal or lower version has none.
    pub fn effective_items(&self, change: &ConfigChange) -> Vec<Item> {
        let mut effective = ConfigSnapshot::default();
        for item in &change.items {
            if self
                .get(&item.key)
                .is_none_or(|known| known.version < item.version)
            {
                effective.merge(item.clone());
            }
        }
        effective.items.into_values().collect()
    }

    /// One digest of all keys, versions and proposal numbers.
    pub fn digest(&self) -> u64 {
        self.index.digest()
    }

    /// A digest of 32 bits for each group of shards.
    pub fn group_digests(&self) -> Vec<u32> {
        let digests = self.index.group_digests().iter();
        digests
            .map(|digest| (digest ^ digest >> 32) as u32)
            .collect()
    }

    /// The items of the groups whose digests are not these.
    pub fn items_differing_from(&self, digests: &[u32]) -> Vec<Item> {
        let own = self.group_digests();
        let differs = |item: &&Item| {
            let group = ShardId::of(&item.key).group();
            digests.get(group) != Some(&own[group])
        };
        self.items.values().filter(differs).cloned().collect()
    }

    /// The operators' configuration as the `upserts` of a call that would set all of it.
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

    /// The mirror rules as the `upserts` of a call that would set all of them.
    pub fn mirror_rules_to_json(&self) -> Vec<u8> {
        let mut json = self.lists_to_json(&MIRROR_LISTS);
        json.push(b'}');
        json
    }

    /// An object of lists, without its closing brace.
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
