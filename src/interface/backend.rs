//! Entries of the list of backends that discovery provides.

use std::time::Duration;

use super::BackendId;

/// Whether a backend accepts work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The backend accepts work.
    Up,
    /// The backend only finishes the work that it has.
    Draining,
    /// The backend no longer exists.
    #[default]
    Removed,
}

/// An entry of the list of backends.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendEntry {
    /// The backend.
    pub backend_id: BackendId,
    /// Whether the backend accepts work.
    pub health: Health,
    /// Start time of the process; zero for a process started long ago.
    pub started_at: Duration,
    /// The type of the machine.
    pub machine_type: u32,
    /// The zone of the backend.
    pub zone: u32,
    /// The cell within the zone.
    pub cell: u32,
    /// Capacity relative to other backends.
    pub weight: f64,
}

/// How a list of backends is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the changed entries.
    Update,
    /// The full list.
    Replace,
    /// The full list as last known to this gateway, which may be outdated.
    Restored,
    /// A call to discovery failed. The previous list stays in effect.
    Unavailable,
}
