//! Backends as the platform lists them.

use bitcode::{Decode, Encode};

use crate::address::Endpoint;

/// A backend in the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Backend {
    /// The name of this start of the backend: after a restart it has another.
    pub id: String,
    /// The service that it provides.
    pub service: String,
    /// Where it takes requests.
    pub address: Endpoint,
    /// The zone that it stands in.
    pub zone: String,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// It takes no new requests.
    pub draining: bool,
    /// How much longer it warms up, in milliseconds.
    pub warm_up_left_ms: u64,
}

/// Which reading of the platform's list this is. Versions are ordered by term, then by revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct BackendListVersion {
    /// The term of the coordinator that read it; 0: there is no list.
    pub term: u64,
    /// Counts the readings of the term that differed from the one before.
    pub revision: u64,
}

/// The platform's list of backends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct BackendList {
    /// Which reading it is.
    pub version: BackendListVersion,
    /// All backends, or those of a page.
    pub backends: Vec<Backend>,
}
