//! The one place where configuration is read, checked and given defaults.

use std::net::SocketAddr;

use damsonbeam::interface::Settings;
use damsonbeam_settings::Facts;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use crate::backend_list::DiscoveryPage;
use crate::sizes::{BODY, CONNECTION};

/// Descriptors kept for all but clients and backends: listener, counter, list, peers, the runtime's own, and
/// those of connections that were let go and close within a turn.
const RESERVE: usize = 48;
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 192;
/// Connections of a kind, at least.
const LEAST: usize = 16;

/// What a reload can change: where others are reached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceAddresses {
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub addresses: ServiceAddresses,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    /// Gateways tell each other what they added to the counter (docs/counter-failure.md); needs `peers`.
    pub witness: bool,
    pub seed: u64,
    pub known: DiscoveryPage,
    pub facts: Facts,
    /// The file as it was read.
    pub source: Value,
    pub settings: Settings,
    /// Client connections at most, and connections to backends at most.
    pub clients: usize,
    pub backends: usize,
    /// Bytes of requests' bodies at most, and of answers larger than a body, for each of both.
    pub bodies: usize,
    /// What the settings rely on and no page of the socket protocol brings, a line each.
    pub notes: Vec<String>,
    /// The gateway's own keys that nothing reads; `config check` refuses them, `serve` logs them.
    pub unknown: Vec<String>,
}

#[derive(Deserialize)]
struct ConfigFile {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    limits: Limits,
    admin_addr: Option<String>,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    peers_all: Option<String>,
    #[serde(default)]
    witness: bool,
    counter: Option<String>,
    seed: Option<String>,
    #[serde(default)]
    known: DiscoveryPage,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl Config {
    /// From the environment and the file that it names.
    pub fn read() -> Result<Self, String> {
        let path = std::env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG is not set")?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("NODE_CONFIG: {path}: {e}"))?;
        Self::parse(&text, |key| std::env::var(key).ok())
    }

    /// Whether it may follow a configuration that is in force: a key that stood there and is gone is no
    /// setting turned off, but a file that was cut or written wrongly.
    ///
    /// # Errors
    /// The first key that is missing.
    pub fn follows(&self, old: &Value) -> Result<(), String> {
        match missing(&old["settings"], &self.source["settings"], "settings") {
            Some(key) => Err(format!(
                "{key}: missing, and the configuration in force has it"
            )),
            None => Ok(()),
        }
    }

    pub fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let source = text;
        let mut text = serde_json::Deserializer::from_str(text);
        let raw: ConfigFile = named(&mut text).map_err(|e| format!("NODE_CONFIG: {e}"))?;
        let addr = |key: &str, value: &str| {
            value
                .parse::<SocketAddr>()
                .map_err(|e| format!("{key}: `{value}` is no address: {e}"))
        };
        let given = |key: &str, value: Option<String>, var: &str| {
            value
                .or_else(|| env(var))
                .ok_or_else(|| format!("{key}: missing, and {var} is not set"))
        };
        let some =
            |key: &str, value: &Option<String>| value.as_deref().map(|v| addr(key, v)).transpose();
        let seed = raw.seed.ok_or("seed: missing")?;
        let facts: Facts = named(raw.settings).map_err(|e| format!("settings.{e}"))?;
        check(&facts)?;
        let notes = notes(&facts);
        let settings =
            damsonbeam_settings::settings(&facts).map_err(|e| format!("settings: {e}"))?;
        let counter = some("counter", &raw.counter)?;
        if settings.counter.is_some() && counter.is_none() {
            return Err("counter: missing, though settings.domain.has-counter is true".into());
        }
        let sockets = raw.limits.sockets.unwrap_or(SOCKETS);
        if sockets < 4 * RESERVE {
            return Err(format!(
                "limits.sockets: {sockets} is too few, {} at least",
                4 * RESERVE
            ));
        }
        let discovery = addr(
            "discovery",
            &given("discovery", raw.discovery, "NODE_DISCOVERY")?,
        )?;
        let memory = raw.limits.memory_mb.unwrap_or(MEMORY_MB) << 20;
        // With every place at its largest, each of these takes a quarter of the memory at most.
        let quarter = memory / 4;
        let backends = ((sockets - RESERVE) * 2 / 5).min(quarter / (CONNECTION + BODY));
        let clients = ((sockets - RESERVE) * 3 / 5).min(quarter / CONNECTION);
        if backends.min(clients) < LEAST {
            return Err(format!(
                "limits.memory_mb: {} MB hold too few connections",
                memory >> 20
            ));
        }
        Ok(Config {
            name: given("name", raw.name, "NODE_NAME")?,
            listen: addr("listen", &given("listen", raw.listen, "NODE_LISTEN")?)?,
            addresses: ServiceAddresses { discovery, counter },
            admin: some(
                "admin_addr",
                &raw.admin_addr.or_else(|| env("NODE_ADMIN_ADDR")),
            )?,
            peer_listen: some("peer_listen", &raw.peer_listen)?,
            peers: raw
                .peers
                .iter()
                .map(|p| addr("peers", p))
                .collect::<Result<_, _>>()?,
            peers_all: some("peers_all", &raw.peers_all)?,
            witness: raw.witness,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|e| format!("seed: `{seed}` is not hex: {e}"))?,
            known: raw.known,
            facts,
            source: serde_json::from_str(source).unwrap_or_default(),
            settings,
            clients,
            backends,
            bodies: quarter,
            notes,
            unknown: unknown_keys(source).0,
        })
    }
}

/// The first key that `old` has and `new` lacks. A row of a list needs the keys that all the old rows have.
fn missing(old: &Value, new: &Value, at: &str) -> Option<String> {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| {
            let at = format!("{at}.{key}");
            match new.get(key) {
                Some(new) => missing(old, new, &at),
                None => Some(at),
            }
        }),
        (Value::Array(old), Value::Array(new)) => {
            let rows: Vec<_> = old.iter().filter_map(Value::as_object).collect();
            let keys: Vec<_> = rows
                .first()?
                .keys()
                .filter(|k| rows.iter().all(|r| r.contains_key(*k)))
                .collect();
            new.iter().enumerate().find_map(|(n, row)| {
                let lacks = keys.iter().find(|k| row.get(**k).is_none())?;
                Some(format!("{at}[{n}].{lacks}"))
            })
        }
        _ => None,
    }
}

/// Decodes, and says at which key it failed.
fn named<'a, T: Deserialize<'a>>(from: impl Deserializer<'a>) -> Result<T, String> {
    serde_path_to_error::deserialize(from).map_err(|e| format!("{}: {}", e.path(), e.inner()))
}

/// What the gateway can't do without, or would misread.
fn check(facts: &Facts) -> Result<(), String> {
    let counter = facts
        .domain
        .counter_timeout_ns
        .max(u64::from(!facts.domain.has_counter));
    let spans = [
        ("tick-ns", facts.tick_ns),
        (
            "ceilings.connect-timeout-ns",
            facts.ceilings.connect_timeout_ns,
        ),
        ("ceilings.conn-idle-ns", facts.ceilings.conn_idle_ns),
        ("domain.counter-timeout-ns", counter),
    ];
    if let Some((key, _)) = spans.iter().find(|(_, span)| *span == 0) {
        return Err(format!("settings.{key}: missing or 0"));
    }
    if facts.ceilings.try_limit == 0 {
        return Err("settings.ceilings.try-limit: missing or 0".into());
    }
    for (at, names) in [
        (
            "request-classes",
            facts
                .request_classes
                .iter()
                .map(|c| &c.name)
                .collect::<Vec<_>>(),
        ),
        ("plans", facts.plans.iter().map(|p| &p.name).collect()),
    ] {
        if let Some((i, name)) = names
            .iter()
            .enumerate()
            .find(|(i, n)| names[..*i].contains(n))
        {
            return Err(format!(
                "settings.{at}[{i}].name: `{name}` stands there twice"
            ));
        }
    }
    if facts.self_index >= facts.siblings {
        return Err(format!(
            "settings.self-index: {} of {} siblings",
            facts.self_index, facts.siblings
        ));
    }
    for (i, c) in facts.request_classes.iter().enumerate() {
        if c.name.is_empty() || c.name.contains('/') || c.deadline_ns == 0 || c.slo_ns == 0 {
            return Err(format!(
                "settings.request-classes[{i}]: needs a name for a path, deadline-ns, slo-ns"
            ));
        }
    }
    for (i, c) in facts.request_classes.iter().enumerate() {
        let figures = [("importance", c.importance), ("late-worth", c.late_worth)];
        figure(&format!("settings.request-classes[{i}]"), &figures)?;
    }
    figure(
        "settings.domain",
        &[
            ("most-units", facts.domain.most_units),
            ("call-price", facts.domain.call_price),
        ],
    )?;
    for (i, p) in facts.plans.iter().enumerate() {
        let at = format!("settings.plans[{i}]");
        if p.name.is_empty() {
            return Err(format!("{at}.name: missing"));
        }
        let figures = [
            ("quota-rate", p.quota_rate),
            ("store-size", p.store_size),
            ("max-out", p.max_out),
            ("cap-rate", p.cap_rate),
            ("never-over-depth", p.never_over_depth),
            ("hard-slack", p.hard_slack),
            ("value-factor", p.value_factor),
            ("excess-worth", p.excess_worth),
            ("overrun-cost", p.overrun_cost),
        ];
        figure(&at, &figures)?;
        // Each pair means one thing: with half of it nothing would be held, or nothing let in.
        if (p.quota_rate > 0.0) != (p.store_size > 0.0) {
            return Err(format!(
                "{at}.store-size: needed with quota-rate, and only with it"
            ));
        }
        if (p.cap_rate > 0.0) != (p.never_over_depth > 0.0) {
            return Err(format!(
                "{at}.never-over-depth: needed with cap-rate, and only with it"
            ));
        }
    }
    Ok(())
}

fn figure(at: &str, figures: &[(&str, f64)]) -> Result<(), String> {
    match figures.iter().find(|(_, f)| !f.is_finite() || *f < 0.0) {
        Some((key, f)) => Err(format!("{at}.{key}: {f} is no figure from 0 on")),
        None => Ok(()),
    }
}

/// The decisions are sound without these; the socket protocol has no page for them, and none is guessed.
fn notes(facts: &Facts) -> Vec<String> {
    let absent = [
        (
            facts.domain.settles,
            "domain.settles: answers tell no true units here, the guesses stand",
        ),
        (
            facts.domain.meter_ns > 0,
            "domain.meter-ns: answers tell no use here, the counter alone does",
        ),
        (
            facts.report.how == "on_probe",
            "report.how: no probe is sent here, so no load is reported",
        ),
    ];
    absent
        .iter()
        .filter(|(is, _)| *is)
        .map(|(_, what)| format!("settings.{what}"))
        .collect()
}

/// Keys of a configuration that nothing reads, with their paths: the gateway's own refused by `config check`,
/// those of `settings` (which the platform may widen) noted.
pub fn unknown_keys(text: &str) -> (Vec<String>, Vec<String>) {
    let (mut own, mut settings) = (Vec::new(), Vec::new());
    let mut text = serde_json::Deserializer::from_str(text);
    let raw: Result<ConfigFile, _> =
        serde_ignored::deserialize(&mut text, |path| own.push(path.to_string()));
    if let Ok(raw) = raw {
        let facts: Result<Facts, _> = serde_ignored::deserialize(raw.settings, |path| {
            settings.push(format!("settings.{path}"))
        });
        facts.ok();
    }
    (own, settings)
}

/// `damsonbeam config check`: what `serve` would refuse, and keys that nothing reads; else the notes.
pub fn check_file(path: &std::path::Path) -> Result<Vec<String>, Vec<String>> {
    let text = std::fs::read_to_string(path).map_err(|e| vec![e.to_string()])?;
    let (own, settings) = unknown_keys(&text);
    let mut problems: Vec<String> = own
        .iter()
        .map(|k| format!("{k}: unknown key, not read"))
        .collect();
    match Config::parse(&text, |key| std::env::var(key).ok()) {
        Ok(config) if problems.is_empty() => {
            let unread = settings
                .iter()
                .map(|k| format!("{k}: not read by the gateway"));
            Ok(config.notes.into_iter().chain(unread).collect())
        }
        Ok(_) => Err(problems),
        Err(reason) => {
            problems.insert(0, reason.trim_start_matches("NODE_CONFIG: ").to_string());
            Err(problems)
        }
    }
}
