//! The list of backends: messages of the discovery service and the actor that watches the list.

mod fetch;
mod name_table;
mod watcher;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use self::name_table::NameTable;
pub use self::watcher::BackendListWatcher;

/// Response of the discovery service: the whole list or the changes to it.
#[derive(Deserialize, Serialize, Default, Clone)]
pub struct DiscoveryPage {
    /// Revision of the list, increased with each change.
    pub revision: u64,
    /// Whether the page holds the whole list.
    pub complete: bool,
    /// The listed or changed backends.
    pub members: Vec<Member>,
}

/// A backend as described by the discovery service.
#[derive(Deserialize, Serialize, Clone)]
pub struct Member {
    /// Name of the backend.
    pub id: String,
    /// Address of the backend.
    pub host_port: SocketAddr,
    /// Zone of the backend.
    #[serde(default)]
    pub locality: String,
    /// Machine type.
    #[serde(default)]
    pub flavor: String,
    /// Cell within the zone.
    #[serde(default)]
    pub cell: u32,
    /// Phase of the backend: `active` if it accepts requests, `left` if it has been removed; any other value means that
    /// it drains.
    pub phase: String,
    /// Capacity relative to other backends.
    #[serde(default = "default_size")]
    pub size: f64,
    /// Time at which the process last started, in milliseconds; 0 means long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

fn default_size() -> f64 {
    1.0
}

impl DiscoveryPage {
    /// Applies an update to this list: replaces the list if the update is complete, otherwise merges the changes.
    pub fn apply(&mut self, update: &DiscoveryPage) {
        self.revision = update.revision;
        if update.complete {
            self.members.clear();
        }
        self.members
            .retain(|member| update.members.iter().all(|changed| changed.id != member.id));
        self.members.extend(
            update
                .members
                .iter()
                .filter(|member| member.phase != "left")
                .cloned(),
        );
    }
}
