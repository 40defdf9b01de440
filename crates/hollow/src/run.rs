//! One run: a cluster is started, loaded with a configuration, given its proxies and then measured for a while.

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use damsonbeam_control::link::Direction;
use serde::Serialize;

use crate::Error;
use crate::cluster::{Cluster, PlatformAccess, RoleUsage};
use crate::meter::{Flow, MessageKind, Reading};
use crate::operator::{self, Loaded, Size};
use crate::platform::Platform;
use crate::process::{self, StoreBytes, Usage};
use crate::proxies::{Goal, HollowProxies, Progress};
use crate::topology::Topology;

/// Between the last proxy's knowing all and the measured time: what is still on its way has come by then.
const QUIET: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(20);
/// Changes that are still under way at the end are waited for so long.
const LAST_CHANGES: Duration = Duration::from_secs(5);
/// Half of the machine's memory is others'.
const MAX_MEMORY_KB: u64 = 14 << 20;

/// What a run is made of.
#[derive(Clone, Debug, Serialize)]
pub struct Plan {
    pub machines: usize,
    pub proxies: usize,
    pub backends: usize,
    pub routes: usize,
    pub tenants: usize,
    pub services: usize,
    /// Items of a call that loads the configuration, and the longest time until all of them are taken.
    pub batch: usize,
    pub load_s: f64,
    /// Entries of a page of the platform's list, and the calls a second that it takes.
    pub page: usize,
    pub platform_rate: f64,
    /// Requests a second at each proxy, counted against tenants' quotas.
    pub requests: f64,
    /// A second: changes of the configuration, backends replaced, proxies restarted.
    pub changes: f64,
    pub backend_churn: f64,
    pub restarts: f64,
    /// Proxies started a second.
    pub ramp: f64,
    pub settle_s: f64,
    pub seconds: f64,
    pub threads: usize,
    /// The coordinator's machine is killed in the middle.
    pub kill_coordinator: bool,
    #[serde(skip)]
    pub programs: PathBuf,
    #[serde(skip)]
    pub folder: PathBuf,
}

/// Messages of one kind and direction, for each proxy and second.
#[derive(Clone, Debug, Serialize)]
pub struct KindRow {
    pub kind: &'static str,
    /// As the proxy sees it.
    pub direction: &'static str,
    pub messages_s: f64,
    pub bytes_s: f64,
    pub bytes_each: f64,
}

/// What a run showed.
#[derive(Clone, Debug, Serialize)]
pub struct Found {
    pub load_average_before: f64,
    pub load_average_after: f64,
    /// The configuration's loading: all calls, the slowest one, calls sent again, bytes between stores.
    pub load_s: f64,
    pub load_slowest_s: f64,
    pub load_repeats: u32,
    pub load_store_bytes: u64,
    /// Time until all proxies knew all, and how many did.
    pub settle_s: f64,
    pub settled: usize,
    pub settle_bytes_each: f64,
    pub settle_heartbeats_each: f64,
    pub seconds: f64,
    /// Parts of a core.
    pub coordinator_core: f64,
    pub registry_core: f64,
    pub registry_core_most: f64,
    pub store_core_most: f64,
    pub proxy_core: f64,
    pub coordinator_mb: f64,
    pub registry_mb: f64,
    pub registry_peak_mb: f64,
    pub store_mb: f64,
    pub store_peak_mb: f64,
    pub proxy_kb: f64,
    /// Each proxy, a second.
    pub proxy_in_s: f64,
    pub proxy_out_s: f64,
    /// All stores and registries together, a second.
    pub between_stores_s: f64,
    pub store_registry_s: f64,
    pub list_reading_s: f64,
    pub lists_each: f64,
    pub changes_done: u64,
    pub changes_failed: u64,
    pub acknowledge_ms_p50: f64,
    pub acknowledge_ms_most: f64,
    /// From the acknowledgement until the last proxy has it.
    pub in_force_ms_p50: f64,
    pub in_force_ms_most: f64,
    /// Changes that not all proxies had in the end.
    pub in_force_missing: u64,
    pub table_read_ms: f64,
    pub coordinator_changes: u32,
    pub warnings: usize,
    #[serde(skip)]
    pub kinds: Vec<KindRow>,
}

/// One change as its caller and the proxies saw it.
struct ChangeTimes {
    version: u64,
    took: Duration,
    acknowledged: Instant,
}

/// # Errors
/// Where the cluster does not come up or the configuration is refused.
pub fn run(plan: &Plan) -> Result<Found, Error> {
    let load_average_before = load_average();
    let topology = Topology::of_this_process();
    let platform = Platform::start(plan.backends, plan.services, plan.page)?;
    let access = PlatformAccess {
        at: platform.at,
        calls_per_second: plan.platform_rate,
    };
    let mut cluster = Cluster::start(
        plan.machines,
        topology,
        &plan.programs,
        &plan.folder,
        access,
    )?;
    let size = Size {
        routes: plan.routes,
        tenants: plan.tenants,
        services: plan.services,
        batch: plan.batch,
    };
    let load_timeout = Duration::from_secs_f64(plan.load_s);
    let loaded = operator::load(&cluster.control(), &size, load_timeout)?;
    let load_store_bytes = process::store_bytes(&topology)?.between_stores;

    let me = std::process::id();
    let memory_before = process::usage(me)?.memory_kb;
    let goal = Goal {
        items: size.items(),
        backends: plan.backends,
    };
    let mut proxies = HollowProxies::new(plan.threads, goal, plan.requests, plan.tenants.max(1));
    let progress = proxies.progress.clone();
    let before = Reading::now();
    let settle_s = start_proxies(plan, &cluster, &mut proxies)?;
    let settled = progress.ready.load(Ordering::Relaxed);
    let after = Reading::now();
    let each = plan.proxies.max(1) as f64;
    let settle_heartbeats = after
        .since(&before, Direction::In, MessageKind::Heartbeat)
        .messages as f64
        / each;
    let settle_bytes = after.bytes_since(&before, Direction::In) as f64 / each;

    sleep(QUIET);
    let measured = measure(plan, &mut cluster, &platform, &mut proxies, &topology)?;
    let memory = process::usage(me)?.memory_kb;
    let (registry_peak, store_peak) = cluster.peak_memory_kb();
    let table_read = progress
        .apply
        .lock()
        .map_or(Duration::ZERO, |a| a.first().copied().unwrap_or_default());
    let Measured {
        seconds,
        usage,
        coordinator,
        flows,
        stores,
        changes,
        failed,
        ..
    } = &measured;
    let per_second = |n: u64| n as f64 / seconds;
    let cores = |u: &Usage| u.processor.as_secs_f64() / seconds;
    let others = usage
        .registries
        .iter()
        .enumerate()
        .filter(|(n, _)| Some(*n) != *coordinator);
    let others: Vec<Usage> = others.filter_map(|(_, u)| *u).collect();
    let mean = |of: &dyn Fn(&Usage) -> f64, all: &[Usage]| {
        all.iter().map(of).sum::<f64>() / all.len().max(1) as f64
    };
    let stores_used: Vec<Usage> = usage.stores.iter().flatten().copied().collect();
    let mb = |u: &Usage| u.memory_kb as f64 / 1024.0;
    let coordinator_usage = coordinator
        .and_then(|n| usage.registries[n])
        .unwrap_or_default();
    let times = change_times(changes, &progress, settled);
    let readings = measured.readings.max(1);
    Ok(Found {
        load_average_before,
        load_average_after: load_average(),
        load_s: loaded_s(&loaded),
        load_slowest_s: loaded.slowest_call.as_secs_f64(),
        load_repeats: loaded.repeats,
        load_store_bytes,
        settle_s,
        settled,
        settle_bytes_each: settle_bytes,
        settle_heartbeats_each: settle_heartbeats,
        seconds: *seconds,
        coordinator_core: cores(&coordinator_usage),
        registry_core: mean(&cores, &others),
        registry_core_most: usage
            .registries
            .iter()
            .flatten()
            .map(cores)
            .fold(0.0, f64::max),
        store_core_most: stores_used.iter().map(cores).fold(0.0, f64::max),
        proxy_core: measured.own.as_secs_f64() / seconds / each,
        coordinator_mb: mb(&coordinator_usage),
        registry_mb: mean(&mb, &others),
        registry_peak_mb: registry_peak as f64 / 1024.0,
        store_mb: mean(&mb, &stores_used),
        store_peak_mb: store_peak as f64 / 1024.0,
        proxy_kb: memory.saturating_sub(memory_before) as f64 / each,
        proxy_in_s: per_second(measured.bytes_in) / each,
        proxy_out_s: per_second(measured.bytes_out) / each,
        between_stores_s: per_second(stores.between_stores),
        store_registry_s: per_second(stores.with_registries),
        list_reading_s: seconds / readings as f64,
        lists_each: measured.lists as f64 / each,
        changes_done: changes.len() as u64,
        changes_failed: *failed,
        acknowledge_ms_p50: times.acknowledge_p50,
        acknowledge_ms_most: times.acknowledge_most,
        in_force_ms_p50: times.in_force_p50,
        in_force_ms_most: times.in_force_most,
        in_force_missing: times.missing,
        table_read_ms: table_read.as_secs_f64() * 1000.0,
        coordinator_changes: measured.coordinator_changes,
        warnings: cluster.warnings(),
        kinds: kind_rows(flows, *seconds, each),
    })
}

fn loaded_s(loaded: &Loaded) -> f64 {
    loaded.took.as_secs_f64()
}

/// Starts the proxies at the plan's rate and waits until all know all; the time from the first start.
fn start_proxies(
    plan: &Plan,
    cluster: &Cluster,
    proxies: &mut HollowProxies,
) -> Result<f64, Error> {
    let began = Instant::now();
    for n in 0..plan.proxies {
        proxies.start(cluster.proxy_settings(n)?);
        let due = Duration::from_secs_f64((n + 1) as f64 / plan.ramp);
        sleep(due.saturating_sub(began.elapsed()));
    }
    let ready = &proxies.progress.ready;
    while ready.load(Ordering::Relaxed) < plan.proxies
        && began.elapsed().as_secs_f64() < plan.settle_s
    {
        check_memory(cluster)?;
        sleep(STEP);
    }
    Ok(began.elapsed().as_secs_f64())
}

fn check_memory(cluster: &Cluster) -> Result<(), Error> {
    let usage = cluster.usage();
    let all = usage
        .registries
        .iter()
        .chain(&usage.stores)
        .flatten()
        .map(|u| u.memory_kb)
        .sum::<u64>();
    let own = process::usage(std::process::id())?.memory_kb;
    if all + own > MAX_MEMORY_KB {
        return Err(format!("the run takes {} MB of memory: given up", (all + own) >> 10).into());
    }
    Ok(())
}

/// What was counted between the beginning and the end of the measured time.
struct Measured {
    seconds: f64,
    usage: RoleUsage,
    own: Duration,
    coordinator: Option<usize>,
    coordinator_changes: u32,
    flows: Vec<(MessageKind, Direction, Flow)>,
    bytes_in: u64,
    bytes_out: u64,
    stores: StoreBytes,
    readings: u64,
    lists: u64,
    changes: Vec<ChangeTimes>,
    failed: u64,
}

/// Something that is due at a rate.
struct Due {
    every: Option<Duration>,
    next: Instant,
}

impl Due {
    fn at_rate(rate: f64) -> Self {
        let every = (rate > 0.0).then(|| Duration::from_secs_f64(1.0 / rate));
        Due {
            every,
            next: Instant::now() + every.unwrap_or_default(),
        }
    }

    fn is_now(&mut self) -> bool {
        match self.every {
            Some(every) if Instant::now() >= self.next => {
                self.next += every;
                true
            }
            _ => false,
        }
    }
}

fn measure(
    plan: &Plan,
    cluster: &mut Cluster,
    platform: &Platform,
    proxies: &mut HollowProxies,
    topology: &Topology,
) -> Result<Measured, Error> {
    let me = std::process::id();
    let coordinator = cluster.coordinator();
    let (usage_before, own_before) = (cluster.usage(), process::usage(me)?.processor);
    let (reading_before, stores_before) = (Reading::now(), process::store_bytes(topology)?);
    let (readings_before, lists_before) = (
        platform.readings(),
        proxies.progress.lists.load(Ordering::Relaxed),
    );
    let began = Instant::now();
    let until = began + Duration::from_secs_f64(plan.seconds);
    let (mut replace, mut restart) = (
        Due::at_rate(plan.backend_churn),
        Due::at_rate(plan.restarts),
    );
    let control = cluster.control();
    let (rate, end) = (plan.changes, until);
    let writer = std::thread::spawn(move || write_changes(&control, rate, end));
    let (mut replaced, mut killed) = (0, false);
    while Instant::now() < until {
        if replace.is_now() {
            platform.replace(replaced);
            replaced += 1;
        }
        if restart.is_now() {
            proxies.restart();
        }
        if plan.kill_coordinator && !killed && began.elapsed().as_secs_f64() > plan.seconds / 2.0 {
            killed = true;
            cluster.kill_machine(coordinator.unwrap_or(0));
        }
        sleep(STEP / 4);
    }
    let seconds = began.elapsed().as_secs_f64();
    let (reading, stores) = (Reading::now(), process::store_bytes(topology)?);
    let (usage, own) = (cluster.usage(), process::usage(me)?.processor);
    let readings = platform.readings() - readings_before;
    let lists = proxies.progress.lists.load(Ordering::Relaxed) - lists_before;
    let (changes, failed) = writer.join().unwrap_or_default();
    wait_for_changes(&changes, &proxies.progress, plan.proxies);
    let of = |direction| {
        let kinds = MessageKind::ALL.iter();
        let (reading, before) = (&reading, &reading_before);
        kinds.map(move |kind| (*kind, direction, reading.since(before, direction, *kind)))
    };
    Ok(Measured {
        seconds,
        usage: usage_since(&usage, &usage_before),
        own: own.saturating_sub(own_before),
        coordinator,
        coordinator_changes: u32::from(cluster.coordinator() != coordinator),
        flows: of(Direction::In).chain(of(Direction::Out)).collect(),
        bytes_in: reading.bytes_since(&reading_before, Direction::In),
        bytes_out: reading.bytes_since(&reading_before, Direction::Out),
        stores: StoreBytes {
            between_stores: stores
                .between_stores
                .saturating_sub(stores_before.between_stores),
            with_registries: stores
                .with_registries
                .saturating_sub(stores_before.with_registries),
        },
        readings,
        lists,
        changes,
        failed,
    })
}

fn usage_since(now: &RoleUsage, before: &RoleUsage) -> RoleUsage {
    let since = |now: &[Option<Usage>], before: &[Option<Usage>]| {
        let pairs = now.iter().zip(before);
        let of = |(n, b): (&Option<Usage>, &Option<Usage>)| {
            let (n, b) = ((*n)?, (*b)?);
            Some(Usage {
                processor: n.processor.saturating_sub(b.processor),
                memory_kb: n.memory_kb,
            })
        };
        pairs.map(of).collect()
    };
    RoleUsage {
        registries: since(&now.registries, &before.registries),
        stores: since(&now.stores, &before.stores),
    }
}

/// Changes of the probe's route at a rate; those that were acknowledged, and how many were not.
fn write_changes(
    control: &[std::net::SocketAddr],
    rate: f64,
    until: Instant,
) -> (Vec<ChangeTimes>, u64) {
    let (mut due, mut done, mut failed, mut version) = (Due::at_rate(rate), Vec::new(), 0, 1);
    while Instant::now() < until && rate > 0.0 {
        if !due.is_now() {
            sleep(STEP / 10);
            continue;
        }
        version += 1;
        let sent = Instant::now();
        let at = control[version as usize % control.len()];
        let answer = operator::call(
            at,
            "PATCH /-/configuration",
            &operator::probe_change(version),
        );
        if answer.status() == 200 {
            done.push(ChangeTimes {
                version,
                took: sent.elapsed(),
                acknowledged: Instant::now(),
            });
        } else {
            failed += 1;
        }
    }
    (done, failed)
}

fn wait_for_changes(changes: &[ChangeTimes], progress: &Progress, proxies: usize) {
    let Some(last) = changes.last() else { return };
    let until = Instant::now() + LAST_CHANGES;
    while Instant::now() < until
        && progress
            .arrival(last.version)
            .is_none_or(|a| a.proxies < proxies)
    {
        sleep(STEP);
    }
}

#[derive(Default)]
struct Times {
    acknowledge_p50: f64,
    acknowledge_most: f64,
    in_force_p50: f64,
    in_force_most: f64,
    missing: u64,
}

fn change_times(changes: &[ChangeTimes], progress: &Progress, proxies: usize) -> Times {
    let ms = |d: Duration| d.as_secs_f64() * 1000.0;
    let mut acknowledge: Vec<f64> = changes.iter().map(|c| ms(c.took)).collect();
    let arrived = |c: &ChangeTimes| {
        let arrival = progress
            .arrival(c.version)
            .filter(|a| a.proxies >= proxies)?;
        Some(ms(arrival.last.saturating_duration_since(c.acknowledged)))
    };
    let mut in_force: Vec<f64> = changes.iter().filter_map(arrived).collect();
    let missing = (changes.len() - in_force.len()) as u64;
    acknowledge.sort_by(f64::total_cmp);
    in_force.sort_by(f64::total_cmp);
    let middle = |all: &[f64]| all.get(all.len() / 2).copied().unwrap_or(0.0);
    let most = |all: &[f64]| all.last().copied().unwrap_or(0.0);
    Times {
        acknowledge_p50: middle(&acknowledge),
        acknowledge_most: most(&acknowledge),
        in_force_p50: middle(&in_force),
        in_force_most: most(&in_force),
        missing,
    }
}

fn kind_rows(flows: &[(MessageKind, Direction, Flow)], seconds: f64, proxies: f64) -> Vec<KindRow> {
    let some = flows.iter().filter(|(.., flow)| flow.messages > 0);
    let row = |(kind, direction, flow): &(MessageKind, Direction, Flow)| KindRow {
        kind: kind.name(),
        direction: if *direction == Direction::In {
            "in"
        } else {
            "out"
        },
        messages_s: flow.messages as f64 / seconds / proxies,
        bytes_s: flow.bytes as f64 / seconds / proxies,
        bytes_each: flow.bytes as f64 / flow.messages as f64,
    };
    some.map(row).collect()
}

/// The machine's load over the last minute.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0.0)
}
