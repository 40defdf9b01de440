//! Which voters are present as this replica sees it, and the change of the voter set that is due.

use std::time::Duration;

use damsonbeam_control::address::Ip;

use super::Replica;
use super::membership::{Presence, next_voters};
use super::timing::{CANDIDATE_TIMEOUT, STALL};
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

    /// The change of the voter set that is due, if any.
    pub(super) fn due_change(&self, now: Duration) -> Option<VoterSet> {
        let set = self
            .voters
            .as_ref()
            .filter(|_| now >= self.next_change_at)?;
        let candidates: Vec<Voter> = self.candidates.keys().copied().collect();
        next_voters(set, |voter| self.presence(voter, now), &candidates)
    }

    /// Notes which voters are alive now. A replica that stood still itself can't say since when others are missing: it
    /// counts from now.
    pub(super) fn track_voters(&mut self, now: Duration) {
        let was_stalled = now.saturating_sub(self.last_tick) > STALL;
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
