//! Catching up over a connection that loses, doubles and reorders messages and breaks off, while the provider's items
//! change: what a complete round promises holds, and without further losses both sides become alike.

use std::collections::HashMap;
use std::time::Duration;

use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKey, ItemKind, ProposalNumber};
use damsonbeam_control::messages::{CHUNK_BYTES, TransferMessage, split_items};
use damsonbeam_control::transfer::{CHUNKS_IN_FLIGHT, Received, Receiver, answer};
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
struct World {
    provider: ConfigSnapshot,
    held: ConfigSnapshot,
    receiver: Receiver,
    to_provider: Vec<TransferMessage>,
    to_receiver: Vec<TransferMessage>,
    /// What the provider had when it answered each round's comparison.
    compared: HashMap<u32, ConfigSnapshot>,
    round: u32,
    completed: bool,
}

impl World {
    fn reconnect(&mut self) {
        self.to_provider.clear();
        self.to_receiver.clear();
        self.begin_round();
    }

    /// Another round while messages of the one before are still on their way.
    fn begin_round(&mut self) {
        self.completed = false;
        self.round += 1;
        self.to_provider.push(self.receiver.begin(&self.held, NOW));
    }

    fn provide(&mut self, message: &TransferMessage) {
        if let TransferMessage::Compare { round, .. } = message {
            self.compared
                .entry(*round)
                .or_insert_with(|| self.provider.clone());
        }
        let reply = answer(&self.provider, message).expect("a receiver's message has an answer");
        if let TransferMessage::Chunk { items, .. } = &reply {
            let bytes: usize = items.iter().map(Item::wire_bytes).sum();
            assert!(bytes <= CHUNK_BYTES, "a chunk of {bytes} bytes");
        }
        self.to_receiver.push(reply);
    }

    fn receive(&mut self, message: TransferMessage) {
        let Received { items, complete } = self.receiver.receive(&self.held, message, NOW);
        merge_all(&mut self.held, items);
        self.to_provider.extend(self.receiver.requests(&self.held));
        let asked = |m: &&TransferMessage| matches!(m, TransferMessage::Request { round, .. } if *round == self.round);
        let requests = self.to_provider.iter().filter(asked).count();
        assert!(
            requests <= CHUNKS_IN_FLIGHT,
            "{requests} requests of one round"
        );
        if complete.is_some() {
            self.completed = true;
            for (key, item) in self.compared[&self.round].items() {
                let held = self.held.get(key).map_or(0, |held| held.version);
                assert!(
                    held >= item.version,
                    "complete without {key:?} {}",
                    item.version
                );
            }
        }
    }

    /// One event, by a number.
    fn step(&mut self, choice: u16) {
        let pick = usize::from(choice / 8);
        match choice % 8 {
            0 => merge_all(
                &mut self.provider,
                vec![item(choice / 8 % 400, u64::from(choice % 23))],
            ),
            1 if pick % 8 == 0 => self.reconnect(),
            1 if pick % 8 == 1 => self.begin_round(),
            2 if !self.to_receiver.is_empty() => {
                drop(self.to_receiver.remove(pick % self.to_receiver.len()));
            }
            3 if !self.to_receiver.is_empty() => {
                let doubled = self.to_receiver[pick % self.to_receiver.len()].clone();
                self.receive(doubled.clone());
                let again = self.receiver.receive(&self.held, doubled, NOW);
                assert!(
                    again == Received::default(),
                    "the second of two alike brings something"
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

    fn run_without_losses(&mut self) {
        self.reconnect();
        while let Some(message) = self.to_provider.pop() {
            self.provide(&message);
            while let Some(message) = self.to_receiver.pop() {
                self.receive(message);
            }
        }
    }
}

fn converges(theirs: Versions, ours: Versions, choices: Vec<u16>) -> TestResult {
    let mut world = World::default();
    let provided = theirs
        .iter()
        .map(|(n, version)| item(n % 400, (*version).into()));
    merge_all(&mut world.provider, provided.collect());
    // The receiver lacks some, has older ones of others, and has none that the provider never had.
    for (n, version) in ours {
        let known = world
            .provider
            .get(&item(n % 400, 0).key)
            .map(|known| known.version);
        let older = known.map(|known| item(n % 400, known.min(version.into())));
        merge_all(&mut world.held, older.into_iter().collect());
    }
    world.reconnect();
    choices.into_iter().for_each(|choice| world.step(choice));
    world.run_without_losses();
    assert!(world.completed && world.receiver.is_idle());
    TestResult::from_bool(
        world.held == world.provider && world.held.digest() == world.provider.digest(),
    )
}

#[test]
fn a_lossy_connection_delays_but_a_complete_round_has_all() {
    QuickCheck::new()
        .tests(400)
        .rng(quickcheck::Gen::new(300))
        .quickcheck(converges as Property);
}

#[test]
fn an_older_item_of_the_provider_does_not_stop_a_round() {
    let mut world = World::default();
    // All in the provider are older than what the receiver has, and more than one chunk's worth.
    for n in 0..400 {
        merge_all(&mut world.provider, vec![item(n, 1)]);
        merge_all(&mut world.held, vec![item(n, 2)]);
    }
    world.run_without_losses();
    assert!(
        world.completed
            && world
                .held
                .get(&item(6, 0).key)
                .is_some_and(|item| item.version == 2)
    );
}

#[test]
fn one_changed_item_of_many_costs_little() {
    let mut world = World::default();
    for n in 0..20_000 {
        world.provider.insert(item(n - n % 7, 1));
    }
    world.held = world.provider.clone();
    merge_all(&mut world.provider, vec![item(7, 2)]);
    let bytes = |message: &TransferMessage| damsonbeam_control::messages::encode(message).len();
    let mut sent = 0;
    world.reconnect();
    while let Some(message) = world.to_provider.pop() {
        sent += bytes(&message);
        world.provide(&message);
        while let Some(message) = world.to_receiver.pop() {
            sent += bytes(&message);
            world.receive(message);
        }
    }
    assert!(world.completed && world.held == world.provider);
    assert!(sent < 1_000, "{sent} bytes");
}

#[test]
fn a_list_is_cut_into_pieces_that_together_are_the_list() {
    let all: Vec<Item> = (0..200).map(|n| item(n, 1)).collect();
    let pieces = split_items(all.clone());
    let size = |piece: &Vec<Item>| piece.iter().map(Item::wire_bytes).sum::<usize>();
    assert!(pieces.len() > 10 && pieces.iter().all(|piece| size(piece) <= CHUNK_BYTES));
    assert_eq!(pieces.concat(), all);
}
