//! A gateway's configuration, carried over to a deployment of another shape. No I/O.

pub mod command;

use damsonbeam_gateway::config::Config;
use serde_json::{Map, Value};

/// The new configuration and what an operator has to know of it, a line each.
#[derive(Debug, PartialEq)]
pub struct Migrated {
    pub text: String,
    pub notes: Vec<String>,
}

/// The process's own keys, in whatever shape its deployment is.
const OWN: [&str; 8] = [
    "name",
    "listen",
    "discovery",
    "counter",
    "seed",
    "limits",
    "peer_listen",
    "peers_all",
];

fn object(what: &str, text: &str) -> Result<Map<String, Value>, String> {
    match serde_json::from_str(text).map_err(|e| format!("{what}: {e}"))? {
        Value::Object(map) => Ok(map),
        _ => Err(format!("{what}: not an object")),
    }
}

fn settings(what: &str, of: &Map<String, Value>) -> Result<Map<String, Value>, String> {
    let found = of.get("settings").and_then(Value::as_object).cloned();
    found.ok_or_else(|| format!("{what}: settings: missing, or not an object"))
}

/// The gateway's own check. What a file leaves to the environment is checked where it starts.
fn check(what: &str, text: &str) -> Result<Config, String> {
    let env = |key: &str| {
        Some(if key == "NODE_NAME" {
            "-".into()
        } else {
            "127.0.0.1:1".into()
        })
    };
    Config::parse(text, env).map_err(|e| {
        format!(
            "{what}: {}",
            e.to_string().trim_start_matches("NODE_CONFIG: ")
        )
    })
}

/// Keys of `old`, down to single values, that `new` lacks or has otherwise.
fn lost(path: &str, old: &Value, new: Option<&Value>, notes: &mut Vec<String>) {
    match (old, new) {
        (old, Some(new)) if old == new => {}
        (Value::Object(old), Some(Value::Object(new))) => {
            old.iter()
                .for_each(|(k, v)| lost(&format!("{path}.{k}"), v, new.get(k), notes));
        }
        (_, None) => notes.push(format!(
            "not carried over: {path}: the new shape has no such key"
        )),
        _ => notes.push(format!(
            "not carried over: {path}: the new shape says otherwise"
        )),
    }
}

/// Keys of `new`, down to single values, that `old` could not give.
fn gained(path: &str, new: &Value, old: Option<&Value>, notes: &mut Vec<String>) {
    match (new, old) {
        (Value::Object(new), Some(Value::Object(old))) => {
            new.iter()
                .for_each(|(k, v)| gained(&format!("{path}.{k}"), v, old.get(k), notes));
        }
        (_, None) => notes.push(format!(
            "from the shape: {path}: the old file has no such key"
        )),
        _ => {}
    }
}

/// `old` is a gateway's present file, `shape` one of the same form with the new site's settings.
pub fn migrate(old: &str, shape: &str) -> Result<Migrated, String> {
    let (was, form) = (object("OLD", old)?, object("SHAPE", shape)?);
    let before = check("OLD", old)?;
    let (had, mut set) = (settings("OLD", &was)?, settings("SHAPE", &form)?);
    let mut notes = Vec::new();
    // Which of the gateways it is, and where it stands, no shape can tell.
    let siblings = set.get("siblings").and_then(Value::as_u64).unwrap_or(0);
    if u64::from(before.facts.self_index) < siblings {
        set.insert("self-index".into(), before.facts.self_index.into());
    } else {
        notes.push(format!(
            "not carried over: settings.self-index: {} of {siblings}; give each gateway its own",
            before.facts.self_index
        ));
    }
    let zone = before.facts.dcs.get(before.facts.locality as usize);
    let zones = set.get("dcs").and_then(Value::as_array);
    match zones.and_then(|z| {
        z.iter()
            .position(|n| n.as_str() == zone.map(String::as_str))
    }) {
        Some(n) => drop(set.insert("locality".into(), n.into())),
        None => notes
            .push("not carried over: settings.locality: no zone of that name; see to it".into()),
    }
    let mut new = Map::new();
    for key in OWN.into_iter().chain(["peers"]) {
        if let Some(value) = was.get(key) {
            new.insert(key.into(), value.clone());
        } else if let Some(value) = form.get(key).filter(|_| key == "counter") {
            new.insert(key.into(), value.clone());
            notes.push(format!(
                "from the shape: {key}: the old file has no such key"
            ));
        }
    }
    let same = had == set;
    for (key, value) in was.iter().filter(|(k, _)| *k != "settings") {
        if new.contains_key(key) {
            continue;
        }
        if same {
            new.insert(key.clone(), value.clone());
        } else if key == "known" {
            notes.push("not carried over: known: its backends are the old deployment's".into());
        } else {
            notes.push(format!(
                "not carried over: {key}: the gateway has no such key"
            ));
        }
    }
    lost(
        "settings",
        &Value::Object(had.clone()),
        Some(&Value::Object(set.clone())),
        &mut notes,
    );
    gained(
        "settings",
        &Value::Object(set.clone()),
        Some(&Value::Object(had)),
        &mut notes,
    );
    new.insert("settings".into(), Value::Object(set));
    let text = if new == was {
        old.to_string()
    } else {
        serde_json::to_string_pretty(&new).map_err(|e| e.to_string())? + "\n"
    };
    let after = check("NEW", &text)?;
    notes.extend(after.notes.into_iter().map(|n| format!("mind: {n}")));
    Ok(Migrated { text, notes })
}
