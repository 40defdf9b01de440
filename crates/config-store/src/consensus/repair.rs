//! Repair: replicas compare digests, and send each other the items of the parts that differ. A replica without a vote
//! asks for one this way: a voter that it is level with takes it for a candidate.

use std::time::Duration;

use damsonbeam_control::items::{Ballot, Item};
use damsonbeam_control::messages::{Ip, Message};

use super::voters::{Voter, VoterSet};
use super::{COMPARE_INTERVAL, Effect, JOIN_ASKS, JOIN_INTERVAL, Replica};

impl Replica {
    pub(super) fn compare_digests(&self) -> Message {
        let digests = (
            self.durable.accepted.digests(),
            self.durable.decided.digests(),
        );
        let learner = (!self.is_voter()).then_some(self.durable.disk);
        Message::CompareDigests { digests, learner }
    }

    /// Compares with one other replica now and then; one without a vote asks more often, the same voter a few times in
    /// a row, so that those who join at the same time turn to the same one.
    pub(super) fn compare_when_due(&mut self, now: Duration) {
        if now < self.next_compare_at {
            return;
        }
        let joins = !self.is_voter();
        let known: Vec<Ip> = self
            .voters
            .iter()
            .flat_map(VoterSet::voters)
            .map(|v| v.ip)
            .collect();
        let voters: Vec<Ip> = known.into_iter().filter(|ip| *ip != self.me).collect();
        let whom = if joins && !voters.is_empty() {
            voters[self.compare_turn / JOIN_ASKS % voters.len()]
        } else if let Some(peer) = self.peers.get(self.compare_turn % self.peers.len().max(1)) {
            *peer
        } else {
            return;
        };
        self.next_compare_at = now
            + if joins {
                JOIN_INTERVAL
            } else {
                COMPARE_INTERVAL
            };
        self.compare_turn += 1;
        self.effects
            .push(Effect::Send(whom, self.compare_digests()));
    }

    /// Another replica tells its digests.
    pub(super) fn receive_compare(
        &mut self,
        from: Ip,
        digests: (Vec<u32>, Vec<u32>),
        learner: Option<u64>,
        now: Duration,
    ) {
        let candidate = learner.map(|disk| Voter { ip: from, disk });
        if let Some(candidate) = candidate
            && digests.1 == self.durable.decided.digests()
        {
            self.candidates.insert(candidate, now);
        }
        if digests
            != (
                self.durable.accepted.digests(),
                self.durable.decided.digests(),
            )
        {
            self.effects
                .push(Effect::Send(from, self.repair_items(&digests)));
        }
    }

    /// Another replica sends what this one lacks, or may lack.
    pub(super) fn receive_repair(&mut self, items: Vec<Item>, decided: Vec<Item>, ballot: Ballot) {
        self.highest = self.highest.max(ballot.round);
        self.accept(items);
        self.learn(decided);
    }

    /// What another lacks, or may lack: the items of the parts that differ.
    fn repair_items(&self, (accepted, decided): &(Vec<u32>, Vec<u32>)) -> Message {
        let mut items = self.durable.accepted.beside(accepted);
        items.retain(|i| self.durable.decided.get(&i.key) != Some(i));
        let decided = self.durable.decided.beside(decided);
        Message::RepairItems {
            items,
            decided,
            ballot: self.durable.promised,
        }
    }
}
