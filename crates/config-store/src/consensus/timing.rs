//! Timeouts and intervals between replicas. A round trip between regions takes up to about 200 ms, and so does a slow
//! disk sync.

use std::time::Duration;

/// How long a phase of a round waits for a majority: several round trips and a slow sync.
pub(super) const PHASE_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long a command may be pending and retried; after that its caller tries another store.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(3500);
/// How long an evacuation may be pending. The caller tries another store after one second, and an evacuation applied
/// later than that could undo a newer command. Changes of the configuration need no such limit, because their items
/// have versions.
pub(super) const EVACUATION_TIMEOUT: Duration = Duration::from_millis(900);
/// A forwarded command that is acknowledged but not answered within this time is applied here: several round trips.
pub(super) const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// How long to wait for the acknowledgement of a forwarded command, which is sent at once. Without an acknowledgement
/// the command is applied here while its caller still waits.
pub(super) const FORWARD_ACK_TIMEOUT: Duration = Duration::from_millis(350);
/// How long forwarding is suspended after a forwarded command was not answered: the first voter may be frozen, slow or
/// partitioned, and not yet known to be.
pub(super) const FORWARDING_SUSPENSION: Duration = Duration::from_millis(1200);
/// After a conflict of proposal numbers each proposer waits a random time below this value multiplied by the number of
/// consecutive conflicts. The value is two round trips.
pub(super) const BACKOFF_PER_CONFLICT: Duration = Duration::from_millis(240);
/// The number of consecutive conflicts above which the backoff no longer grows.
pub(super) const MAX_BACKOFF_CONFLICTS: u32 = 5;
/// The interval between two comparisons with other replicas.
pub(super) const COMPARISON_INTERVAL: Duration = Duration::from_millis(1000);
/// The interval between two comparisons of a learner, which requests a vote with them.
pub(super) const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// How many times in a row a learner asks the same voter.
pub(super) const JOIN_ATTEMPTS_PER_VOTER: usize = 4;
/// How long a learner remains a candidate after its last request for a vote. An older request means that the learner
/// has ended, or asks another voter.
pub(super) const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a change of the voter set waits for promises beyond a majority.
pub(super) const EXTRA_PROMISES_TIMEOUT: Duration = Duration::from_millis(150);
/// The pause after a failed attempt to change the voter set.
pub(super) const VOTER_SET_CHANGE_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// A replica that did not run for this long doesn't know how long others have been missing.
pub(super) const STALL_THRESHOLD: Duration = Duration::from_millis(1500);
/// Items that have been accepted but not known to be committed for this long are committed by a separate round.
pub(super) const UNCOMMITTED_ITEMS_TIMEOUT: Duration = Duration::from_millis(1500);
