//! Sets, shows and removes the mirror rules of a running system, and sums up what proxies report about mirrored
//! requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use damsonbeam_control::config::{ConfigChange, MirrorRule};
use damsonbeam_control::json::{Value, parse};
use simd_json::prelude::*;

use crate::CtlError;
use crate::live::{call, get};

const MIRROR_PATH: &str = "/-/copies";
/// Names of the counters in a report of a proxy.
const COUNTER_NAMES: [&str; 5] = [
    "copied",
    "answered",
    "compared",
    "other_status",
    "other_body",
];

/// Checks each rule in a file and then sends them all; returns the number of rules sent.
///
/// # Errors
/// Names the rule and field in the file that is not valid, or returns the error response of the system.
pub fn set(address: SocketAddr, path: &Path) -> Result<String, CtlError> {
    let text = std::fs::read_to_string(path).map_err(|error| CtlError::file(path, error))?;
    let change = ConfigChange::from_mirror_rules_json(text.clone().into_bytes())
        .map_err(|error| CtlError::file(path, error))?;
    for item in change.items.iter().filter(|item| item.body.is_some()) {
        MirrorRule::try_from(item).map_err(|error| CtlError::file(path, error))?;
    }
    call(address, "PATCH", MIRROR_PATH, &text)?;
    Ok(format!("{} rules set", change.items.len()))
}

/// Returns the mirror rules in force as JSON.
///
/// # Errors
/// Fails if the system does not answer with status 200.
pub fn show(address: SocketAddr) -> Result<String, CtlError> {
    get(address, MIRROR_PATH)
}

/// Removes a rule; `version` must be higher than the version of the rule.
///
/// # Errors
/// Fails if the name or version would need escapes in JSON, or returns the error response of the system.
pub fn stop(address: SocketAddr, name: &str, version: &str) -> Result<String, CtlError> {
    if needs_escapes(name) || needs_escapes(version) {
        let reason = "name or version contains a quote, backslash or control character";
        return Err(CtlError::Request(reason.into()));
    }
    let removal = format!("{{\"name\":\"{name}\",\"config_version\":\"{version}\"}}");
    let body = format!("{{\"removals\":{{\"copy_list\":[{removal}]}}}}");
    call(address, "PATCH", MIRROR_PATH, &body)?;
    Ok(format!("{name} removed with version {version}"))
}

fn needs_escapes(text: &str) -> bool {
    text.chars()
        .any(|c| c == '"' || c == '\\' || c.is_control())
}

/// Name and version of a rule.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RuleVersion {
    name: String,
    version: u64,
}

/// Sums of the reports of all queried proxies about one version of a rule.
#[derive(Default)]
struct RuleTotals {
    counts: BTreeMap<&'static str, u64>,
    /// Numbers of requests that were not mirrored, by reason.
    dropped: BTreeMap<String, u64>,
    /// Sum of the latencies of the real responses in the compared pairs, in milliseconds.
    real_ms_sum: f64,
    /// Sum of the latencies of the trial responses in the compared pairs, in milliseconds.
    trial_ms_sum: f64,
    /// Callers by their hashes, with whether any proxy failed to mirror one of the requests it had to mirror for the
    /// caller.
    callers: BTreeMap<String, bool>,
}

/// Returns one line for each rule version with the results of mirrored requests, summed over the given proxies.
///
/// # Errors
/// Fails if a proxy does not answer with status 200, or its response has no list of reports.
pub fn report(proxies: &[SocketAddr]) -> Result<String, CtlError> {
    let mut rules: BTreeMap<RuleVersion, RuleTotals> = BTreeMap::new();
    for proxy in proxies {
        let body = parse(get(*proxy, MIRROR_PATH)?.into_bytes())
            .map_err(|error| CtlError::process(proxy, error))?;
        let reports = body.get("copies").and_then(|copies| copies.as_array());
        let reports = reports
            .ok_or_else(|| CtlError::process(proxy, "the response has no `copies` array"))?;
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
    let lines = rules.iter().map(|(rule, totals)| totals.format_line(rule));
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

impl RuleTotals {
    /// Adds the report of one proxy.
    fn add(&mut self, report: &Value) {
        let count = |name: &str| {
            let value = report.get(name).and_then(|value| value.as_u64());
            value.unwrap_or(0)
        };
        for name in COUNTER_NAMES {
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
        self.real_ms_sum += mean("real_ms") * pairs;
        self.trial_ms_sum += mean("trial_ms") * pairs;
        let callers = report.get("callers").and_then(|callers| callers.as_array());
        for caller in callers.into_iter().flatten() {
            self.add_caller(caller);
        }
    }

    /// Adds a caller, given as the array `[hash, requests, is_incomplete]`.
    fn add_caller(&mut self, caller: &Value) {
        let field = |position: usize| caller.as_array().and_then(|fields| fields.get(position));
        let name = field(0).and_then(|name| name.as_str()).unwrap_or_default();
        let is_incomplete = field(2)
            .and_then(|incomplete| incomplete.as_bool())
            .unwrap_or(true);
        *self.callers.entry(name.to_string()).or_default() |= is_incomplete;
    }

    fn format_line(&self, rule: &RuleVersion) -> String {
        let callers = self.callers.len();
        let incomplete = self
            .callers
            .values()
            .filter(|incomplete| **incomplete)
            .count();
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
            "{} r{}: {callers} callers, {} complete, {incomplete} incomplete; {}; dropped: {dropped}; mean latency in ms: real {:.1}, trial {:.1}",
            rule.name,
            rule.version,
            callers - incomplete,
            counts.join(", "),
            self.real_ms_sum / pairs,
            self.trial_ms_sum / pairs
        )
    }
}
