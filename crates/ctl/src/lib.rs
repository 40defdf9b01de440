//! What staff do besides running the three programs: check files before anything starts, ask a live system how it
//! stands, read a store's store, and join the logs of all machines into the account of one thing.

pub mod explain;
pub mod mirror;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use damsonbeam_config_store::consensus::voters::VoterSet;
use damsonbeam_config_store::disk::{Disk, StoredState};
use damsonbeam_control::address::ip_addr;
use damsonbeam_control::config::{ConfigChange, ConfigSnapshot, Item, ItemKind};
use damsonbeam_control::json::{Value, parse};
use damsonbeam_control::messages::BackendListVersion;
use damsonbeam_control::settings::Settings;
use simd_json::prelude::*;

/// A registry answers within this, or it is held for gone.
const ANSWER: Duration = Duration::from_secs(5);

#[derive(Debug, thiserror::Error, PartialEq)]
pub enum Fault {
    #[error("{0}: {1}")]
    File(String, String),
    #[error("{0}")]
    Asked(String),
}

fn file(path: &Path, why: impl std::fmt::Display) -> Fault {
    Fault::File(path.display().to_string(), why.to_string())
}

/// A settings file, checked as a program would at its start; what is in it, in a line.
///
/// # Errors
/// The first field that is missing or wrong.
pub fn check_settings(path: &Path) -> Result<String, Fault> {
    let text = std::fs::read(path).map_err(|e| file(path, e))?;
    // The error names the file itself.
    let s = Settings::parse(&path.display().to_string(), text)
        .map_err(|e| Fault::Asked(e.to_string()))?;
    Ok(format!(
        "{}: {} in {}, {} seeds",
        path.display(),
        s.node_name,
        s.zone,
        s.seed_nodes.len()
    ))
}

/// Operators' calls in the order in which they are to be sent, each checked on the whole as the store would.
///
/// # Errors
/// The first call that is no valid one, and why.
pub fn check_calls(paths: &[PathBuf]) -> Result<String, Fault> {
    let mut snapshot = ConfigSnapshot::default();
    for path in paths {
        let text = std::fs::read(path).map_err(|e| file(path, e))?;
        let change = ConfigChange::from_json(text).map_err(|e| file(path, e))?;
        let mut next = snapshot.clone();
        for item in snapshot.effective_items(&change) {
            next.merge(item);
        }
        next.validate().map_err(|e| file(path, e))?;
        snapshot = next;
    }
    let count = |kind| snapshot.present_items(kind).count();
    let (routes, tenants, services) = (
        count(ItemKind::Route),
        count(ItemKind::Tenant),
        count(ItemKind::Service),
    );
    Ok(format!(
        "valid: {routes} routes, {tenants} tenants, {services} services"
    ))
}

fn line(item: &Item, decided: bool) -> String {
    let state = if item.body.is_some() { "" } else { ", dropped" };
    let known = if decided {
        ""
    } else {
        ", not known to be decided"
    };
    let Item {
        key,
        version,
        proposal_number,
        ..
    } = item;
    format!(
        "{:?} {} r{version}, ballot {}.{}{state}{known}",
        key.kind, key.name, proposal_number.round, proposal_number.proposer
    )
}

/// A store's store, item by item.
///
/// # Errors
/// Where there is none, or a record can't be read.
pub fn show_store(dir: &Path) -> Result<String, Fault> {
    let StoredState {
        durable: kept,
        roster,
        backends,
    } = open(dir)?;
    let BackendListVersion { term, revision } = backends.version;
    let vote = if kept.has_vote() {
        "has a vote"
    } else {
        "has no vote yet"
    };
    let mut out = vec![format!(
        "{vote}, promised ballot {}.{}",
        kept.promised.round, kept.promised.proposer
    )];
    if let Some(set) = VoterSet::committed(&kept.committed) {
        let ips: Vec<String> = set
            .voters()
            .iter()
            .map(|v| ip_addr(v.ip).to_string())
            .collect();
        out.push(format!("voters of epoch {}: {}", set.epoch, ips.join(", ")));
    }
    out.push(format!("{} stores known", roster.len()));
    out.push(format!(
        "list of term {}, reading {}: {} backends",
        term,
        revision,
        backends.backends.len()
    ));
    let decided = |i: &Item| kept.committed.items().get(&i.key) == Some(i);
    out.extend(kept.accepted.items().values().map(|i| line(i, decided(i))));
    Ok(out.join("\n"))
}

/// Whether a store has a vote and what it holds is a valid configuration.
///
/// # Errors
/// What is wrong with it.
pub fn verify_store(dir: &Path) -> Result<String, Fault> {
    let kept = open(dir)?.durable;
    kept.committed.validate().map_err(|e| file(dir, e))?;
    if !kept.has_vote() {
        return Err(file(
            dir,
            "has no vote yet: it is new, came back empty or was replaced",
        ));
    }
    let left = kept
        .accepted
        .items()
        .values()
        .filter(|i| kept.committed.items().get(&i.key) != Some(i))
        .count();
    Ok(format!(
        "sound: {} items, {left} not known to be decided",
        kept.committed.items().len()
    ))
}

/// The configuration that a store holds, as an operator would send it.
///
/// # Errors
/// Where it can't be read.
pub fn export_store(dir: &Path) -> Result<String, Fault> {
    let kept = open(dir)?.durable;
    let body = String::from_utf8(kept.committed.to_json()).map_err(|e| file(dir, e))?;
    Ok(format!("{{\"upserts\":{body}}}"))
}

fn open(dir: &Path) -> Result<StoredState, Fault> {
    if !dir.join("items.redb").exists() {
        return Err(file(dir, "no store here (items.redb)"));
    }
    Disk::open(dir)
        .and_then(|s| s.read())
        .map_err(|e| file(dir, e))
}

/// How a live system stands, as one registry sees it.
///
/// # Errors
/// Where it does not answer.
pub fn state(at: SocketAddr) -> Result<String, Fault> {
    get(at, "/-/state")
}

/// What a proxy knows of each backend's load: its own, what others told, from how many, how old, and what is kept of
/// the backend's weight.
///
/// # Errors
/// Where it does not answer.
pub fn loads(at: SocketAddr) -> Result<String, Fault> {
    get(at, "/-/loads")
}

/// What proxies did not serve of late, in order of time, or what one request came to.
///
/// # Errors
/// Where one does not answer, or none knows that request.
pub fn account(proxies: &[SocketAddr], request: Option<&str>) -> Result<String, Fault> {
    let mut rows = Vec::new();
    for at in proxies {
        let path = request.map_or("/-/account".into(), |r| format!("/-/account?request={r}"));
        let body =
            parse(get(*at, &path)?.into_bytes()).map_err(|e| Fault::Asked(format!("{at}: {e}")))?;
        let last = body.get("last").and_then(|l| l.as_array());
        let last = last.ok_or_else(|| Fault::Asked(format!("{at}: no account")))?;
        rows.extend(last.iter().map(|e| {
            (
                e.get("at_ms").and_then(|a| a.as_u64()).unwrap_or(0),
                row(*at, e),
            )
        }));
    }
    rows.sort();
    if let Some(request) = request.filter(|_| rows.is_empty()) {
        let why = "served, never come, or of longer ago than is kept";
        return Err(Fault::Asked(format!(
            "no proxy asked has an account of `{request}`: {why}"
        )));
    }
    Ok(rows.into_iter().map(|r| r.1).collect::<Vec<_>>().join("\n"))
}

/// One event of an account as a sentence.
fn row(at: SocketAddr, e: &Value) -> String {
    let text = |name: &str| e.get(name).and_then(|v| v.as_str()).unwrap_or("none");
    let ms = e.get("at_ms").and_then(|a| a.as_u64()).unwrap_or(0);
    let (h, m, s) = (ms / 3_600_000 % 24, ms / 60_000 % 60, ms / 1000 % 60);
    let ran = e
        .get("may_have_run")
        .and_then(|r| r.as_bool())
        .unwrap_or(true);
    format!(
        "{h:02}:{m:02}:{s:02}.{:03}  {at}  request {}: {}, {}; route {}, tenant {}, coordinator's term {}, list {}",
        ms % 1000,
        text("request"),
        text("cause"),
        if ran {
            "it may have run"
        } else {
            "it has not run"
        },
        text("route"),
        text("tenant"),
        e.get("coordinator_term")
            .and_then(|t| t.as_u64())
            .unwrap_or(0),
        text("list")
    )
}

fn get(at: SocketAddr, path: &str) -> Result<String, Fault> {
    ask(at, "GET", path, "")
}

fn ask(at: SocketAddr, method: &str, path: &str, body: &str) -> Result<String, Fault> {
    let asked = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&at, ANSWER)?;
        stream.set_read_timeout(Some(ANSWER))?;
        let head = format!("{method} {path} HTTP/1.1\r\nHost: {at}\r\nConnection: close");
        write!(
            stream,
            "{head}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        Ok(text)
    };
    let text = asked().map_err(|e| Fault::Asked(format!("{at}: {e}")))?;
    match text.split_once("\r\n\r\n") {
        Some((head, body)) if head.starts_with("HTTP/1.1 200") => Ok(body.trim_end().to_string()),
        Some((head, body)) => {
            let first = head.lines().next().unwrap_or_default();
            Err(Fault::Asked(format!("{at}: {first} {}", body.trim_end())))
        }
        None => Err(Fault::Asked(format!("{at}: no answer"))),
    }
}
