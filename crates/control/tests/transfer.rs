//! The transfer protocol over a connection that loses, duplicates and reorders messages and is interrupted, while the
//! provider's items change.
//!
//! Invariants: after a complete round the receiver has every item that the provider had at the round's comparison, in the
//! same version or a later one. Once messages are no longer lost, both snapshots become equal.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_control::messages::{MAX_CHUNK_BYTES, TransferMessage, split_items};
use damsonbeam_control::transfer::{CHUNKS_IN_FLIGHT, Received, Receiver, answer_message};
use quickcheck::{QuickCheck, TestResult};

type Versions = Vec<(u16, u8)>;
type Property = fn(Versions, Versions, Vec<u16>) -> TestResult;

const NOW: Duration = Duration::ZERO;

fn item(number: u16, version: u64) -> Item {
    let key = ItemKey {
        kind: ItemKind::Tenant,
        name: format!("tenant-{number}"),
    };
    let body = (!version.is_multiple_of(5)).then(|| vec![b'x'; usize::from(number % 7) * 5_000]);
    Item {
        key,
        version,
        proposal_number: ProposalNumber::default(),
        body,
    }
}

fn merge_all(snapshot: &mut ConfigSnapshot, items: Vec<Item>) {
    for item in items {
        snapshot.merge(item);
    }
}

#[derive(Default)]
struct Simulation {
    provider_snapshot: ConfigSnapshot,
    receiver_snapshot: ConfigSnapshot,
    receiver: Receiver,
    to_provider: Vec<TransferMessage>,
    to_receiver: Vec<TransferMessage>,
    /// The provider's snapshot when it first answered the comparison of each round.
    provider_at_comparison: HashMap<u32, ConfigSnapshot>,
    round: u32,
    completed: bool,
}

impl Simulation {
    fn reconnect(&mut self) {
        self.to_provider.clear();
        self.to_receiver.clear();
        self.begin_round();
    }

    /// Begins a round while messages of the previous round may still be in flight.
    fn begin_round(&mut self) {
        self.completed = false;
        self.round += 1;
        self.to_provider
            .push(self.receiver.begin(&self.receiver_snapshot, NOW));
    }

    fn provide(&mut self, message: &TransferMessage) {
        if let TransferMessage::Compare { round, .. } = message {
            self.provider_at_comparison
                .entry(*round)
                .or_insert_with(|| self.provider_snapshot.clone());
        }
        let reply = answer_message(&self.provider_snapshot, message)
            .expect("a receiver's message has an answer");
        if let TransferMessage::Chunk { items, .. } = &reply {
            let bytes: usize = items.iter().map(Item::wire_bytes).sum();
            assert!(bytes <= MAX_CHUNK_BYTES, "a chunk has {bytes} bytes");
        }
        self.to_receiver.push(reply);
    }

    fn receive(&mut self, message: TransferMessage) {
        let Received { items, complete } =
            self.receiver.receive(&self.receiver_snapshot, message, NOW);
        merge_all(&mut self.receiver_snapshot, items);
        self.to_provider
            .extend(self.receiver.requests(&self.receiver_snapshot));
        let is_request = |message: &&TransferMessage| matches!(message, TransferMessage::Request { round, .. } if *round == self.round);
        let requests = self.to_provider.iter().filter(is_request).count();
        assert!(
            requests <= CHUNKS_IN_FLIGHT,
            "{requests} queued requests in one round"
        );
        if complete.is_some() {
            self.completed = true;
            for (key, item) in self.provider_at_comparison[&self.round].items() {
                let held = self
                    .receiver_snapshot
                    .get(key)
                    .map_or(0, |held| held.version);
                assert!(
                    held >= item.version,
                    "the round is complete without {key:?} version {}",
                    item.version
                );
            }
        }
    }

    /// Applies one random event, selected by `choice`.
    fn step(&mut self, choice: u16) {
        let pick = usize::from(choice / 8);
        match choice % 8 {
            0 => merge_all(
                &mut self.provider_snapshot,
                vec![item(choice / 8 % 400, u64::from(choice % 23))],
            ),
            1 if pick % 8 == 0 => self.reconnect(),
            1 if pick % 8 == 1 => self.begin_round(),
            2 if !self.to_receiver.is_empty() => {
                drop(self.to_receiver.remove(pick % self.to_receiver.len()));
            }
            3 if !self.to_receiver.is_empty() => {
                let duplicate = self.to_receiver[pick % self.to_receiver.len()].clone();
                self.receive(duplicate.clone());
                let again = self
                    .receiver
                    .receive(&self.receiver_snapshot, duplicate, NOW);
                assert!(
                    again == Received::default(),
                    "a duplicate message has a result"
                );
            }
            4 | 5 if !self.to_provider.is_empty() => {
                let message = self.to_provider.remove(pick % self.to_provider.len());
                self.provide(&message);
            }
            6 | 7 if !self.to_receiver.is_empty() => {
                let message = self.to_receiver.remove(pick % self.to_receiver.len());
                self.receive(message);
            }
            _ => {}
        }
    }

    /// Reconnects and runs one round in which every message is delivered.
    fn run_without_loss(&mut self) {
        self.reconnect();
        while let Some(message) = self.to_provider.pop() {
            self.provide(&message);
            while let Some(message) = self.to_receiver.pop() {
                self.receive(message);
            }
        }
    }
}

fn converges(
    provider_versions: Versions,
    receiver_versions: Versions,
    choices: Vec<u16>,
) -> TestResult {
    let mut simulation = Simulation::default();
    let provided = provider_versions
        .iter()
        .map(|(n, version)| item(n % 400, (*version).into()));
    merge_all(&mut simulation.provider_snapshot, provided.collect());
    // The receiver lacks some items, has older versions of others, and has no item that the provider never had.
    for (n, version) in receiver_versions {
        let known = simulation
            .provider_snapshot
            .get(&item(n % 400, 0).key)
            .map(|known| known.version);
        let older = known.map(|known| item(n % 400, known.min(version.into())));
        merge_all(
            &mut simulation.receiver_snapshot,
            older.into_iter().collect(),
        );
    }
    simulation.reconnect();
    choices
        .into_iter()
        .for_each(|choice| simulation.step(choice));
    simulation.run_without_loss();
    assert!(simulation.completed && simulation.receiver.is_idle());
    TestResult::from_bool(
        simulation.receiver_snapshot == simulation.provider_snapshot
            && simulation.receiver_snapshot.digest() == simulation.provider_snapshot.digest(),
    )
}

#[test]
fn complete_rounds_have_all_items_and_snapshots_converge_over_a_lossy_connection() {
    QuickCheck::new()
        .tests(400)
        .rng(quickcheck::Gen::new(300))
        .quickcheck(converges as Property);
}

#[test]
fn a_round_completes_although_the_provider_has_older_items() {
    let mut simulation = Simulation::default();
    // All of the provider's items are older than the receiver's, and they do not fit into one chunk.
    for n in 0..400 {
        merge_all(&mut simulation.provider_snapshot, vec![item(n, 1)]);
        merge_all(&mut simulation.receiver_snapshot, vec![item(n, 2)]);
    }
    simulation.run_without_loss();
    assert!(
        simulation.completed
            && simulation
                .receiver_snapshot
                .get(&item(6, 0).key)
                .is_some_and(|item| item.version == 2)
    );
}

#[test]
fn one_changed_item_of_many_transfers_less_than_1000_bytes() {
    let mut simulation = Simulation::default();
    for n in 0..20_000 {
        simulation.provider_snapshot.insert(item(n - n % 7, 1));
    }
    simulation.receiver_snapshot = simulation.provider_snapshot.clone();
    merge_all(&mut simulation.provider_snapshot, vec![item(7, 2)]);
    let bytes = |message: &TransferMessage| damsonbeam_control::messages::encode(message).len();
    let mut transferred = 0;
    simulation.reconnect();
    while let Some(message) = simulation.to_provider.pop() {
        transferred += bytes(&message);
        simulation.provide(&message);
        while let Some(message) = simulation.to_receiver.pop() {
            transferred += bytes(&message);
            simulation.receive(message);
        }
    }
    assert!(simulation.completed && simulation.receiver_snapshot == simulation.provider_snapshot);
    assert!(transferred < 1_000, "transferred {transferred} bytes");
}

#[test]
fn split_items_returns_bounded_chunks_that_concatenate_to_the_list() {
    let all: Vec<Item> = (0..200).map(|n| item(n, 1)).collect();
    let chunks = split_items(all.clone());
    let size = |chunk: &Vec<Item>| chunk.iter().map(Item::wire_bytes).sum::<usize>();
    assert!(chunks.len() > 10 && chunks.iter().all(|chunk| size(chunk) <= MAX_CHUNK_BYTES));
    assert_eq!(chunks.concat(), all);
}
