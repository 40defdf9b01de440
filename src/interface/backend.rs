//! Backends, as discovery lists them.

use std::time::Duration;

use super::BackendId;

/// Whether a backend takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It does.
    Up,
    /// It finishes what it has.
    Draining,
    /// It is there no more.
    #[default]
    Gone,
}

/// A backend in a list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BackendEntry {
    /// Its name.
    pub backend_id: BackendId,
    /// Whether it takes work.
    pub health: Health,
    /// When its process last started; zero: long ago.
    pub since: Duration,
    /// Its kind of machine.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell of the zone.
    pub cell: u32,
    /// Its capacity beside others'.
    pub weight: f64,
}

/// How a list of backends is to be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Only what changed.
    Update,
    /// The whole list.
    Replace,
    /// The whole list as this gateway last had it; it can be old.
    Restored,
    /// A call to discovery failed; the old list stays.
    Unavailable,
}
