//! Repair (anti-entropy): replicas compare digests, and send each other the items of the shards that differ. A learner
//! also requests a vote with these messages: a voter that holds the same committed items records it as a candidate.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{Item, ProposalNumber};
use damsonbeam_control::messages::{Message, StateGroupDigests};

use super::timing::{COMPARISON_INTERVAL, JOIN_ATTEMPTS_PER_VOTER, JOIN_INTERVAL};
use super::voters::{Voter, VoterSet};
use super::{Effect, Replica};

impl Replica {
    fn group_digests(&self) -> StateGroupDigests {
        StateGroupDigests {
            accepted: self.durable.accepted.group_digests(),
            committed: self.durable.committed.group_digests(),
        }
    }

    pub(super) fn digests_message(&self) -> Message {
        Message::CompareDigests {
            digests: self.group_digests(),
            learner_disk_id: (!self.is_voter()).then_some(self.durable.disk_id),
        }
    }

    /// Sends the digests to one other replica if a comparison is due. A learner compares more often, and with the same
    /// voter [`JOIN_ATTEMPTS_PER_VOTER`] times in a row, so that learners that join at the same time ask the same
    /// voter.
    pub(super) fn compare_if_due(&mut self, now: Duration) {
        if now < self.next_compare_at {
            return;
        }
        let Some(peer) = self.next_comparison_peer() else {
            return;
        };
        let interval = if self.is_voter() {
            COMPARISON_INTERVAL
        } else {
            JOIN_INTERVAL
        };
        self.next_compare_at = now + interval;
        self.comparison_count += 1;
        self.effects
            .push(Effect::Send(peer, self.digests_message()));
    }

    fn next_comparison_peer(&self) -> Option<Ip> {
        if !self.is_voter() {
            let voters = self.voters.iter().flat_map(VoterSet::voters);
            let voters = voters.map(|voter| voter.ip).filter(|ip| *ip != self.own_ip);
            let voters: Vec<Ip> = voters.collect();
            if !voters.is_empty() {
                return Some(
                    voters[self.comparison_count / JOIN_ATTEMPTS_PER_VOTER % voters.len()],
                );
            }
        }
        let index = self.comparison_count % self.peers.len().max(1);
        self.peers.get(index).copied()
    }

    /// Handles the digests of another replica: sends it the items of the shards that differ, and records a learner
    /// whose committed items are equal as a candidate.
    pub(super) fn receive_compare(
        &mut self,
        from: Ip,
        digests: StateGroupDigests,
        learner: Option<u64>,
        now: Duration,
    ) {
        let own = self.group_digests();
        if let Some(disk_id) = learner
            && digests.committed == own.committed
        {
            self.candidates.insert(Voter { ip: from, disk_id }, now);
        }
        if digests != own {
            let message = self.repair_message(&digests);
            self.effects.push(Effect::Send(from, message));
        }
    }

    /// Handles committed items from a replica whose digests differ from the ones here.
    pub(super) fn receive_repair(&mut self, committed: Vec<Item>, promised: ProposalNumber) {
        self.highest_round = self.highest_round.max(promised.round);
        self.learn(committed);
    }

    /// Returns the message with the committed items of the shards that differ, which the other replica may lack.
    /// Uncommitted items are left to the next round: a part of a call must not be accepted without the rest.
    fn repair_message(&self, digests: &StateGroupDigests) -> Message {
        Message::RepairItems {
            items: Vec::new(),
            committed: self
                .durable
                .committed
                .items_differing_from(&digests.committed),
            promised: self.durable.promised,
        }
    }
}
