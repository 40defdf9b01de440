//! What runs leave: `runs.csv` (a row a run), `kinds.csv` (a row a run, kind and direction), `chart.svg` and
//! `summary.json`.

use std::path::Path;

use damsonbeam_load::panels::{self, Line, Panel};
use serde::Serialize;

use crate::Error;
use crate::run::{Found, Plan};

/// One run of a series, or why there is none.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The axis of the series.
    pub axis: String,
    /// The value on it.
    pub at: f64,
    /// What the run was made of.
    pub plan: Plan,
    /// What it showed.
    pub found: Option<Found>,
    /// Why it showed nothing.
    pub error: Option<String>,
}

#[derive(Serialize)]
struct KindLine<'a> {
    axis: &'a str,
    at: f64,
    kind: &'a str,
    direction: &'a str,
    messages_s: f64,
    bytes_s: f64,
    bytes_each: f64,
}

/// Numbers as pages need them.
fn rounded(number: f64) -> f64 {
    if number.abs() >= 100.0 {
        number.round()
    } else {
        (number * 10_000.0).round() / 10_000.0
    }
}

/// Writes all files of a series.
///
/// # Errors
/// Where a file can't be written.
pub fn write(folder: &Path, outcomes: &[Outcome]) -> Result<(), Error> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(
        folder.join("summary.json"),
        serde_json::to_string_pretty(outcomes)?,
    )?;
    write_runs(folder, outcomes)?;
    let mut kinds = csv::Writer::from_path(folder.join("kinds.csv"))?;
    for outcome in outcomes {
        for kind in outcome.found.iter().flat_map(|f| &f.kinds) {
            kinds.serialize(KindLine {
                axis: &outcome.axis,
                at: outcome.at,
                kind: kind.kind,
                direction: kind.direction,
                messages_s: rounded(kind.messages_s),
                bytes_s: rounded(kind.bytes_s),
                bytes_each: rounded(kind.bytes_each),
            })?;
        }
    }
    kinds.flush()?;
    draw(&folder.join("chart.svg"), outcomes)
}

/// A line of a panel: its role, and its figure.
type Figure = (&'static str, fn(&Found) -> f64);

const PANELS: [(&str, &[Figure]); 4] = [
    (
        "processor, parts of a core",
        &[
            ("coordinator", |f| f.coordinator_core),
            ("other registry", |f| f.registry_core),
            ("busiest store", |f| f.store_core_most),
        ],
    ),
    (
        "memory, MB",
        &[
            ("coordinator", |f| f.coordinator_mb),
            ("other registry", |f| f.registry_mb),
            ("store", |f| f.store_mb),
            ("proxy", |f| f.proxy_kb / 1024.0),
        ],
    ),
    (
        "a proxy's bytes, kB/s",
        &[
            ("in", |f| f.proxy_in_s / 1000.0),
            ("out", |f| f.proxy_out_s / 1000.0),
        ],
    ),
    (
        "proxy: processor, part of a core",
        &[("proxy (counting of bytes included)", |f| f.proxy_core)],
    ),
];

fn draw(path: &Path, outcomes: &[Outcome]) -> Result<(), Error> {
    let Some(first) = outcomes.first() else {
        return Ok(());
    };
    let line = |(name, of): &Figure| {
        let points = outcomes
            .iter()
            .filter_map(|o| Some((o.at, of(o.found.as_ref()?))));
        Line {
            name: name.to_string(),
            points: points.collect(),
        }
    };
    let panels = PANELS.iter().map(|(name, figures)| Panel {
        name: name.to_string(),
        lines: figures.iter().map(line).collect(),
    });
    let panels: Vec<Panel> = panels.collect();
    let title = format!("The control side along {}", first.axis);
    panels::draw(path, &title, &first.axis, &panels).map_err(|e| e.to_string().into())
}

/// Columns are the fields of the plan and of what was found, in their order.
fn write_runs(folder: &Path, outcomes: &[Outcome]) -> Result<(), Error> {
    let mut runs = csv::Writer::from_path(folder.join("runs.csv"))?;
    let mut headed = false;
    for outcome in outcomes {
        let Some(found) = &outcome.found else {
            continue;
        };
        let fields = [fields(&outcome.plan)?, fields(found)?].concat();
        if !headed {
            headed = true;
            let names = ["axis", "at"].into_iter().map(String::from);
            runs.write_record(names.chain(fields.iter().map(|f| f.0.clone())))?;
        }
        let heads = [outcome.axis.clone(), outcome.at.to_string()];
        runs.write_record(heads.into_iter().chain(fields.into_iter().map(|f| f.1)))?;
    }
    runs.flush()?;
    Ok(())
}

fn fields<T: Serialize>(of: &T) -> Result<Vec<(String, String)>, Error> {
    let value = serde_json::to_value(of)?;
    let object = value.as_object().ok_or("not an object")?;
    let text = |v: &serde_json::Value| v.as_f64().map_or(v.to_string(), |n| rounded(n).to_string());
    Ok(object
        .iter()
        .map(|(name, v)| (name.clone(), text(v)))
        .collect())
}
