//! Operators as callers of the stores: a call without a clear answer is sent again, unchanged, to another store. Checks
//! that what was refused never comes into force, and that an acknowledged evacuation stays.

use std::collections::BTreeMap;
use std::time::Duration;

use damsonbeam_config_store::consensus::Submission;
use damsonbeam_control::config::{ConfigSnapshot, Item, ItemKey, ItemKind};
use damsonbeam_control::messages::{Command, CommandReply};
use rand::Rng;

use super::simulation::{Event, Simulation};

/// How long a caller waits for an answer before it leaves, in ms.
const PATIENCE: u64 = 1000;
/// How long a caller sends its call again, in ms.
const CALL_TIMEOUT: u64 = 8000;
/// The pause before the second attempt, in ms; it grows by half with each attempt.
const FIRST_PAUSE: u64 = 100;
/// The longest time in ms that a registry and its store need to agree that a caller waits.
const MAX_CONFIRMATION_DELAY: u64 = 20;

/// The name, version and body of an item.
type Content = (ItemKey, u64, Option<Vec<u8>>);

fn content(item: &Item) -> Content {
    (item.key.clone(), item.version, item.body.clone())
}

/// A call that has no clear answer yet.
struct Call {
    command: Command,
    started_at: u64,
    attempts: u32,
    /// The number of the attempt that the caller waits for, and when it was sent.
    waiting_for: Option<(u64, u64)>,
    next_attempt_at: u64,
}

/// The state of a zone's evacuation as its operator knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ZoneOrder {
    /// An order has no clear answer.
    Open,
    /// The latest order was acknowledged.
    Settled {
        /// The number of evacuations and withdrawals acknowledged before: a later order may have the same result.
        order: usize,
        evacuated: bool,
    },
}

/// The callers of the simulation, and what they know.
#[derive(Default)]
pub struct Callers {
    calls: Vec<Call>,
    /// The number of calls with each content that were not refused.
    calls_not_refused: BTreeMap<Content, i64>,
    zones: BTreeMap<String, ZoneOrder>,
    /// The zones' states when each read under way was submitted.
    zones_at_read: BTreeMap<u64, BTreeMap<String, ZoneOrder>>,
    /// The number of refused calls.
    pub refused: usize,
    /// The number of acknowledged evacuations and withdrawals.
    pub evacuations: usize,
}

impl Callers {
    /// Returns whether the operator of this zone still waits for an answer to its order.
    pub fn has_open_order(&self, zone: &str) -> bool {
        let is_of_zone = |call: &Call| matches!(&call.command, Command::Evacuate { zone: other, .. } if other == zone);
        self.calls.iter().any(is_of_zone)
    }

    /// Records a read, which must show the evacuations that are settled now and until its answer.
    pub fn read_submitted(&mut self, number: u64) {
        self.zones_at_read.insert(number, self.zones.clone());
    }

    /// Invariant: a read shows the evacuations that were settled all the time while it was under way.
    pub fn check_read(&mut self, number: u64, items: &[Item]) {
        let before = self.zones_at_read.remove(&number).unwrap_or_default();
        for (zone, order) in before {
            if let ZoneOrder::Settled { evacuated, .. } = order
                && self.zones.get(&zone) == Some(&order)
            {
                let is_zone =
                    |item: &&Item| item.key.kind == ItemKind::Evacuation && item.key.name == zone;
                let item = items.iter().find(is_zone);
                assert_eq!(
                    item.is_some_and(|item| !item.is_removed()),
                    evacuated,
                    "the acknowledged order for {zone} is undone in a read"
                );
            }
        }
    }

    /// Invariant: the stores agree on the settled evacuations.
    pub fn check_final_evacuations(&self, committed: &ConfigSnapshot) {
        for (zone, order) in &self.zones {
            if let ZoneOrder::Settled { evacuated, .. } = order {
                let mut present = committed.present_items(ItemKind::Evacuation);
                assert_eq!(
                    present.any(|item| item.key.name == *zone),
                    *evacuated,
                    "the acknowledged order for {zone} is undone in the end"
                );
            }
        }
    }

    /// Invariant: no content is committed of which every call was refused. An item that is not set has no content.
    pub fn check_committed(&self, items: &[Item]) {
        for item in items.iter().filter(|item| !item.is_unset()) {
            let not_refused = self.calls_not_refused.get(&content(item));
            assert!(
                not_refused.is_none_or(|calls| *calls > 0),
                "{} r{} was refused and is committed",
                item.key.name,
                item.version
            );
        }
    }

    fn refuse(&mut self, command: &Command) {
        self.refused += 1;
        if let Command::Change(change) = command {
            for item in &change.items {
                *self.calls_not_refused.entry(content(item)).or_default() -= 1;
            }
        }
    }
}

impl Simulation {
    /// Starts a call, which is sent at once to the given machine.
    pub fn start_call(&mut self, machine: usize, command: Command) {
        if let Command::Change(change) = &command {
            for item in &change.items {
                let calls = &mut self.callers.calls_not_refused;
                *calls.entry(content(item)).or_default() += 1;
            }
        }
        if let Command::Evacuate { zone, .. } = &command {
            let zones = &mut self.callers.zones;
            zones.insert(zone.clone(), ZoneOrder::Open);
        }
        let call = Call {
            command,
            started_at: self.now,
            attempts: 0,
            waiting_for: None,
            next_attempt_at: self.now,
        };
        self.callers.calls.push(call);
        let index = self.callers.calls.len() - 1;
        self.send_attempt(index, machine);
    }

    fn send_attempt(&mut self, index: usize, machine: usize) {
        let number = self.next_command_number();
        let now = self.now;
        let call = &mut self.callers.calls[index];
        call.attempts += 1;
        call.waiting_for = Some((number, now));
        let command = call.command.clone();
        self.ask_registry(machine, number, command);
    }

    /// The store of a machine asks its registry whether the caller of a command waits, and submits the command when it
    /// has the answer. The machine may stand still in between.
    pub fn ask_registry(&mut self, machine: usize, number: u64, command: Command) {
        let is_frozen = self.now < self.machines[machine].frozen_until;
        let store = self.machines[machine].store.as_ref();
        let (Some(store), false) = (store, is_frozen) else {
            return;
        };
        self.submissions.push(Submission {
            number,
            command: command.clone(),
            waited: Duration::ZERO,
            as_of: store.newest_commit(),
        });
        self.track(number, command);
        let delay_ms = self.rng.random_range(1..=MAX_CONFIRMATION_DELAY);
        self.schedule(
            delay_ms,
            Event::Submit {
                n: machine,
                submission_index: self.submissions.len() - 1,
                starts: self.machines[machine].starts,
            },
        );
    }

    /// Advances the callers: those without an answer leave, and send their call to another machine.
    pub fn advance_callers(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for (index, call) in self.callers.calls.iter_mut().enumerate() {
            if let Some((number, sent_at)) = call.waiting_for
                && now >= sent_at + PATIENCE
            {
                call.waiting_for = None;
                call.next_attempt_at = now + pause(call.attempts);
                self.in_flight.remove(&number);
            }
            if call.waiting_for.is_none() && now >= call.next_attempt_at {
                due.push(index);
            }
        }
        for index in due {
            let machines = self.machines_in_use();
            let machine = machines[self.rng.random_range(0..machines.len())];
            if now < self.callers.calls[index].started_at + CALL_TIMEOUT {
                self.send_attempt(index, machine);
            }
        }
        let gives_up =
            |call: &Call| call.waiting_for.is_none() && now >= call.started_at + CALL_TIMEOUT;
        self.callers.calls.retain(|call| !gives_up(call));
    }

    /// Passes the reply to an attempt to its caller.
    pub fn answer_caller(&mut self, number: u64, reply: &CommandReply) {
        let is_waiting = |call: &Call| {
            call.waiting_for
                .is_some_and(|(waiting, _)| waiting == number)
        };
        let Some(index) = self.callers.calls.iter().position(is_waiting) else {
            return;
        };
        let call = &mut self.callers.calls[index];
        match reply {
            CommandReply::Unavailable(_) => {
                call.waiting_for = None;
                call.next_attempt_at = self.now + pause(call.attempts);
            }
            CommandReply::Invalid(_) => {
                let call = self.callers.calls.remove(index);
                self.callers.refuse(&call.command);
                self.check_all_committed();
            }
            CommandReply::Done | CommandReply::Config(_) => {
                let call = self.callers.calls.remove(index);
                if let Command::Evacuate { zone, evacuated } = call.command {
                    let order = ZoneOrder::Settled {
                        order: self.callers.evacuations,
                        evacuated,
                    };
                    self.callers.evacuations += 1;
                    self.callers.zones.insert(zone, order);
                }
            }
        }
    }

    /// Checks the items that are committed on any disk.
    fn check_all_committed(&self) {
        for machine in &self.machines {
            let committed = machine.disk.committed.items().values();
            let committed: Vec<Item> = committed.cloned().collect();
            self.callers.check_committed(&committed);
        }
    }
}

/// Returns the pause after a number of attempts, in ms.
fn pause(attempts: u32) -> u64 {
    (FIRST_PAUSE as f64 * 1.5f64.powi(attempts as i32 - 1)) as u64
}
