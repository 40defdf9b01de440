//! Maps the names that the discovery service uses to numeric ids.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use damsonbeam::interface::{BackendEntry, BackendId, Health, ListUpdate};

use super::{DiscoveryPage, Member};
use crate::messages::BackendListUpdate;

/// Phase of a backend that accepts requests.
const ACTIVE: &str = "active";
/// Phase of a backend that has been removed.
const LEFT: &str = "left";

/// Numeric ids for the names that the discovery service uses.
pub struct NameTable {
    zones: Vec<String>,
    machine_types: Vec<String>,
    ids: HashMap<String, BackendId>,
}

impl NameTable {
    /// Creates a table with the zones and machine types of the settings, in their order.
    pub fn new(zones: Vec<String>, machine_types: Vec<String>) -> Self {
        NameTable {
            zones,
            machine_types,
            ids: HashMap::new(),
        }
    }

    /// Returns the number of known backend names.
    pub fn name_count(&self) -> usize {
        self.ids.len()
    }

    /// Returns the numeric id of a backend. The id is a hash of the name, so that it is the same at every gateway except
    /// in the rare case of a collision.
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

    /// Converts a page to the form that the dispatcher uses, and removes the names of backends that have left.
    pub fn to_update(&mut self, page: DiscoveryPage, form: ListUpdate) -> BackendListUpdate {
        let addresses = page.members.iter().map(|member| member.host_port).collect();
        let members = page.members.iter();
        let entries = members.map(|member| self.entry(member)).collect();
        let has_left = |member: &&Member| member.phase == LEFT;
        // Backends are replaced continually, so names that are kept after a backend has left would fill the memory.
        if form == ListUpdate::Update {
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
                LEFT => Health::Removed,
                // A backend in an unknown phase cannot be assumed to accept requests.
                _ => Health::Draining,
            },
            started_at: Duration::from_millis(member.up_since_ms),
            machine_type: position(&self.machine_types, &member.flavor),
            zone: position(&self.zones, &member.locality),
            cell: member.cell,
            weight: member.size,
        }
    }
}

/// Returns the position of a name, or `names.len()` if the settings do not contain the name.
fn position(names: &[String], name: &str) -> u32 {
    let known = names.iter().position(|known| known == name);
    known.unwrap_or(names.len()) as u32
}

/// Returns the 32-bit FNV-1a hash.
fn fnv1a(text: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(PRIME)
    })
}
