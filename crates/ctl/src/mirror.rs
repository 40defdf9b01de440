//! Copies of live requests: rules set, shown and ended at a live system, and one report of what all proxies say came of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

use damsonbeam_control::config::ConfigChange;
use damsonbeam_control::config::MirrorRule;
use damsonbeam_control::json::{Value, parse};
use simd_json::prelude::*;

use crate::{Fault, ask, file, get};

/// Sends a file's rules, each checked here first.
///
/// # Errors
/// What is wrong with the file, by rule and field, or what the system says.
pub fn set(at: SocketAddr, path: &Path) -> Result<String, Fault> {
    let text = std::fs::read_to_string(path).map_err(|e| file(path, e))?;
    let change = ConfigChange::from_mirror_rules_json(text.clone().into_bytes())
        .map_err(|e| file(path, e))?;
    for item in change.items.iter().filter(|i| i.body.is_some()) {
        MirrorRule::try_from(item).map_err(|e| file(path, e))?;
    }
    ask(at, "PATCH", "/-/copies", &text)?;
    Ok(format!("{} rules set", change.items.len()))
}

/// # Errors
/// Where the system does not answer.
pub fn show(at: SocketAddr) -> Result<String, Fault> {
    get(at, "/-/copies")
}

/// # Errors
/// Where the name or version can't be sent, or what the system says.
pub fn stop(at: SocketAddr, name: &str, version: &str) -> Result<String, Fault> {
    let odd = |text: &str| {
        text.chars()
            .any(|c| c == '"' || c == '\\' || c.is_control())
    };
    if odd(name) || odd(version) {
        return Err(Fault::Asked(
            "a name or version with a quote, backslash or control character".into(),
        ));
    }
    let drop = format!("{{\"name\":\"{name}\",\"config_version\":\"{version}\"}}");
    ask(
        at,
        "PATCH",
        "/-/copies",
        &format!("{{\"removals\":{{\"copy_list\":[{drop}]}}}}"),
    )?;
    Ok(format!("{name} ends with {version}"))
}

#[derive(Default)]
struct Sums {
    counts: BTreeMap<&'static str, u64>,
    dropped: BTreeMap<String, u64>,
    /// Sums of means by the pairs compared.
    times: (f64, f64),
    /// Whether a caller is broken anywhere.
    callers: BTreeMap<String, bool>,
}

const COUNTS: [&str; 5] = [
    "copied",
    "answered",
    "compared",
    "other_status",
    "other_body",
];

/// # Errors
/// Where a proxy does not answer.
pub fn report(proxies: &[SocketAddr]) -> Result<String, Fault> {
    let mut rules: BTreeMap<(String, u64), Sums> = BTreeMap::new();
    for at in proxies {
        let wrong = |why: &str| Fault::Asked(format!("{at}: {why}"));
        let body = parse(get(*at, "/-/copies")?.into_bytes()).map_err(|e| wrong(&e.to_string()))?;
        let all = body
            .get("copies")
            .and_then(|c| c.as_array())
            .ok_or_else(|| wrong("no report"))?;
        for one in all {
            let name = one
                .get("rule")
                .and_then(|r| r.as_str())
                .unwrap_or_default()
                .to_string();
            let version = one.get("version").and_then(|v| v.as_u64()).unwrap_or(0);
            join(rules.entry((name, version)).or_default(), one);
        }
    }
    Ok(rules
        .iter()
        .map(|(rule, sums)| line(rule, sums))
        .collect::<Vec<_>>()
        .join("\n"))
}

fn join(sums: &mut Sums, one: &Value) {
    let count = |name: &str| one.get(name).and_then(|v| v.as_u64()).unwrap_or(0);
    COUNTS
        .into_iter()
        .for_each(|name| *sums.counts.entry(name).or_default() += count(name));
    for (why, n) in one
        .get("dropped")
        .and_then(|d| d.as_object())
        .into_iter()
        .flat_map(|d| d.iter())
    {
        *sums.dropped.entry(why.to_string()).or_default() += n.as_u64().unwrap_or(0);
    }
    let mean = |name: &str| one.get(name).and_then(|v| v.cast_f64()).unwrap_or(0.0);
    let pairs = count("compared") as f64;
    sums.times.0 += mean("real_ms") * pairs;
    sums.times.1 += mean("trial_ms") * pairs;
    for c in one
        .get("callers")
        .and_then(|c| c.as_array())
        .into_iter()
        .flatten()
    {
        let part = |n: usize| c.as_array().and_then(|c| c.get(n));
        let name = part(0)
            .and_then(|n| n.as_str())
            .unwrap_or_default()
            .to_string();
        *sums.callers.entry(name).or_default() |= part(2).and_then(|b| b.as_bool()).unwrap_or(true);
    }
}

fn line((name, version): &(String, u64), sums: &Sums) -> String {
    let broken = sums.callers.values().filter(|b| **b).count();
    let counts: Vec<String> = sums
        .counts
        .iter()
        .map(|(name, n)| format!("{name} {n}"))
        .collect();
    let dropped: Vec<String> = sums
        .dropped
        .iter()
        .map(|(why, n)| format!("{why} {n}"))
        .collect();
    let pairs = (sums.counts["compared"] as f64).max(1.0);
    format!(
        "{name} r{version}: {} callers, {} whole, {broken} broken; {}; dropped: {}; mean ms real {:.1}, trial {:.1}",
        sums.callers.len(),
        sums.callers.len() - broken,
        counts.join(", "),
        if dropped.is_empty() {
            "none".into()
        } else {
            dropped.join(", ")
        },
        sums.times.0 / pairs,
        sums.times.1 / pairs
    )
}
