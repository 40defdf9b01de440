//! How long replicas wait for each other. Round trips between regions take up to some 200 ms, a slow sync as long.

use std::time::Duration;

/// A phase of a round that gets no majority is given up after this: several round trips, and a slow sync.
pub(super) const PHASE_TIMEOUT: Duration = Duration::from_millis(1200);
/// A command is pending and retried for this long at most; its caller tries elsewhere then.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(3500);
/// An evacuation is pending no longer than its caller waits, who goes elsewhere after a second: one that is carried out
/// later could undo what was commanded since. Items of the configuration have versions, which prevent that.
pub(super) const EVACUATION_TIMEOUT: Duration = Duration::from_millis(900);
/// A forwarded command that is not answered within this is carried out here: several round trips.
pub(super) const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
/// A forwarded command is acknowledged at once. Without an acknowledgement in this time it is carried out here while its
/// caller still waits.
pub(super) const FORWARD_ACK_TIMEOUT: Duration = Duration::from_millis(350);
/// Nothing is forwarded for this long after a forwarded command went unanswered: the first voter may be frozen, slow or
/// cut off, and not known to be yet.
pub(super) const FORWARD_PAUSE: Duration = Duration::from_millis(1200);
/// After a conflict of proposal numbers each proposer waits a random time, up to this times the conflicts: two round
/// trips.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(240);
/// More conflicts in a row than this do not lengthen the backoff.
pub(super) const MAX_CONFLICTS: u32 = 5;
/// Between two comparisons with another replica.
pub(super) const COMPARE_INTERVAL: Duration = Duration::from_millis(1000);
/// Between two comparisons of a replica without a vote, which asks for one by them.
pub(super) const JOIN_INTERVAL: Duration = Duration::from_millis(250);
/// How many times in a row a replica without a vote asks the same voter.
pub(super) const JOIN_ATTEMPTS: usize = 4;
/// A replica that last asked for a vote longer ago than this is gone, or asks elsewhere.
pub(super) const CANDIDATE_TIMEOUT: Duration = Duration::from_millis(700);
/// A change of the voter set waits this long for promises beyond a majority.
pub(super) const EXTRA_PROMISES_TIMEOUT: Duration = Duration::from_millis(150);
/// Between two attempts to change the voter set.
pub(super) const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// A replica that did not run for this long can't say since when others are missing.
pub(super) const STALL: Duration = Duration::from_millis(1500);
/// What is accepted and not known to be committed for this long is committed by a round of its own.
pub(super) const COMMIT_LEFTOVERS_AFTER: Duration = Duration::from_millis(1500);
