//! Mirrored requests: rules set, shown and ended at a live system, and one report of what all proxies say came of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use damsonbeam_control::config::{ConfigChange, MirrorRule};
use damsonbeam_control::json::{Value, parse};
use simd_json::prelude::*;

use crate::CtlError;
use crate::live::{call, get};

const PATH: &str = "/-/copies";
/// What is counted of each rule, in the order of the report.
const COUNTS: [&str; 5] = [
    "copied",
    "answered",
    "compared",
    "other_status",
    "other_body",
];

/// Sends a file's rules, each checked here first.
///
/// # Errors
/// What is wrong with the file, by rule and field, or what the system says.
pub fn set(address: SocketAddr, path: &Path) -> Result<String, CtlError> {
    let text = std::fs::read_to_string(path).map_err(|error| CtlError::file(path, error))?;
    let change = ConfigChange::from_mirror_rules_json(text.clone().into_bytes())
        .map_err(|error| CtlError::file(path, error))?;
    for item in change.items.iter().filter(|item| item.body.is_some()) {
        MirrorRule::try_from(item).map_err(|error| CtlError::file(path, error))?;
    }
    call(address, "PATCH", PATH, &text)?;
    Ok(format!("{} rules set", change.items.len()))
}

/// The rules in force.
///
/// # Errors
/// Where the system does not answer.
pub fn show(address: SocketAddr) -> Result<String, CtlError> {
    get(address, PATH)
}

/// Ends a rule, by a version above its own.
///
/// # Errors
/// Where the name or version can't be sent, or what the system says.
pub fn stop(address: SocketAddr, name: &str, version: &str) -> Result<String, CtlError> {
    if needs_escapes(name) || needs_escapes(version) {
        let reason = "a name or version with a quote, backslash or control character";
        return Err(CtlError::Request(reason.into()));
    }
    let removal = format!("{{\"name\":\"{name}\",\"config_version\":\"{version}\"}}");
    let body = format!("{{\"removals\":{{\"copy_list\":[{removal}]}}}}");
    call(address, "PATCH", PATH, &body)?;
    Ok(format!("{name} ends with {version}"))
}

fn needs_escapes(text: &str) -> bool {
    text.chars()
        .any(|c| c == '"' || c == '\\' || c.is_control())
}

/// A version of a rule.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RuleVersion {
    name: String,
    version: u64,
}

/// What all proxies say of a rule.
#[derive(Default)]
struct Sums {
    counts: BTreeMap<&'static str, u64>,
    /// Not sent, by reason.
    dropped: BTreeMap<String, u64>,
    /// Times of the pairs compared.
    real_ms: f64,
    trial_ms: f64,
    /// Whether a caller is broken anywhere.
    callers: BTreeMap<String, bool>,
}

/// What came of the mirrored requests, over the proxies asked.
///
/// # Errors
/// Where a proxy does not answer.
pub fn report(proxies: &[SocketAddr]) -> Result<String, CtlError> {
    let mut rules: BTreeMap<RuleVersion, Sums> = BTreeMap::new();
    for proxy in proxies {
        let body = parse(get(*proxy, PATH)?.into_bytes())
            .map_err(|error| CtlError::process(proxy, error))?;
        let reports = body.get("copies").and_then(|copies| copies.as_array());
        let reports = reports.ok_or_else(|| CtlError::process(proxy, "no report"))?;
        for report in reports {
            let name = report.get("rule").and_then(|rule| rule.as_str());
            let version = report.get("version").and_then(|version| version.as_u64());
            let rule = RuleVersion {
                name: name.unwrap_or_default().to_string(),
                version: version.unwrap_or(0),
            };
            rules.entry(rule).or_default().add(report);
        }
    }
    let lines = rules.iter().map(|(rule, sums)| sums.line(rule));
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

impl Sums {
    /// Adds one proxy's report.
    fn add(&mut self, report: &Value) {
        let count = |name: &str| {
            let value = report.get(name).and_then(|value| value.as_u64());
            value.unwrap_or(0)
        };
        for name in COUNTS {
            *self.counts.entry(name).or_default() += count(name);
        }
        let dropped = report
            .get("dropped")
            .and_then(|dropped| dropped.as_object());
        for (reason, number) in dropped.into_iter().flat_map(|dropped| dropped.iter()) {
            let sum = self.dropped.entry(reason.to_string()).or_default();
            *sum += number.as_u64().unwrap_or(0);
        }
        let mean = |name: &str| {
            let value = report.get(name).and_then(|value| value.cast_f64());
            value.unwrap_or(0.0)
        };
        let pairs = count("compared") as f64;
        self.real_ms += mean("real_ms") * pairs;
        self.trial_ms += mean("trial_ms") * pairs;
        let callers = report.get("callers").and_then(|callers| callers.as_array());
        for caller in callers.into_iter().flatten() {
            self.add_caller(caller);
        }
    }

    /// A caller is an array: its name, requests, whether it is broken.
    fn add_caller(&mut self, caller: &Value) {
        let field = |position: usize| caller.as_array().and_then(|fields| fields.get(position));
        let name = field(0).and_then(|name| name.as_str()).unwrap_or_default();
        let is_broken = field(2).and_then(|broken| broken.as_bool()).unwrap_or(true);
        *self.callers.entry(name.to_string()).or_default() |= is_broken;
    }

    fn line(&self, rule: &RuleVersion) -> String {
        let callers = self.callers.len();
        let broken = self.callers.values().filter(|broken| **broken).count();
        let counts: Vec<String> = self
            .counts
            .iter()
            .map(|(name, number)| format!("{name} {number}"))
            .collect();
        let dropped: Vec<String> = self
            .dropped
            .iter()
            .map(|(reason, number)| format!("{reason} {number}"))
            .collect();
        let dropped = if dropped.is_empty() {
            "none".to_string()
        } else {
            dropped.join(", ")
        };
        let pairs = (self.counts["compared"] as f64).max(1.0);
        format!(
            "{} r{}: {callers} callers, {} whole, {broken} broken; {}; dropped: {dropped}; mean ms real {:.1}, trial {:.1}",
            rule.name,
            rule.version,
            callers - broken,
            counts.join(", "),
            self.real_ms / pairs,
            self.trial_ms / pairs
        )
    }
}
