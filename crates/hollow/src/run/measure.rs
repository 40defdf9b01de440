//! The measured time of a run: what is done in it, and what was counted between its beginning and its end.

use std::sync::atomic::Ordering;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use damsonbeam_control::link::MessageDirection;

use super::changes::{self, Written};
use super::plan::Plan;
use super::rate::AtRate;
use crate::Error;
use crate::cluster::{Cluster, RoleUsage};
use crate::meter::{Flow, MessageKind, Reading};
use crate::platform::Platform;
use crate::process::{self, StoreBytes, Usage};
use crate::proxies::HollowProxies;
use crate::topology::Topology;

const POLL_PAUSE: Duration = Duration::from_millis(5);

/// Messages of one kind and direction.
pub(super) struct KindFlow {
    pub(super) kind: MessageKind,
    pub(super) direction: MessageDirection,
    pub(super) flow: Flow,
}

/// What was counted between the beginning and the end of the measured time.
pub(super) struct Measured {
    pub(super) seconds: f64,
    pub(super) usage: RoleUsage,
    /// Processor time of the proxies.
    pub(super) own: Duration,
    pub(super) coordinator: Option<usize>,
    pub(super) coordinator_changes: u32,
    pub(super) flows: Vec<KindFlow>,
    pub(super) bytes_in: u64,
    pub(super) bytes_out: u64,
    pub(super) stores: StoreBytes,
    /// Readings of the platform's list.
    pub(super) readings: u64,
    /// Lists that proxies took.
    pub(super) lists: u64,
    pub(super) written: Written,
}

/// All counts at one moment.
struct Counts {
    usage: RoleUsage,
    own: Duration,
    messages: Reading,
    stores: StoreBytes,
    readings: u64,
    lists: u64,
}

/// What is measured.
pub(super) struct Subject<'a> {
    pub(super) plan: &'a Plan,
    pub(super) cluster: &'a mut Cluster,
    pub(super) platform: &'a Platform,
    pub(super) proxies: &'a mut HollowProxies,
    pub(super) topology: &'a Topology,
}

impl Subject<'_> {
    /// Measures for the plan's time.
    pub(super) fn measure(&mut self) -> Result<Measured, Error> {
        let coordinator = self.cluster.coordinator();
        let before = self.counts()?;
        let began = Instant::now();
        let until = began + Duration::from_secs_f64(self.plan.seconds);
        let control = self.cluster.control();
        let rate = self.plan.changes;
        let writer = thread::spawn(move || changes::write(&control, rate, until));
        self.replace_and_restart(began, until, coordinator);
        let seconds = began.elapsed().as_secs_f64();
        let after = self.counts()?;
        let written = writer.join().unwrap_or_default();
        let progress = &self.proxies.progress;
        changes::wait_for_last(&written, progress, self.plan.proxies);
        Ok(Measured {
            seconds,
            usage: usage_since(&after.usage, &before.usage),
            own: after.own.saturating_sub(before.own),
            coordinator,
            coordinator_changes: u32::from(self.cluster.coordinator() != coordinator),
            flows: flows(&after.messages, &before.messages),
            bytes_in: after
                .messages
                .bytes_since(&before.messages, MessageDirection::In),
            bytes_out: after
                .messages
                .bytes_since(&before.messages, MessageDirection::Out),
            stores: stores_since(&after.stores, &before.stores),
            readings: after.readings - before.readings,
            lists: after.lists - before.lists,
            written,
        })
    }

    fn counts(&self) -> Result<Counts, Error> {
        let own = process::usage(std::process::id())?;
        Ok(Counts {
            usage: self.cluster.usage(),
            own: own.processor,
            messages: Reading::now(),
            stores: process::store_bytes(self.topology)?,
            readings: self.platform.readings(),
            lists: self.proxies.progress.lists.load(Ordering::Relaxed),
        })
    }

    /// Replaces backends, restarts proxies and kills the coordinator, as the plan says.
    fn replace_and_restart(&mut self, began: Instant, until: Instant, coordinator: Option<usize>) {
        let mut replace = AtRate::new(self.plan.backend_churn);
        let mut restart = AtRate::new(self.plan.restarts);
        let kill_after = Duration::from_secs_f64(self.plan.seconds / 2.0);
        let mut replaced = 0;
        let mut kills = self.plan.kill_coordinator;
        while Instant::now() < until {
            if replace.is_now() {
                self.platform.replace(replaced);
                replaced += 1;
            }
            if restart.is_now() {
                self.proxies.restart();
            }
            if kills && began.elapsed() > kill_after {
                kills = false;
                self.cluster.kill_machine(coordinator.unwrap_or(0));
            }
            sleep(POLL_PAUSE);
        }
    }
}

fn flows(after: &Reading, before: &Reading) -> Vec<KindFlow> {
    let mut flows = Vec::new();
    for direction in [MessageDirection::In, MessageDirection::Out] {
        for kind in MessageKind::ALL {
            let flow = after.since(before, direction, kind);
            flows.push(KindFlow {
                kind,
                direction,
                flow,
            });
        }
    }
    flows
}

fn stores_since(after: &StoreBytes, before: &StoreBytes) -> StoreBytes {
    let between_stores = after.between_stores.saturating_sub(before.between_stores);
    let with_registries = after.with_registries.saturating_sub(before.with_registries);
    StoreBytes {
        between_stores,
        with_registries,
    }
}

fn usage_since(after: &RoleUsage, before: &RoleUsage) -> RoleUsage {
    let since = |after: &[Option<Usage>], before: &[Option<Usage>]| {
        let pairs = after.iter().zip(before);
        let used = pairs.map(|(after, before)| {
            let (after, before) = ((*after)?, (*before)?);
            Some(Usage {
                processor: after.processor.saturating_sub(before.processor),
                memory_kb: after.memory_kb,
            })
        });
        used.collect()
    };
    RoleUsage {
        registries: since(&after.registries, &before.registries),
        stores: since(&after.stores, &before.stores),
    }
}
