//! The account: counts of this gateway's events and actions by reason, logged as one line per second at `debug`.
//!
//! `damsonbeam account` adds up the lines of all gateways (docs/operations/fleet.md), since a load that is harmless at
//! one gateway shows only in the sum. Nothing is counted if the level is off.

use std::collections::BTreeMap;
use std::time::Duration;

use damsonbeam::interface::{Action, BackendId, Event, ListUpdate};
use damsonbeam_account::VERSION;
use serde_json::{Map, Value};

/// Counts of this gateway's events and actions in the current second, by reason.
pub struct Account {
    second: u64,
    counts: BTreeMap<String, u64>,
    warm_up_time: Duration,
    /// When each listed backend started.
    started_at: BTreeMap<BackendId, Duration>,
}

impl Account {
    /// Creates an account; returns `None` if `debug` lines aren't logged.
    ///
    /// A backend counts as cold for `warm_up_time` after its start.
    pub fn new(warm_up_time: Duration) -> Option<Self> {
        tracing::enabled!(tracing::Level::DEBUG).then(|| Account {
            second: 0,
            counts: BTreeMap::new(),
            warm_up_time,
            started_at: BTreeMap::new(),
        })
    }

    /// Adds `n` to the count `what` of the current second.
    pub fn add(&mut self, now: Duration, what: &str, n: u64) {
        self.log_finished_second(now);
        *self.counts.entry(what.to_owned()).or_default() += n;
    }

    /// Logs the counts of the previous second and clears them, once `now` is in another second.
    pub fn log_finished_second(&mut self, now: Duration) {
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

    /// Counts an event.
    pub fn count_event(&mut self, now: Duration, event: &Event) {
        match event {
            Event::Invocation(i) => self.add(
                now,
                if i.is_retry {
                    "came.repeat"
                } else {
                    "came.first"
                },
                1,
            ),
            Event::BackendList { form, entries } => {
                if matches!(form, ListUpdate::Replace | ListUpdate::Restored) {
                    self.started_at.clear();
                }
                self.started_at
                    .extend(entries.iter().map(|e| (e.backend_id, e.started_at)));
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
    pub fn count_action(&mut self, now: Duration, action: &Action) {
        match action {
            Action::Throttle { reason, .. } => {
                self.add(now, &format!("turned.{}", reason.name()), 1)
            }
            Action::Fail { .. } => self.add(now, "errored", 1),
            Action::SendAttempt { backend_id, .. } => {
                let name = format!("sent.{}", self.state(now, *backend_id));
                self.add(now, &name, 1);
            }
            Action::AddToCounter { units: add, .. } => {
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
        match self.started_at.get(&backend_id) {
            None => "gone",
            Some(started) if !started.is_zero() && now < *started + self.warm_up_time => "cold",
            Some(_) => "warm",
        }
    }
}
