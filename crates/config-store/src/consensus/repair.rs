//! Repair (anti-entropy): replicas compare digests, and send each other the items of the shards that differ. A replica
//! without a vote asks for one this way: a voter that holds the same committed items takes it for a candidate.

use std::time::Duration;

use damsonbeam_control::address::Ip;
use damsonbeam_control::config::{Item, ProposalNumber};
use damsonbeam_control::messages::{Message, StateGroupDigests};

use super::timing::{COMPARE_INTERVAL, JOIN_ATTEMPTS, JOIN_INTERVAL};
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
            learner: (!self.is_voter()).then_some(self.durable.disk_id),
        }
    }

    /// Compares with one other replica now and then. One without a vote compares more often, and with the same voter a few
    /// times in a row, so that those who join at the same time turn to the same one.
    pub(super) fn compare_when_due(&mut self, now: Duration) {
        if now < self.next_compare_at {
            return;
        }
        let Some(peer) = self.next_to_compare() else {
            return;
        };
        let interval = if self.is_voter() {
            COMPARE_INTERVAL
        } else {
            JOIN_INTERVAL
        };
        self.next_compare_at = now + interval;
        self.compare_turn += 1;
        self.effects
            .push(Effect::Send(peer, self.digests_message()));
    }

    fn next_to_compare(&self) -> Option<Ip> {
        if !self.is_voter() {
            let voters = self.voters.iter().flat_map(VoterSet::voters);
            let voters = voters.map(|voter| voter.ip).filter(|ip| *ip != self.own_ip);
            let voters: Vec<Ip> = voters.collect();
            if !voters.is_empty() {
                return Some(voters[self.compare_turn / JOIN_ATTEMPTS % voters.len()]);
            }
        }
        let index = self.compare_turn % self.peers.len().max(1);
        self.peers.get(index).copied()
    }

    /// Another replica sends its digests.
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
            let items = self.items_lacking(&digests);
            self.effects.push(Effect::Send(from, items));
        }
    }

    /// Another replica sends what this one lacks, or may lack.
    pub(super) fn receive_repair(
        &mut self,
        items: Vec<Item>,
        committed: Vec<Item>,
        promised: ProposalNumber,
    ) {
        self.highest_round = self.highest_round.max(promised.round);
        self.accept(items);
        self.learn(committed);
    }

    /// What another replica lacks, or may lack: the items of the shards that differ.
    fn items_lacking(&self, digests: &StateGroupDigests) -> Message {
        let mut items = self
            .durable
            .accepted
            .items_differing_from(&digests.accepted);
        items.retain(|item| self.durable.committed.get(&item.key) != Some(item));
        Message::RepairItems {
            items,
            committed: self
                .durable
                .committed
                .items_differing_from(&digests.committed),
            promised: self.durable.promised,
        }
    }
}
