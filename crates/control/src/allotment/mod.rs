//! Allotments: the part of a tenant's quota that each proxy may admit without contact with the other proxies. An allotment
//! stays valid when the coordinator that granted it fails. This module does no I/O.
//!
//! A fixed part of each quota ([`EQUAL_SHARE_FRACTION`]) is shared equally among the proxies. The coordinator divides the rest among
//! them in proportion to the tenant's demand at each proxy, as in published work on escrow transactions and on hierarchical
//! rate limiters such as Doorman. [`AllotmentLedger`] is the coordinator's side, [`AllotmentHolding`] the proxy's side.
//!
//! Invariant: at any time the allotments that all proxies hold of one tenant add up to [`TOTAL_PARTS`] at most, even if messages
//! are lost, delayed or duplicated, and across changes of coordinator. The following rules ensure this:
//!
//! - The ledger keeps an upper bound of what each holder may hold. It raises the bound before it sends an increase, and
//!   lowers the bound only when the holder has acknowledged the decrease or is gone permanently: the holder announced its
//!   exit, or another incarnation runs in its place.
//! - The ledger of a new term starts empty. A proxy can't hold more than it reports to this ledger, because it rejects
//!   changes from coordinators of earlier terms from then on. Parts that no proxy has reported stay reserved, as if a
//!   holder out of contact had them.
//! - A holder that gets no confirmation within [`HOLDING_LEASE`], by its own clock, that the coordinator has its report
//!   gives up its allotments. After [`HOLDER_EXPIRY`] the coordinator reclaims the parts of such a holder and the reserved
//!   parts. The equal part does not expire.

mod holding;
mod ledger;

use std::time::Duration;

pub use holding::AllotmentHolding;
pub use ledger::{AbsentAllotments, AllotmentChange, AllotmentLedger, TenantDemand};

/// The part of a quota that is divided by demand, expressed in parts: allotments are multiples of `1 / TOTAL_PARTS` of it.
pub const TOTAL_PARTS: u32 = 1 << 20;
/// The fraction of a quota that is shared equally among the proxies instead of being divided by demand.
pub const EQUAL_SHARE_FRACTION: f64 = 0.3;
/// How long a holder keeps its allotments after the coordinator's last confirmation. The lease is longer than outages of
/// the core, during which no other proxy could be allotted these parts.
pub const HOLDING_LEASE: Duration = Duration::from_secs(600);
/// After this long without a message from a holder, the holder has given up its allotments. The value exceeds
/// [`HOLDING_LEASE`] by more than the lifetime of a connection that delivers nothing plus the difference in clock rates.
pub const HOLDER_EXPIRY: Duration = Duration::from_secs(660);
