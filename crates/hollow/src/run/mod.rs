//! One run: a cluster is started, loaded with a configuration, given its proxies and then measured for a while.

mod changes;
mod found;
mod measure;
mod plan;
mod rate;

use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use damsonbeam_control::link::MessageDirection;

use self::changes::ChangeTimes;
use self::found::{Around, Settled};
pub use self::found::{Found, KindRow};
use self::measure::Subject;
pub use self::plan::Plan;
use crate::Error;
use crate::cluster::{Cluster, PlatformAccess};
use crate::meter::{MessageKind, Reading};
use crate::operator::{self, Size};
use crate::platform::Platform;
use crate::process;
use crate::proxies::{Goal, HollowProxies};
use crate::topology::Topology;

/// Between the last proxy's knowing all and the measured time: what is still on its way has come by then.
const SETTLE_PAUSE: Duration = Duration::from_secs(3);
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Half of the machine's memory is others'.
const MAX_MEMORY_KB: u64 = 14 << 20;

impl Plan {
    fn size(&self) -> Size {
        Size {
            routes: self.routes,
            tenants: self.tenants,
            services: self.services,
            batch: self.batch,
        }
    }

    fn start_cluster(&self, topology: Topology, platform: &Platform) -> Result<Cluster, Error> {
        let access = PlatformAccess {
            at: platform.at,
            calls_per_second: self.platform_rate,
        };
        let (programs, folder) = (&self.programs, &self.folder);
        Cluster::start(self.machines, topology, programs, folder, access)
    }

    fn hollow_proxies(&self) -> HollowProxies {
        let goal = Goal {
            items: self.size().items(),
            backends: self.backends,
        };
        HollowProxies::new(self.threads, goal, self.requests, self.tenants.max(1))
    }
}

/// Runs a plan.
///
/// # Errors
/// Where the cluster does not come up or the configuration is refused.
pub fn run(plan: &Plan) -> Result<Found, Error> {
    let load_average_before = load_average();
    let topology = Topology::of_this_process();
    let platform = Platform::start(plan.backends, plan.services, plan.page)?;
    let mut cluster = plan.start_cluster(topology, &platform)?;
    let load_timeout = Duration::from_secs_f64(plan.load_s);
    let loaded = operator::load(&cluster.control(), &plan.size(), load_timeout)?;
    let load_store_bytes = process::store_bytes(&topology)?.between_stores;

    let memory_before = process::usage(std::process::id())?.memory_kb;
    let mut proxies = plan.hollow_proxies();
    let progress = proxies.progress.clone();
    let settled = start_proxies(plan, &cluster, &mut proxies)?;
    sleep(SETTLE_PAUSE);
    let mut subject = Subject {
        plan,
        cluster: &mut cluster,
        platform: &platform,
        proxies: &mut proxies,
        topology: &topology,
    };
    let measured = subject.measure()?;
    let memory = process::usage(std::process::id())?.memory_kb;
    let (registry_peak_kb, store_peak_kb) = cluster.peak_memory_kb();
    let table_reads = progress.apply.lock();
    let table_read = table_reads.map_or(None, |reads| reads.first().copied());
    let times = ChangeTimes::of(&measured.written, &progress, settled.proxies);
    let around = Around {
        load_average_before,
        load_average_after: load_average(),
        loaded,
        load_store_bytes,
        settled,
        proxy_memory_kb: memory.saturating_sub(memory_before),
        registry_peak_kb,
        store_peak_kb,
        table_read: table_read.unwrap_or_default(),
        warnings: cluster.warnings(),
    };
    Ok(Found::of(&around, &measured, &times, plan.proxies))
}

/// Starts the proxies at the plan's rate and waits until all know all.
fn start_proxies(
    plan: &Plan,
    cluster: &Cluster,
    proxies: &mut HollowProxies,
) -> Result<Settled, Error> {
    let before = Reading::now();
    let began = Instant::now();
    for number in 0..plan.proxies {
        proxies.start(cluster.proxy_settings(number)?);
        let due = Duration::from_secs_f64((number + 1) as f64 / plan.ramp);
        sleep(due.saturating_sub(began.elapsed()));
    }
    let ready = &proxies.progress.ready;
    while ready.load(Ordering::Relaxed) < plan.proxies
        && began.elapsed().as_secs_f64() < plan.settle_s
    {
        check_memory(cluster)?;
        sleep(POLL_PAUSE);
    }
    let took_s = began.elapsed().as_secs_f64();
    let after = Reading::now();
    let each = plan.proxies.max(1) as f64;
    let heartbeats = after.since(&before, MessageDirection::In, MessageKind::Heartbeat);
    Ok(Settled {
        took_s,
        proxies: ready.load(Ordering::Relaxed),
        bytes_each: after.bytes_since(&before, MessageDirection::In) as f64 / each,
        heartbeats_each: heartbeats.messages as f64 / each,
    })
}

/// Ends a run that takes too much memory.
fn check_memory(cluster: &Cluster) -> Result<(), Error> {
    let usage = cluster.usage();
    let processes = usage.registries.iter().chain(&usage.stores).flatten();
    let others: u64 = processes.map(|usage| usage.memory_kb).sum();
    let all = others + process::usage(std::process::id())?.memory_kb;
    if all > MAX_MEMORY_KB {
        return Err(format!("the run takes {} MB of memory: given up", all >> 10).into());
    }
    Ok(())
}

/// The machine's load over the last minute.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split(' ').next();
    first.and_then(|load| load.parse().ok()).unwrap_or(0.0)
}
