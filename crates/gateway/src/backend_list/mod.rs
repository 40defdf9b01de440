//! The list of backends: discovery's messages, and the actor that keeps a watch on it.

mod fetch;
mod name_table;
mod watcher;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub use self::name_table::NameTable;
pub use self::watcher::BackendListWatcher;

/// Discovery's answer: the list, or what changed of it.
#[derive(Deserialize, Serialize, Default, Clone)]
pub struct DiscoveryPage {
    /// Counts the changes.
    pub revision: u64,
    /// It is the whole list.
    pub complete: bool,
    /// The backends.
    pub members: Vec<Member>,
}

/// A backend, as discovery tells of it.
#[derive(Deserialize, Serialize, Clone)]
pub struct Member {
    /// Its name.
    pub id: String,
    /// Where it is reached.
    pub host_port: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// Its kind of machine.
    #[serde(default)]
    pub flavor: String,
    /// Its cell of the zone.
    #[serde(default)]
    pub cell: u32,
    /// Whether it takes work.
    pub phase: String,
    /// Its capacity beside others'.
    #[serde(default = "one")]
    pub size: f64,
    /// When its process last started; 0: long ago.
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
