//! Parts of the messages between proxies and registries.

use bitcode::{Decode, Encode};

use super::BackendListVersion;
use crate::address::{Endpoint, Ip};

/// The status of a proxy, reported by the proxy itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ProxyStatus {
    /// The node name of the proxy.
    pub node: String,
    /// A random number chosen when the proxy starts, so that it differs after a restart.
    pub incarnation: u64,
    /// The zone of the proxy.
    pub zone: String,
    /// The address for clients.
    pub address: Endpoint,
    /// Whether the proxy accepts requests.
    pub ready: bool,
    /// The highest coordinator term that the proxy knows.
    pub term: u64,
}

/// The holder of the coordinator's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct LeaseHolder {
    /// The IP address of the holder.
    pub ip: Ip,
    /// The term of the lease.
    pub term: u64,
}

/// The state of the system, reported by a registry to a proxy in each heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Heartbeat {
    /// The coordinator's time in milliseconds, from which the time slots of shared counts are named.
    pub coordinator_time_ms: u64,
    /// All registries that are not known to be dead, starting with the sender.
    pub registries: Vec<Ip>,
    /// Whether the sender is in contact with a majority of the voters. If not, all data that it sends on this
    /// connection may be stale.
    pub in_contact: bool,
    /// The holder of the coordinator's lease, as known to the sender.
    pub coordinator: Option<LeaseHolder>,
    /// The number of proxies seen recently.
    pub known_proxy_count: u32,
    /// The number of proxies connected to the sender; only meaningful in the coordinator's heartbeats.
    pub connected_proxy_count: u32,
    /// The number of ready proxies in the receiver's region.
    pub region_proxy_count: u32,
    /// The receiver's position among the ready proxies in its region.
    pub region_position: u32,
    /// The digest of the sender's items; 0 if the sender does not yet have all items committed by its store.
    pub config_digest: u64,
    /// The version of the sender's list of backends.
    pub backend_list: BackendListVersion,
}

/// A named count of admitted and requested units, of one proxy or of all proxies.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct NamedCount {
    /// The name, which identifies a tenant and a time slot.
    pub name: String,
    /// The number of admitted units.
    pub admitted: f64,
    /// The number of requested units, whether admitted or not.
    pub requested: f64,
}

/// The share of a tenant's quota that is allotted to a proxy; see `crate::allotment`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Allotment {
    /// The name of the tenant.
    pub tenant: String,
    /// The allotted parts; the whole quota has [`crate::allotment::TOTAL_PARTS`] parts.
    pub parts: u32,
}
