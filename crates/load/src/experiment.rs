//! Experiments: the lab's stand-ins, gateways of the built program, a load profile and a fault script,
//! run together; the report is written with what the backends and the counter saw.
//!
//! ```toml
//! title = "The counter killed mid-surge"
//! gateways = 3
//! backends = 6
//! stores = 2            # counters that a split can lead to
//! load = "load.toml"    # beside this file
//! faults = "faults.toml"
//! ```

use std::path::{Path, PathBuf};

use damsonbeam_lab::gateways::{self, Place};
use damsonbeam_lab::{Behaviour, Fault, Lab};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::profile::{self, Profile};
use crate::report;
use crate::run;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub title: String,
    pub gateways: usize,
    pub backends: usize,
    #[serde(default = "one")]
    pub stores: usize,
    pub load: PathBuf,
    pub faults: Option<PathBuf>,
    /// A settings object to start from, as JSON; plans come from the load profile.
    pub settings: Option<PathBuf>,
    /// Gateways tell each other what they added to the counter (docs/counter-failure.md).
    #[serde(default)]
    pub witness: bool,
    /// Descriptors that each gateway may use: clients get three fifths of them, backends two.
    #[serde(default = "sockets")]
    pub sockets: usize,
}

fn sockets() -> usize {
    1024
}

fn one() -> usize {
    1
}

/// The settings that a lab's gateways get where the experiment names none: one idempotent operation with
/// a latency objective of 1 s and an integration timeout of 7 s, a counter with a time-out of 50 ms.
pub fn base_settings() -> Value {
    json!({
        "ceilings": {"cancel": true, "conn-idle-ns": 30_000_000_000u64, "connect-timeout-ns": 250_000_000,
            "max-retry-after-ns": 1_000_000_000, "retry-after": true, "try-limit": 3},
        "dcs": ["a"], "kinds": ["m"], "discovery": "automatic", "tick-ns": 4_000_000,
        "domain": {"has-counter": true, "counter-timeout-ns": 50_000_000, "most-units": 8},
        "request-classes": [{"name": "tile", "idempotency": "retryable", "deadline-ns": 7_000_000_000u64,
            "slo-ns": 1_000_000_000u64, "importance": 1.0, "late-worth": 0.2}],
        "rules": {"drain-grace-ns": 250_000_000, "overload-factor": 2.0, "tip-after-ns": 3_000_000_000u64,
            "cold-share": 0.2, "cold-ns": 1_000_000_000},
    })
}

/// The settings with the profile's plans.
pub fn settings(base: Value, profile: &Profile) -> Value {
    let mut settings = base;
    let plans: Vec<Value> = profile.plans.iter().map(|p| {
        json!({"name": p.name, "quota-rate": p.rate, "store-size": p.burst, "value-factor": 1.0, "overrun-cost": 1.0})
    }).collect();
    settings["plans"] = plans.into();
    settings
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// An experiment, its load, its faults and its gateways' settings.
pub type Loaded = (Experiment, Profile, Vec<damsonbeam_lab::Step>, Value);

/// Reads an experiment and what it names, all checked before anything starts.
pub fn load(path: &Path) -> Result<Loaded, String> {
    let text = read(path)?;
    let file = path.display().to_string();
    let e: Experiment = toml::from_str(&text).map_err(|e| {
        let line = e
            .span()
            .map_or(1, |s| damsonbeam_lab::script::line_of(&text, s.start));
        format!("{file}:{line}: {}", e.message())
    })?;
    if e.gateways == 0 || e.gateways > 200 || e.backends == 0 {
        return Err(format!(
            "{file}: gateways 1 to 200 and backends 1 or more, not {} and {}",
            e.gateways, e.backends
        ));
    }
    let beside = |p: &Path| path.parent().unwrap_or(Path::new(".")).join(p);
    let load = beside(&e.load);
    let profile = profile::parse(&load.display().to_string(), &read(&load)?)?;
    let steps = match &e.faults {
        Some(f) => {
            let f = beside(f);
            damsonbeam_lab::script::parse(
                &f.display().to_string(),
                &read(&f)?,
                e.gateways,
                e.stores,
                e.backends,
            )?
        }
        None => Vec::new(),
    };
    let base = match &e.settings {
        Some(s) => {
            serde_json::from_str(&read(&beside(s))?).map_err(|x| format!("{}: {x}", s.display()))?
        }
        None => base_settings(),
    };
    let settings = settings(base, &profile);
    Ok((e, profile, steps, settings))
}

/// What the gateways cost those that they share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Connections to backends: opened, and the most open at once.
    pub handshakes: usize,
    pub connections: usize,
    pub counter_calls: usize,
    pub discovery_calls: usize,
    pub deliveries: usize,
    /// Processor time of all gateways together, from start to end.
    pub cpu: std::time::Duration,
}

/// What an experiment found beside the report.
pub struct Found {
    pub costs: Costs,
    pub reached: run::Reached,
    pub summary: String,
    pub records: Vec<run::Record>,
    pub worst: Vec<f64>,
    pub unanswered: usize,
}

/// Runs an experiment with the program at `program`, writing the report into `out`.
///
/// # Errors
/// What is wrong with its files, or what could not be started or written.
pub async fn run(path: &Path, program: &Path, out: &Path) -> Result<Found, String> {
    let loaded = load(path)?;
    play(path, loaded, program, out).await
}

/// Runs an experiment for what it finds alone, as tests do: its report is not kept.
///
/// # Errors
/// As [`run()`].
pub fn found(path: &Path, program: &Path) -> Result<Found, String> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let out = std::env::temp_dir().join(format!("damsonbeam-{name}-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let found = runtime
        .map_err(|e| format!("runtime: {e}"))?
        .block_on(run(path, program, &out));
    std::fs::remove_dir_all(&out).ok();
    found
}

/// Runs an experiment that was read, perhaps with another number of gateways.
///
/// # Errors
/// What could not be started or written.
pub async fn play(
    path: &Path,
    loaded: Loaded,
    program: &Path,
    out: &Path,
) -> Result<Found, String> {
    let (e, profile, steps, settings) = loaded;
    let lab = Lab::start(
        e.gateways,
        e.stores,
        e.backends,
        profile.seed,
        Behaviour::default(),
    )
    .await
    .map_err(|x| format!("lab: {x}"))?;
    let common = gateways::Common {
        program,
        of: e.gateways,
        discovery: lab.discovery.at,
        settings: &settings,
        witness: e.witness,
        sockets: e.sockets,
        inherits: steps
            .iter()
            .any(|s| matches!(s.fault, Fault::GatewayUpgrade { .. })),
    };
    let mut started = Vec::new();
    for n in 0..e.gateways {
        started.push(Place::start(n, lab.counter.fronts[n], &common).await?);
    }
    let addresses: Vec<_> = started.iter().map(|g| g.at).collect();
    let ((records, reached), played) = tokio::join!(
        run::measured(&profile, &addresses),
        lab.play(&steps, &mut started)
    );
    played.map_err(|why| format!("{}: {why}", e.faults.as_deref().unwrap_or(path).display()))?;
    let received = lab.fleet.received();
    let calls = lab.counter.calls().len();
    let (handshakes, connections) = lab.fleet.connections.counts();
    let costs = Costs {
        handshakes,
        connections,
        counter_calls: calls,
        discovery_calls: lab.discovery.calls(),
        deliveries: received.iter().filter(|r| !r.id.is_empty()).count(),
        cpu: started.iter().map(Place::cpu).sum(),
    };
    drop(started);
    let mut summary = report::write(out, &e.title, &profile, &records)?;
    let named: Vec<_> = steps.iter().map(|s| (s.at, s.name.clone())).collect();
    report::write_times(out, &e.title, &profile, &records, &named)?;
    summary.push_str(&report::reached(&reached));
    let worst: Vec<f64> = (0..profile.firms.len())
        .map(|f| report::worst_minute(&profile, &records, f))
        .collect();
    let unanswered = records.iter().filter(|r| r.answer.is_lost()).count();
    summary.push_str(&format!(
        "\nGateways {}, backends {}, counter stores {}, witness {}; {} requests reached backends, {} calls the counter; {} steps of faults.\n",
        e.gateways, e.backends, e.stores, if e.witness { "on" } else { "off" }, received.len(), calls, steps.len()
    ));
    std::fs::write(out.join("summary.md"), &summary)
        .map_err(|x| format!("{}: {x}", out.display()))?;
    Ok(Found {
        costs,
        reached,
        summary,
        records,
        worst,
        unanswered,
    })
}
