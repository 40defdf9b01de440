//! What a run showed.

use std::time::Duration;

use damsonbeam_control::link::MessageDirection;
use serde::Serialize;

use super::changes::ChangeTimes;
use super::measure::{KindFlow, Measured};
use crate::operator::Loaded;
use crate::process::Usage;

const KB_PER_MB: f64 = 1024.0;

/// Messages of one kind and direction, for each proxy and second.
#[derive(Clone, Debug, Serialize)]
pub struct KindRow {
    /// The kind.
    pub kind: &'static str,
    /// As the proxy sees it.
    pub direction: &'static str,
    /// Messages.
    pub messages_s: f64,
    /// Bytes.
    pub bytes_s: f64,
    /// Bytes of a message.
    pub bytes_each: f64,
}

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Found {
    /// The machine's load before the run.
    pub load_average_before: f64,
    /// And after it.
    pub load_average_after: f64,
    /// The time in which the configuration was loaded.
    pub load_s: f64,
    /// The slowest call.
    pub load_slowest_s: f64,
    /// Calls sent again.
    pub load_repeats: u32,
    /// Bytes between stores.
    pub load_store_bytes: u64,
    /// Time until all proxies knew all.
    pub settle_s: f64,
    /// Proxies that knew all.
    pub settled: usize,
    /// Bytes that each took until then.
    pub settle_bytes_each: f64,
    /// Heartbeats that each took until then.
    pub settle_heartbeats_each: f64,
    /// The measured time.
    pub seconds: f64,
    /// Of a core: the coordinator.
    pub coordinator_core: f64,
    /// A registry that is not the coordinator, on the mean.
    pub registry_core: f64,
    /// The busiest registry.
    pub registry_core_most: f64,
    /// The busiest store.
    pub store_core_most: f64,
    /// A proxy.
    pub proxy_core: f64,
    /// The coordinator's memory.
    pub coordinator_mb: f64,
    /// A registry that is not the coordinator, on the mean.
    pub registry_mb: f64,
    /// The most that a registry ever had.
    pub registry_peak_mb: f64,
    /// A store, on the mean.
    pub store_mb: f64,
    /// The most that a store ever had.
    pub store_peak_mb: f64,
    /// A proxy.
    pub proxy_kb: f64,
    /// Each proxy, a second: bytes in.
    pub proxy_in_s: f64,
    /// Bytes out.
    pub proxy_out_s: f64,
    /// All together, a second: bytes between stores.
    pub between_stores_s: f64,
    /// Bytes between stores and registries.
    pub store_registry_s: f64,
    /// Between two readings of the platform's list.
    pub list_reading_s: f64,
    /// Lists that each proxy took.
    pub lists_each: f64,
    /// Changes that were acknowledged.
    pub changes_done: u64,
    /// Changes that were not.
    pub changes_failed: u64,
    /// Until the acknowledgement: the middle one.
    pub acknowledge_ms_p50: f64,
    /// And the longest.
    pub acknowledge_ms_most: f64,
    /// From the acknowledgement until the last proxy has it.
    pub in_force_ms_p50: f64,
    /// And the longest.
    pub in_force_ms_most: f64,
    /// Changes that not all proxies had in the end.
    pub in_force_missing: u64,
    /// Time that a proxy took to build its routing table.
    pub table_read_ms: f64,
    /// Whether another machine was the coordinator in the end.
    pub coordinator_changes: u32,
    /// Warnings in the registries' and stores' logs.
    pub warnings: usize,
    /// By kind of message.
    #[serde(skip)]
    pub kinds: Vec<KindRow>,
}

/// What was seen until all proxies knew all.
pub(super) struct Settled {
    pub(super) took_s: f64,
    pub(super) proxies: usize,
    pub(super) bytes_each: f64,
    pub(super) heartbeats_each: f64,
}

/// What was counted beside the measured time.
pub(super) struct Around {
    pub(super) load_average_before: f64,
    pub(super) load_average_after: f64,
    pub(super) loaded: Loaded,
    pub(super) load_store_bytes: u64,
    pub(super) settled: Settled,
    /// All proxies together.
    pub(super) proxy_memory_kb: u64,
    pub(super) registry_peak_kb: u64,
    pub(super) store_peak_kb: u64,
    pub(super) table_read: Duration,
    pub(super) warnings: usize,
}

/// Processes of one role that are reckoned together.
struct Role {
    processes: Vec<Usage>,
    seconds: f64,
}

impl Role {
    fn cores(&self) -> impl Iterator<Item = f64> {
        let processes = self.processes.iter();
        processes.map(|usage| usage.processor.as_secs_f64() / self.seconds)
    }

    fn mean_cores(&self) -> f64 {
        self.mean(self.cores())
    }

    fn most_cores(&self) -> f64 {
        self.cores().fold(0.0, f64::max)
    }

    fn mean_mb(&self) -> f64 {
        let memory = self.processes.iter();
        self.mean(memory.map(|usage| usage.memory_kb as f64 / KB_PER_MB))
    }

    fn mean(&self, values: impl Iterator<Item = f64>) -> f64 {
        values.sum::<f64>() / self.processes.len().max(1) as f64
    }
}

impl Measured {
    fn role(&self, processes: Vec<Usage>) -> Role {
        Role {
            processes,
            seconds: self.seconds,
        }
    }

    /// The coordinator's registry, and all others.
    fn registries(&self) -> (Role, Role) {
        let mut coordinator = Vec::new();
        let mut others = Vec::new();
        for (machine, usage) in self.usage.registries.iter().enumerate() {
            let role = if Some(machine) == self.coordinator {
                &mut coordinator
            } else {
                &mut others
            };
            role.extend(*usage);
        }
        (self.role(coordinator), self.role(others))
    }
}

impl Found {
    /// Reckons the figures of a run with so many proxies.
    pub(super) fn of(
        around: &Around,
        measured: &Measured,
        times: &ChangeTimes,
        proxies: usize,
    ) -> Self {
        let seconds = measured.seconds;
        let each = proxies.max(1) as f64;
        let per_second = |number: u64| number as f64 / seconds;
        let (coordinator, others) = measured.registries();
        let stores = measured.role(measured.usage.stores.iter().flatten().copied().collect());
        Found {
            load_average_before: around.load_average_before,
            load_average_after: around.load_average_after,
            load_s: around.loaded.took.as_secs_f64(),
            load_slowest_s: around.loaded.slowest_call.as_secs_f64(),
            load_repeats: around.loaded.repeats,
            load_store_bytes: around.load_store_bytes,
            settle_s: around.settled.took_s,
            settled: around.settled.proxies,
            settle_bytes_each: around.settled.bytes_each,
            settle_heartbeats_each: around.settled.heartbeats_each,
            seconds,
            coordinator_core: coordinator.mean_cores(),
            registry_core: others.mean_cores(),
            registry_core_most: coordinator.most_cores().max(others.most_cores()),
            store_core_most: stores.most_cores(),
            proxy_core: measured.own.as_secs_f64() / seconds / each,
            coordinator_mb: coordinator.mean_mb(),
            registry_mb: others.mean_mb(),
            registry_peak_mb: around.registry_peak_kb as f64 / KB_PER_MB,
            store_mb: stores.mean_mb(),
            store_peak_mb: around.store_peak_kb as f64 / KB_PER_MB,
            proxy_kb: around.proxy_memory_kb as f64 / each,
            proxy_in_s: per_second(measured.bytes_in) / each,
            proxy_out_s: per_second(measured.bytes_out) / each,
            between_stores_s: per_second(measured.stores.between_stores),
            store_registry_s: per_second(measured.stores.with_registries),
            list_reading_s: seconds / measured.readings.max(1) as f64,
            lists_each: measured.lists as f64 / each,
            changes_done: measured.written.acknowledged.len() as u64,
            changes_failed: measured.written.failed,
            acknowledge_ms_p50: times.acknowledge_p50,
            acknowledge_ms_most: times.acknowledge_most,
            in_force_ms_p50: times.in_force_p50,
            in_force_ms_most: times.in_force_most,
            in_force_missing: times.missing,
            table_read_ms: around.table_read.as_secs_f64() * 1000.0,
            coordinator_changes: measured.coordinator_changes,
            warnings: around.warnings,
            kinds: kind_rows(&measured.flows, seconds, each),
        }
    }
}

fn kind_rows(flows: &[KindFlow], seconds: f64, proxies: f64) -> Vec<KindRow> {
    let used = flows.iter().filter(|kind| kind.flow.messages > 0);
    let rows = used.map(
        |KindFlow {
             kind,
             direction,
             flow,
         }| KindRow {
            kind: kind.name(),
            direction: if *direction == MessageDirection::In {
                "in"
            } else {
                "out"
            },
            messages_s: flow.messages as f64 / seconds / proxies,
            bytes_s: flow.bytes as f64 / seconds / proxies,
            bytes_each: flow.bytes as f64 / flow.messages as f64,
        },
    );
    rows.collect()
}
