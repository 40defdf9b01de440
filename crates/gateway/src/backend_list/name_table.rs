//! Numbers for the names that discovery uses.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use damsonbeam::interface::{BackendEntry, BackendId, Health, ListForm};

use super::{DiscoveryPage, Member};
use crate::messages::BackendListUpdate;

/// What discovery calls a backend that takes work, and one that is there no more.
const ACTIVE: &str = "active";
const LEFT: &str = "left";

/// Numbers for the names that discovery uses.
pub struct NameTable {
    zones: Vec<String>,
    kinds: Vec<String>,
    ids: HashMap<String, BackendId>,
}

impl NameTable {
    /// Knows the zones and kinds that the settings name, in their order.
    pub fn new(zones: Vec<String>, kinds: Vec<String>) -> Self {
        NameTable {
            zones,
            kinds,
            ids: HashMap::new(),
        }
    }

    /// How many names it knows.
    pub fn known(&self) -> usize {
        self.ids.len()
    }

    /// The same at every gateway: made from the id alone, but for the rare two that fall together.
    fn backend_id(&mut self, id: &str) -> BackendId {
        if let Some(known) = self.ids.get(id) {
            return *known;
        }
        let mut backend_id = BackendId(fnv1a(id));
        while self.ids.values().any(|taken| *taken == backend_id) {
            backend_id.0 = backend_id.0.wrapping_add(1);
        }
        self.ids.insert(id.to_owned(), backend_id);
        backend_id
    }

    /// A list as the dispatcher takes it. Names of backends that are gone are forgotten.
    pub fn to_update(&mut self, page: DiscoveryPage, form: ListForm) -> BackendListUpdate {
        let addresses = page.members.iter().map(|member| member.host_port).collect();
        let members = page.members.iter();
        let entries = members.map(|member| self.entry(member)).collect();
        let has_left = |member: &&Member| member.phase == LEFT;
        // Backends are replaced for ever: names that are gone must not stay, or they fill the memory.
        if form == ListForm::Update {
            for member in page.members.iter().filter(has_left) {
                self.ids.remove(&member.id);
            }
        } else {
            let listed = page.members.iter().filter(|member| !has_left(member));
            let listed: HashSet<&str> = listed.map(|member| member.id.as_str()).collect();
            self.ids.retain(|id, _| listed.contains(id.as_str()));
        }
        BackendListUpdate {
            form,
            entries,
            addresses,
            names: vec![],
        }
    }

    fn entry(&mut self, member: &Member) -> BackendEntry {
        BackendEntry {
            backend_id: self.backend_id(&member.id),
            health: match member.phase.as_str() {
                ACTIVE => Health::Up,
                LEFT => Health::Gone,
                // An unlisted phase is no promise that it takes work.
                _ => Health::Draining,
            },
            since: Duration::from_millis(member.up_since_ms),
            kind: position(&self.kinds, &member.flavor),
            zone: position(&self.zones, &member.locality),
            cell: member.cell,
            weight: member.size,
        }
    }
}

/// A name that the settings lack has a position of its own, not the first one's.
fn position(names: &[String], name: &str) -> u32 {
    let known = names.iter().position(|known| known == name);
    known.unwrap_or(names.len()) as u32
}

/// The 32-bit FNV-1a hash.
fn fnv1a(text: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}
