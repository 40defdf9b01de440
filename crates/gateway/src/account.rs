//! The account: what this gateway did in each second, by reason, as one log line a second at `debug`.
//!
//! `damsonbeam account` adds up the lines of all gateways (docs/operations/fleet.md): what is harmless in
//! one shows only in the sum. Where the level is off nothing is kept.

use std::collections::BTreeMap;
use std::time::Duration;

use damsonbeam::interface::{Action, BackendId, Event, ListForm};
use damsonbeam_account::VERSION;
use serde_json::{Map, Value};

/// What this gateway did in each second, by reason.
pub struct Account {
    second: u64,
    counts: BTreeMap<String, u64>,
    cold_for: Duration,
    since: BTreeMap<BackendId, Duration>,
}

impl Account {
    /// None where nobody reads it.
    pub fn new(cold_for: Duration) -> Option<Self> {
        tracing::enabled!(tracing::Level::DEBUG).then(|| Account {
            second: 0,
            counts: BTreeMap::new(),
            cold_for,
            since: BTreeMap::new(),
        })
    }

    /// Counts something that was done.
    pub fn add(&mut self, now: Duration, what: &str, n: u64) {
        self.turn(now);
        *self.counts.entry(what.to_owned()).or_default() += n;
    }

    /// A second that is over is written down.
    pub fn turn(&mut self, now: Duration) {
        if self.second == now.as_secs() {
            return;
        }
        if !self.counts.is_empty() {
            let counts: Map<String, Value> = std::mem::take(&mut self.counts)
                .into_iter()
                .map(|(k, n)| (k, n.into()))
                .collect();
            let counts = Value::Object(counts);
            tracing::debug!(code = "account", version = VERSION, second = self.second, %counts, "");
        }
        self.second = now.as_secs();
    }

    /// Counts what an event tells.
    pub fn event(&mut self, now: Duration, event: &Event) {
        match event {
            Event::Invocation(i) => self.add(
                now,
                if i.repeat {
                    "came.repeat"
                } else {
                    "came.first"
                },
                1,
            ),
            Event::BackendList { form, entries } => {
                if matches!(form, ListForm::Replace | ListForm::Restored) {
                    self.since.clear();
                }
                self.since
                    .extend(entries.iter().map(|e| (e.backend_id, e.since)));
                self.add(now, "list.pages", 1);
                self.add(now, "list.entries", entries.len() as u64);
            }
            Event::AttemptEnded {
                invocation_id,
                attempt,
                backend_id,
                outcome,
                latency,
                ..
            } => {
                let ms = latency.as_millis() as u64;
                let state = self.state(now, *backend_id);
                tracing::trace!(code = "delivery", inv = invocation_id.0, no = attempt.0, tgt = backend_id.0, state, outcome = ?outcome, ms, at = now.as_millis() as u64);
                let name = format!("ended.{state}.{outcome:?}");
                self.add(now, &name, 1);
                self.add(now, "ended.ms", latency.as_millis() as u64);
            }
            Event::CounterTotal {
                outcome, latency, ..
            } => {
                self.add(now, &format!("counter.{outcome:?}"), 1);
                self.add(now, "counter.ms", latency.as_millis() as u64);
            }
            Event::PeerMessage { .. } => self.add(now, "peers.heard", 1),
            _ => {}
        }
    }

    /// Counts an action.
    pub fn action(&mut self, now: Duration, action: &Action) {
        match action {
            Action::Throttle { reason, .. } => {
                self.add(now, &format!("turned.{}", reason.name()), 1)
            }
            Action::Fail { .. } => self.add(now, "errored", 1),
            Action::SendAttempt { backend_id, .. } => {
                let name = format!("sent.{}", self.state(now, *backend_id));
                self.add(now, &name, 1);
            }
            Action::AddToCounter { add, .. } => {
                self.add(
                    now,
                    if *add == 0.0 {
                        "asked.read"
                    } else {
                        "asked.add"
                    },
                    1,
                );
            }
            Action::SendToPeers { .. } => self.add(now, "peers.told", 1),
            _ => {}
        }
    }

    fn state(&self, now: Duration, backend_id: BackendId) -> &'static str {
        match self.since.get(&backend_id) {
            None => "gone",
            Some(since) if !since.is_zero() && now < *since + self.cold_for => "cold",
            Some(_) => "warm",
        }
    }
}
