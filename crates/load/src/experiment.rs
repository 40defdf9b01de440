//! Experiments: run gateways of the built program against the emulator with a load profile and a fault script, and
//! write a report that includes the numbers of requests that backends and counter received.
//!
//! ```toml
//! title = "The counter killed mid-surge"
//! gateways = 3
//! backends = 6
//! stores = 2            # counter stores, among which a split divides the gateways
//! load = "load.toml"    # path relative to this file
//! faults = "faults.toml"
//! ```

use std::path::{Path, PathBuf};

use damsonbeam_lab::gateways::{Gateway, GatewayOptions};
use damsonbeam_lab::{Behaviour, Fault, Lab};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::profile::{self, Profile};
use crate::report;
use crate::run;

/// An experiment file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Title of the report.
    pub title: String,
    /// Number of gateways, 1 to 200.
    pub gateways: usize,
    /// Number of backends, 1 or more.
    pub backends: usize,
    /// Number of counter stores.
    #[serde(default = "default_stores")]
    pub stores: usize,
    /// Path of the load profile, relative to the experiment file.
    pub load: PathBuf,
    /// Path of the fault script, relative to the experiment file.
    pub faults: Option<PathBuf>,
    /// Path of a JSON file with the gateway settings, relative to the experiment file. The plans always come from the
    /// load profile.
    pub settings: Option<PathBuf>,
    /// Whether the gateways tell each other what they added to the counter (docs/counter-failure.md).
    #[serde(default)]
    pub witness: bool,
    /// Maximum number of file descriptors of each gateway: 3/5 for clients and 2/5 for backends.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

fn default_sockets() -> usize {
    1024
}

fn default_stores() -> usize {
    1
}

/// Returns the gateway settings for experiments without a settings file: one idempotent operation with a latency
/// objective of 1 s and a deadline of 7 s, and a counter timeout of 50 ms.
pub fn default_settings() -> Value {
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

/// Returns the settings with their plans replaced by the plans of the load profile.
pub fn with_plans(settings: Value, profile: &Profile) -> Value {
    let mut settings = settings;
    let plans: Vec<Value> = profile.plans.iter().map(|p| {
        json!({"name": p.name, "quota-rate": p.rate, "store-size": p.burst, "value-factor": 1.0, "overrun-cost": 1.0})
    }).collect();
    settings["plans"] = plans.into();
    settings
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// An experiment, its load profile, its fault script and the settings of its gateways.
pub type LoadedExperiment = (Experiment, Profile, Vec<damsonbeam_lab::Step>, Value);

/// Reads and validates an experiment file and the files that it names.
///
/// # Errors
/// Returns a message that names the invalid or unreadable file.
pub fn load(path: &Path) -> Result<LoadedExperiment, String> {
    let text = read_file(path)?;
    let file = path.display().to_string();
    let experiment: Experiment = toml::from_str(&text).map_err(|e| {
        let line = e
            .span()
            .map_or(1, |s| damsonbeam_lab::script::line_of(&text, s.start));
        format!("{file}:{line}: {}", e.message())
    })?;
    if experiment.gateways == 0 || experiment.gateways > 200 || experiment.backends == 0 {
        return Err(format!(
            "{file}: gateways must be 1 to 200 and backends at least 1, not {} and {}",
            experiment.gateways, experiment.backends
        ));
    }
    let resolve = |p: &Path| path.parent().unwrap_or(Path::new(".")).join(p);
    let load_path = resolve(&experiment.load);
    let profile = profile::parse(&load_path.display().to_string(), &read_file(&load_path)?)?;
    let steps = match &experiment.faults {
        Some(f) => {
            let path = resolve(f);
            damsonbeam_lab::script::parse(
                &path.display().to_string(),
                &read_file(&path)?,
                experiment.gateways,
                experiment.stores,
                experiment.backends,
            )?
        }
        None => Vec::new(),
    };
    let base = match &experiment.settings {
        Some(s) => serde_json::from_str(&read_file(&resolve(s))?)
            .map_err(|e| format!("{}: {e}", s.display()))?,
        None => default_settings(),
    };
    let settings = with_plans(base, &profile);
    Ok((experiment, profile, steps, settings))
}

/// Load of the gateways on the shared services, and their CPU time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Costs {
    /// Number of connections opened to backends.
    pub opened_connections: usize,
    /// Maximum number of backend connections open at the same time.
    pub max_open_connections: usize,
    /// Number of calls of the counter.
    pub counter_calls: usize,
    /// Number of requests to discovery.
    pub discovery_requests: usize,
    /// Number of requests with a correlation id that reached backends, retries included.
    pub deliveries: usize,
    /// Total CPU time of the serving processes of all gateways at the end of the run.
    pub cpu: std::time::Duration,
}

/// The results of an experiment.
pub struct ExperimentResult {
    /// Load on the shared services.
    pub costs: Costs,
    /// Statistics of the load generator.
    pub generator_stats: run::GeneratorStats,
    /// Contents of `summary.md`.
    pub summary: String,
    /// All invocations, ordered by due time.
    pub records: Vec<run::Record>,
    /// Excess over the quota in the worst minute, by customer (see [`report::worst_minute_excess`]).
    pub worst_minute_excess: Vec<f64>,
    /// Number of lost invocations (see [`run::InvocationResult::is_lost`]).
    pub unanswered: usize,
}

/// Runs an experiment with the gateway program `program` and writes the report into the directory `out`.
///
/// # Errors
/// Returns the reason where a file is invalid, a process cannot be started, a fault cannot be applied, or the report
/// cannot be written.
pub async fn run(path: &Path, program: &Path, out: &Path) -> Result<ExperimentResult, String> {
    let loaded = load(path)?;
    run_loaded(path, loaded, program, out).await
}

/// Runs an experiment in a new Tokio runtime and deletes the report; used by tests.
///
/// # Errors
/// As [`run()`], or where the runtime cannot be created.
pub fn run_blocking(path: &Path, program: &Path) -> Result<ExperimentResult, String> {
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    let out = std::env::temp_dir().join(format!("damsonbeam-{name}-{}", std::process::id()));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = runtime
        .map_err(|e| format!("runtime: {e}"))?
        .block_on(run(path, program, &out));
    std::fs::remove_dir_all(&out).ok();
    result
}

/// Runs a loaded experiment, which the caller may have modified.
///
/// # Errors
/// Returns the reason where a process cannot be started, a fault cannot be applied, or the report cannot be written.
pub async fn run_loaded(
    path: &Path,
    loaded: LoadedExperiment,
    program: &Path,
    out: &Path,
) -> Result<ExperimentResult, String> {
    let (experiment, profile, steps, settings) = loaded;
    let lab = Lab::start(
        experiment.gateways,
        experiment.stores,
        experiment.backends,
        profile.seed,
        Behaviour::default(),
    )
    .await
    .map_err(|e| format!("lab: {e}"))?;
    let options = GatewayOptions {
        program,
        gateway_count: experiment.gateways,
        discovery: lab.discovery.address,
        settings: &settings,
        witness: experiment.witness,
        max_descriptors: experiment.sockets,
        inherit_listener: steps
            .iter()
            .any(|s| matches!(s.fault, Fault::GatewayUpgrade { .. })),
    };
    let mut gateways = Vec::new();
    for index in 0..experiment.gateways {
        gateways.push(Gateway::start(index, lab.counter.front_addresses[index], &options).await?);
    }
    let addresses: Vec<_> = gateways.iter().map(|g| g.address).collect();
    let ((records, generator_stats), script_result) = tokio::join!(
        run::run_profile(&profile, &addresses),
        lab.run_script(&steps, &mut gateways)
    );
    script_result.map_err(|reason| {
        format!(
            "{}: {reason}",
            experiment.faults.as_deref().unwrap_or(path).display()
        )
    })?;
    let received = lab.fleet.received();
    let counter_calls = lab.counter.calls().len();
    let (opened_connections, max_open_connections) = lab.fleet.connections.counts();
    let costs = Costs {
        opened_connections,
        max_open_connections,
        counter_calls,
        discovery_requests: lab.discovery.request_count(),
        deliveries: received
            .iter()
            .filter(|r| !r.correlation_id.is_empty())
            .count(),
        cpu: gateways.iter().map(Gateway::cpu_time).sum(),
    };
    drop(gateways);
    let mut summary = report::write(out, &experiment.title, &profile, &records)?;
    let named_steps: Vec<_> = steps.iter().map(|s| (s.at, s.name.clone())).collect();
    report::write_times(out, &experiment.title, &profile, &records, &named_steps)?;
    summary.push_str(&report::generator_summary(&generator_stats));
    let worst_minute_excess: Vec<f64> = (0..profile.firms.len())
        .map(|firm| report::worst_minute_excess(&profile, &records, firm))
        .collect();
    let unanswered = records.iter().filter(|r| r.result.is_lost()).count();
    summary.push_str(&format!(
        "\nGateways {}, backends {}, counter stores {}, witness {}; {} requests received by backends, {} calls received by the counter; {} fault steps.\n",
        experiment.gateways, experiment.backends, experiment.stores, if experiment.witness { "on" } else { "off" }, received.len(), counter_calls, steps.len()
    ));
    std::fs::write(out.join("summary.md"), &summary)
        .map_err(|e| format!("{}: {e}", out.display()))?;
    Ok(ExperimentResult {
        costs,
        generator_stats,
        summary,
        records,
        worst_minute_excess,
        unanswered,
    })
}
