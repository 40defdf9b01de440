//! Changes of the configuration, written at a rate, and the times that they took.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

use super::rate::AtRate;
use crate::operator;
use crate::proxies::Progress;

const POLL_PAUSE: Duration = Duration::from_millis(2);
const ARRIVAL_POLL_PAUSE: Duration = Duration::from_millis(20);
/// Changes that are still under way at the end are waited for so long.
const LAST_CHANGES_TIMEOUT: Duration = Duration::from_secs(5);

/// One change as its caller saw it.
pub(super) struct WrittenChange {
    version: u64,
    took: Duration,
    acknowledged: Instant,
}

/// The changes that were sent.
#[derive(Default)]
pub(super) struct Written {
    pub(super) acknowledged: Vec<WrittenChange>,
    pub(super) failed: u64,
}

/// Changes the probe's route at a rate until then.
pub(super) fn write(control: &[SocketAddr], rate: f64, until: Instant) -> Written {
    let mut due = AtRate::new(rate);
    let mut written = Written::default();
    let mut version = 1;
    while Instant::now() < until && rate > 0.0 {
        if !due.is_now() {
            sleep(POLL_PAUSE);
            continue;
        }
        version += 1;
        let sent = Instant::now();
        let address = control[version as usize % control.len()];
        let change = operator::probe_change(version);
        let answer = operator::call(address, "PATCH /-/configuration", &change);
        if answer.status() == 200 {
            written.acknowledged.push(WrittenChange {
                version,
                took: sent.elapsed(),
                acknowledged: Instant::now(),
            });
        } else {
            written.failed += 1;
        }
    }
    written
}

/// Waits until the last change has come to all proxies, or for so long.
pub(super) fn wait_for_last(written: &Written, progress: &Progress, proxies: usize) {
    let Some(last) = written.acknowledged.last() else {
        return;
    };
    let has_arrived = || {
        let arrival = progress.arrival(last.version);
        arrival.is_some_and(|arrival| arrival.proxies >= proxies)
    };
    let until = Instant::now() + LAST_CHANGES_TIMEOUT;
    while Instant::now() < until && !has_arrived() {
        sleep(ARRIVAL_POLL_PAUSE);
    }
}

/// How long changes took, in milliseconds.
pub(super) struct ChangeTimes {
    pub(super) acknowledge_p50: f64,
    pub(super) acknowledge_most: f64,
    /// From the acknowledgement until the last proxy has it.
    pub(super) in_force_p50: f64,
    pub(super) in_force_most: f64,
    /// Changes that not all proxies had in the end.
    pub(super) missing: u64,
}

impl ChangeTimes {
    pub(super) fn of(written: &Written, progress: &Progress, proxies: usize) -> Self {
        let changes = &written.acknowledged;
        let acknowledge = sorted(changes.iter().map(|change| to_ms(change.took)));
        let in_force = changes.iter().filter_map(|change| {
            let arrival = progress.arrival(change.version)?;
            let took = arrival.last.saturating_duration_since(change.acknowledged);
            (arrival.proxies >= proxies).then(|| to_ms(took))
        });
        let in_force = sorted(in_force);
        ChangeTimes {
            acknowledge_p50: middle(&acknowledge),
            acknowledge_most: most(&acknowledge),
            in_force_p50: middle(&in_force),
            in_force_most: most(&in_force),
            missing: (changes.len() - in_force.len()) as u64,
        }
    }
}

fn to_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut all: Vec<f64> = values.collect();
    all.sort_by(f64::total_cmp);
    all
}

fn middle(sorted: &[f64]) -> f64 {
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

fn most(sorted: &[f64]) -> f64 {
    sorted.last().copied().unwrap_or(0.0)
}
