//! One experiment along an axis, builds side by side: growing numbers of gateways under the same load (what each
//! number costs the backends, the counter, discovery and the gateways' own processors), or a growing load on the
//! same gateways (what still succeeds, how fast, and what a turned-away invocation costs).

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::panels::{self, Line, Panel};
use hdrhistogram::Histogram;

use crate::experiment::{self, Found};
use crate::run::Answer;

/// What grows from run to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Axis {
    /// The number of gateways.
    Gateways,
    /// The load, as a factor on all firms' rates.
    Load,
}

/// A column's name and its figure for a run.
type Column = (&'static str, fn(&Row) -> f64);

const COSTS: [Column; 8] = [
    ("unanswered", |r| {
        r.share(|a| !a.is_whole()) * r.invocations as f64
    }),
    ("connections", |r| r.found.costs.connections as f64),
    ("handshakes", |r| r.found.costs.handshakes as f64),
    ("list_calls", |r| r.found.costs.discovery_calls as f64),
    ("counter_calls_per_invocation", |r| {
        r.each(r.found.costs.counter_calls as f64)
    }),
    ("deliveries_per_invocation", |r| {
        r.each(r.found.costs.deliveries as f64)
    }),
    ("cpu_us_per_invocation", |r| {
        r.each(r.found.costs.cpu.as_secs_f64() * 1e6)
    }),
    ("p99_ms", |r| r.took(0.99)),
];

const GOODPUT: [Column; 12] = [
    ("begun_per_s", |r| r.found.reached.begun),
    ("goodput_per_s", |r| r.goodput),
    ("throttled_share", |r| r.share(|a| a == Answer::Throttled)),
    ("errored_share", |r| r.share(|a| a == Answer::Errored)),
    ("lost_share", |r| r.share(Answer::is_lost)),
    ("not_taken_share", |r| r.share(|a| a == Answer::NotTaken)),
    ("p50_ms", |r| r.took(0.5)),
    ("p99_ms", |r| r.took(0.99)),
    ("p999_ms", |r| r.took(0.999)),
    ("cpu_us_per_try", |r| {
        r.found.costs.cpu.as_secs_f64() * 1e6 / r.tries
    }),
    ("connections_opened", |r| r.found.reached.connections as f64),
    ("tool_lag_p99_ms", |r| {
        r.found.reached.lag.as_secs_f64() * 1e3
    }),
];

/// An answer that comes later than this earns nothing: the lab's objective.
const OBJECTIVE: Duration = Duration::from_secs(1);

/// One run: a build at one place of the axis.
pub struct Row {
    build: String,
    at: f64,
    invocations: usize,
    tries: f64,
    /// Succeeded within the objective, a second.
    goodput: f64,
    /// Of those that succeeded.
    times: Histogram<u64>,
    found: Found,
}

impl Row {
    pub fn new(build: &str, at: f64, lasting: Duration, found: Found) -> Row {
        let mut times = Histogram::new_with_max(60_000_000, 3).expect("sound bounds");
        let succeeded = || {
            found
                .records
                .iter()
                .filter(|r| r.answer == Answer::Succeeded)
        };
        succeeded().for_each(|r| times.saturating_record(r.took.as_micros().max(1) as u64));
        let good = succeeded().filter(|r| r.took <= OBJECTIVE).count() as f64;
        Row {
            build: build.into(),
            at,
            invocations: found.records.len(),
            tries: found
                .records
                .iter()
                .map(|r| f64::from(r.tries))
                .sum::<f64>()
                .max(1.0),
            goodput: good / lasting.as_secs_f64().max(1e-9),
            times,
            found,
        }
    }

    fn each(&self, all: f64) -> f64 {
        all / self.invocations.max(1) as f64
    }

    fn share(&self, of: impl Fn(Answer) -> bool) -> f64 {
        self.each(self.found.records.iter().filter(|r| of(r.answer)).count() as f64)
    }

    fn took(&self, q: f64) -> f64 {
        self.times.value_at_quantile(q) as f64 / 1e3
    }
}

/// Runs every build at every place of the axis, one after the other; writes `table.csv`, `chart.svg` and
/// `summary.md` into `out`, and returns the summary.
///
/// # Errors
/// What is wrong with the experiment, or what could not be started or written.
pub async fn run(
    path: &Path,
    axis: Axis,
    places: &[f64],
    builds: &[(String, PathBuf)],
    out: &Path,
) -> Result<String, String> {
    let mut rows = Vec::new();
    for &at in places {
        for (name, program) in builds {
            let mut loaded = experiment::load(path)?;
            match axis {
                Axis::Gateways if !(1.0..=200.0).contains(&at) || at.fract() != 0.0 => {
                    return Err(format!("--gateways {at}: 1 to 200"));
                }
                Axis::Gateways => loaded.0.gateways = at as usize,
                Axis::Load if !at.is_finite() || at <= 0.0 => {
                    return Err(format!("--factors {at}: over 0"));
                }
                Axis::Load => loaded.1.firms.iter_mut().for_each(|f| f.rate *= at),
            }
            let lasting = loaded.1.lasting;
            let found =
                experiment::play(path, loaded, program, &out.join(format!("{name}-{at}"))).await?;
            rows.push(Row::new(name, at, lasting, found));
        }
    }
    write(out, &experiment::load(path)?.0.title, axis, &rows)
}

/// The table, the chart and the summary.
///
/// # Errors
/// What could not be written.
pub fn write(out: &Path, title: &str, axis: Axis, rows: &[Row]) -> Result<String, String> {
    let err = |e: &dyn std::fmt::Display| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(|e| err(&e))?;
    let (along, columns) = match axis {
        Axis::Gateways => ("gateways", &COSTS[..]),
        Axis::Load => ("load", &GOODPUT[..]),
    };
    let heads = ["build", along, "invocations"];
    let names: Vec<&str> = heads
        .into_iter()
        .chain(columns.iter().map(|c| c.0))
        .collect();
    let figure = |v: f64| match v {
        whole if whole.fract() == 0.0 => format!("{whole:.0}"),
        small if small < 10.0 => format!("{small:.3}"),
        v => format!("{v:.1}"),
    };
    let cells = |r: &Row| {
        let heads = [r.build.clone(), r.at.to_string(), r.invocations.to_string()];
        heads
            .into_iter()
            .chain(columns.iter().map(|(_, of)| figure(of(r))))
            .collect::<Vec<_>>()
    };
    let mut csv = csv::Writer::from_path(out.join("table.csv")).map_err(|e| err(&e))?;
    csv.write_record(&names).map_err(|e| err(&e))?;
    rows.iter()
        .try_for_each(|r| csv.write_record(cells(r)))
        .map_err(|e| err(&e))?;
    csv.flush().map_err(|e| err(&e))?;
    chart(&out.join("chart.svg"), title, along, columns, rows).map_err(|e| err(&e))?;
    let mut s =
        format!("# {title}\n\nStand-ins and gateways on loopback, one machine for all parts.\n\n");
    writeln!(
        s,
        "| {} |\n|{}",
        names.join(" | ").replace('_', " "),
        " --- |".repeat(names.len())
    )
    .ok();
    rows.iter()
        .for_each(|r| writeln!(s, "| {} |", cells(r).join(" | ")).unwrap_or(()));
    for r in rows {
        r.found
            .reached
            .warning()
            .iter()
            .for_each(|w| writeln!(s, "\n{} at {}: {w}", r.build, r.at).unwrap_or(()));
    }
    std::fs::write(out.join("summary.md"), &s).map_err(|e| err(&e))?;
    Ok(s)
}

/// A small chart a column, builds in their colours.
fn chart(
    path: &Path,
    title: &str,
    along: &str,
    columns: &[Column],
    rows: &[Row],
) -> Result<(), Box<dyn std::error::Error>> {
    let mut builds: Vec<&str> = rows.iter().map(|r| r.build.as_str()).collect();
    builds.sort_unstable();
    builds.dedup();
    let panel = |(name, of): &Column| {
        let points = |build: &str| {
            rows.iter()
                .filter(|r| r.build == build)
                .map(|r| (r.at, of(r)))
                .collect()
        };
        let lines = builds.iter().map(|b| Line {
            name: b.to_string(),
            points: points(b),
        });
        Panel {
            name: name.replace('_', " "),
            lines: lines.collect(),
        }
    };
    let panels: Vec<Panel> = columns.iter().map(panel).collect();
    panels::draw(path, title, along, &panels)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::Costs;
    use crate::run::{Reached, Record};

    fn found(answers: &[(Answer, u64)]) -> Found {
        let record = |&(answer, ms): &(Answer, u64)| Record {
            inv: "1".into(),
            firm: 0,
            gateway: 0,
            units: 1,
            sent: Duration::ZERO,
            took: Duration::from_millis(ms),
            answer,
            tries: 1,
        };
        let costs = Costs {
            counter_calls: 6,
            deliveries: 3,
            cpu: Duration::from_micros(900),
            handshakes: 5,
            connections: 4,
            discovery_calls: 2,
        };
        let reached = Reached {
            due: 10.0,
            begun: 5.0,
            ..Reached::default()
        };
        let records = answers.iter().map(record).collect();
        Found {
            costs,
            reached,
            records,
            summary: String::new(),
            worst: vec![],
            unanswered: 0,
        }
    }

    #[test]
    fn the_tables_have_a_row_a_run_broken_answers_apart_and_a_warning_where_the_tool_was_the_limit()
    {
        let answers = [
            (Answer::Succeeded, 20),
            (Answer::Succeeded, 1500),
            (Answer::BrokenBody, 20),
        ];
        let rows = [Row::new("a", 2.0, Duration::from_secs(1), found(&answers))];
        let out = std::env::temp_dir().join(format!("damsonbeam-scale-{}", std::process::id()));
        let said = write(&out, "t", Axis::Gateways, &rows).unwrap();
        let table = std::fs::read_to_string(out.join("table.csv")).unwrap();
        assert!(table.contains("a,2,3,1,4,5,2,2,1,300,"), "{table}");
        assert!(
            said.contains("a at 2: warning: the tool was the limit: 5 of 10 a second"),
            "{said}"
        );
        write(&out, "t", Axis::Load, &rows).unwrap();
        let table = std::fs::read_to_string(out.join("table.csv")).unwrap();
        std::fs::remove_dir_all(&out).ok();
        // Of the two that succeeded one came after its objective.
        assert!(table.contains("a,2,3,5,1,0,0,0.333,0,"), "{table}");
    }
}
