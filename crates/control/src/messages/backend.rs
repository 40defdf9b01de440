//! The backends, as listed by the platform.

use bitcode::{Decode, Encode};

use crate::address::Endpoint;

/// A backend in the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Backend {
    /// The id of the backend's process; it changes with each restart.
    pub id: String,
    /// The service that the backend provides.
    pub service: String,
    /// The address at which the backend accepts requests.
    pub address: Endpoint,
    /// The zone of the backend.
    pub zone: String,
    /// The number of requests that the backend processes concurrently.
    pub capacity_slots: u32,
    /// Whether the backend accepts no new requests.
    pub draining: bool,
    /// The remaining warm-up time, in milliseconds.
    pub warm_up_left_ms: u64,
}

/// The version of a list of backends read from the platform. Versions are ordered by term, then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct BackendListVersion {
    /// The term of the coordinator that read the list; 0 means that there is no list.
    pub term: u64,
    /// The number of readings in this term that differed from the previous reading.
    pub revision: u64,
}

/// A list of backends read from the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct BackendList {
    /// The version of the list.
    pub version: BackendListVersion,
    /// All backends, or the backends of one page.
    pub backends: Vec<Backend>,
}
