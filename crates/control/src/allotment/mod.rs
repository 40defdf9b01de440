//! What each proxy may admit of a tenant's quota while it hears nothing of the others: its allotment, which outlives the
//! coordinator that gave it. Free of I/O.
//!
//! A part of each quota is shared equally among the proxies. The rest the coordinator divides among them by the tenant's
//! demand at each, as in published work on escrow transactions and on hierarchical rate limiters of the kind of Doorman.
//! [`AllotmentLedger`] is the coordinator's side, [`AllotmentHolding`] a proxy's.
//!
//! At any time the allotments that proxies hold of a tenant add up to [`PARTS`] at most, whichever messages are lost, late
//! or doubled, and whoever is the coordinator:
//!
//! - The ledger has an upper bound of what each holder may hold. It raises it before it sends more, and lowers it only when
//!   the holder has acknowledged less, or is gone for good: it left with its last word, or another incarnation runs in
//!   its place.
//! - The ledger of a new term knows nothing. What a proxy reports to it the proxy can't hold more of: it refuses what
//!   coordinators of earlier terms send it from then on. What no proxy has reported stays set aside, as if a holder out of
//!   contact had it.
//! - A holder that does not hear for [`HOLDING_LEASE`] that its coordinator has its report gives up what it was allotted,
//!   by its own clock. After [`HOLDER_EXPIRY`] the coordinator takes back what such a holder had, and what was set
//!   aside. The equal part has no end.

mod holding;
mod ledger;

use std::time::Duration;

pub use holding::AllotmentHolding;
pub use ledger::{AbsentAllotments, AllotmentChange, AllotmentLedger, TenantDemand};

/// All that is divided of a quota by demand.
pub const PARTS: u32 = 1 << 20;
/// The part of a quota that is shared equally, and not divided by demand.
pub const EQUAL_PART: f64 = 0.3;
/// A holder keeps what it was allotted for this long after its coordinator's last word: longer than outages of the core
/// last, for then nobody else can serve by it.
pub const HOLDING_LEASE: Duration = Duration::from_secs(600);
/// A holder unheard of for this long has given up what it was allotted: longer than the lease by more than a connection
/// lives that delivers nothing, and by clocks of different rates.
pub const HOLDER_EXPIRY: Duration = Duration::from_secs(660);
