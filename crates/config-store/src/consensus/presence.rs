//! Tracks which voters are present, and determines the change of the voter set that is due.

use std::time::Duration;

use damsonbeam_control::address::Ip;

use super::Replica;
use super::membership::{Presence, next_voters};
use super::timing::{CANDIDATE_TIMEOUT, STALL_THRESHOLD};
use super::voters::{Voter, VoterSet};

impl Replica {
    fn presence(&self, voter: &Voter, now: Duration) -> Presence {
        if *voter == self.identity() {
            return if self.is_leaving {
                Presence::Leaving
            } else {
                Presence::Present
            };
        }
        if self.peers.contains(&voter.ip) {
            return Presence::Present;
        }
        let last_seen = self.last_seen.get(&voter.ip).copied().unwrap_or(now);
        Presence::Missing(now.saturating_sub(last_seen))
    }

    /// Returns the change of the voter set that is due, if any.
    pub(super) fn due_voter_set_change(&self, now: Duration) -> Option<VoterSet> {
        let set = self
            .voters
            .as_ref()
            .filter(|_| now >= self.next_voter_set_change_at)?;
        let candidates: Vec<Voter> = self.candidates.keys().copied().collect();
        next_voters(set, |voter| self.presence(voter, now), &candidates)
    }

    /// Records which voters are alive now, and drops candidates that no longer request a vote. A replica that was
    /// itself stalled doesn't know how long others have been missing, so it counts from now.
    pub(super) fn update_presence(&mut self, now: Duration) {
        let was_stalled = now.saturating_sub(self.last_tick) > STALL_THRESHOLD;
        self.last_tick = now;
        self.candidates
            .retain(|_, asked| now < *asked + CANDIDATE_TIMEOUT);
        let voters = self.voters.iter().flat_map(VoterSet::voters);
        let ips: Vec<Ip> = voters.map(|voter| voter.ip).collect();
        self.last_seen.retain(|ip, _| ips.contains(ip));
        for ip in ips {
            let is_new = !self.last_seen.contains_key(&ip);
            if was_stalled || is_new || self.peers.contains(&ip) {
                self.last_seen.insert(ip, now);
            }
        }
    }
}
