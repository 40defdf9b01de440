//! The list of backends: discovery's messages, and the actor that keeps a watch on it.

mod fetch;
mod name_table;
mod watcher;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use self::name_table::NameTable;
pub use self::watcher::BackendListWatcher;

#[derive(Deserialize, Serialize, Default, Clone)]
pub struct DiscoveryPage {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
}

#[derive(Deserialize, Serialize, Clone)]
pub struct Member {
    pub id: String,
    pub host_port: SocketAddr,
    #[serde(default)]
    pub locality: String,
    #[serde(default)]
    pub flavor: String,
    #[serde(default)]
    pub cell: u32,
    pub phase: String,
    #[serde(default = "one")]
    pub size: f64,
    #[serde(default)]
    pub up_since_ms: u64,
}

fn one() -> f64 {
    1.0
}

impl DiscoveryPage {
    /// The whole list after a page of news.
    pub fn apply(&mut self, update: &DiscoveryPage) {
        self.revision = update.revision;
        if update.complete {
            self.members.clear();
        }
        self.members
            .retain(|m| update.members.iter().all(|n| n.id != m.id));
        self.members
            .extend(update.members.iter().filter(|m| m.phase != "left").cloned());
    }
}
