//! Repeats an experiment with increasing values of a parameter and with several builds of the gateway. The parameter is
//! the number of gateways under the same load, to measure the load on backends, counter and discovery and the CPU time;
//! or the load on the same gateways, to measure goodput, latency and the cost of rejected invocations.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::panels::{self, Line, Panel};
use hdrhistogram::Histogram;

use crate::experiment::{self, ExperimentResult};
use crate::run::InvocationResult;

/// The parameter that changes from run to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Axis {
    /// The number of gateways.
    Gateways,
    /// The load, as a factor on the rates of all customers.
    Load,
}

/// Name of a column and its value for a run.
type Column = (&'static str, fn(&RunRow) -> f64);

const COST_COLUMNS: [Column; 8] = [
    ("unanswered", |r| {
        r.result_share(|a| !a.is_complete()) * r.invocations as f64
    }),
    ("connections", |r| {
        r.result.costs.max_open_connections as f64
    }),
    ("handshakes", |r| r.result.costs.opened_connections as f64),
    ("list_calls", |r| r.result.costs.discovery_requests as f64),
    ("counter_calls_per_invocation", |r| {
        r.per_invocation(r.result.costs.counter_calls as f64)
    }),
    ("deliveries_per_invocation", |r| {
        r.per_invocation(r.result.costs.deliveries as f64)
    }),
    ("cpu_us_per_invocation", |r| {
        r.per_invocation(r.result.costs.cpu.as_secs_f64() * 1e6)
    }),
    ("p99_ms", |r| r.latency_ms(0.99)),
];

const OVERLOAD_COLUMNS: [Column; 12] = [
    ("begun_per_s", |r| r.result.generator_stats.begun_per_s),
    ("goodput_per_s", |r| r.goodput),
    ("throttled_share", |r| {
        r.result_share(|a| a == InvocationResult::Throttled)
    }),
    ("errored_share", |r| {
        r.result_share(|a| a == InvocationResult::Errored)
    }),
    ("lost_share", |r| r.result_share(InvocationResult::is_lost)),
    ("not_taken_share", |r| {
        r.result_share(|a| a == InvocationResult::NotSent)
    }),
    ("p50_ms", |r| r.latency_ms(0.5)),
    ("p99_ms", |r| r.latency_ms(0.99)),
    ("p999_ms", |r| r.latency_ms(0.999)),
    ("cpu_us_per_try", |r| {
        r.result.costs.cpu.as_secs_f64() * 1e6 / r.tries
    }),
    ("connections_opened", |r| {
        r.result.generator_stats.opened_connections as f64
    }),
    ("tool_lag_p99_ms", |r| {
        r.result.generator_stats.lag_p99.as_secs_f64() * 1e3
    }),
];

/// Latency objective, as in [`experiment::default_settings`]; an answer with a higher latency does not count as
/// goodput.
const LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);

/// The results of one run: one build with one value of the parameter.
pub struct RunRow {
    build: String,
    /// Value of the parameter.
    axis_value: f64,
    invocations: usize,
    /// Total number of tries, at least 1.
    tries: f64,
    /// Invocations per second that succeeded within the latency objective.
    goodput: f64,
    /// Latencies of the invocations that succeeded, in microseconds.
    latencies: Histogram<u64>,
    result: ExperimentResult,
}

impl RunRow {
    /// Computes the results of a run of the length `duration`.
    ///
    /// # Panics
    /// Panics only where the constant bounds of the histogram are invalid.
    pub fn new(
        build: &str,
        axis_value: f64,
        duration: Duration,
        result: ExperimentResult,
    ) -> RunRow {
        let mut latencies = Histogram::new_with_max(60_000_000, 3).expect("valid histogram bounds");
        let succeeded = || {
            result
                .records
                .iter()
                .filter(|r| r.result == InvocationResult::Succeeded)
        };
        succeeded().for_each(|r| latencies.saturating_record(r.latency.as_micros().max(1) as u64));
        let good = succeeded()
            .filter(|r| r.latency <= LATENCY_OBJECTIVE)
            .count() as f64;
        RunRow {
            build: build.into(),
            axis_value,
            invocations: result.records.len(),
            tries: result
                .records
                .iter()
                .map(|r| f64::from(r.tries))
                .sum::<f64>()
                .max(1.0),
            goodput: good / duration.as_secs_f64().max(1e-9),
            latencies,
            result,
        }
    }

    /// Returns `total` divided by the number of invocations.
    fn per_invocation(&self, total: f64) -> f64 {
        total / self.invocations.max(1) as f64
    }

    /// Returns the fraction of invocations whose result satisfies `matches`.
    fn result_share(&self, matches: impl Fn(InvocationResult) -> bool) -> f64 {
        self.per_invocation(
            self.result
                .records
                .iter()
                .filter(|r| matches(r.result))
                .count() as f64,
        )
    }

    /// Returns the latency quantile `q` of succeeded invocations, in milliseconds.
    fn latency_ms(&self, q: f64) -> f64 {
        self.latencies.value_at_quantile(q) as f64 / 1e3
    }
}

/// Runs every build with every value of the parameter, one run after the other. Writes `table.csv`, `chart.svg` and
/// `summary.md` into the directory `out` and returns the summary.
///
/// # Errors
/// Returns the reason where the experiment or a value is invalid, a process cannot be started, or a file cannot be
/// written.
pub async fn run(
    path: &Path,
    axis: Axis,
    axis_values: &[f64],
    builds: &[(String, PathBuf)],
    out: &Path,
) -> Result<String, String> {
    let mut rows = Vec::new();
    for &axis_value in axis_values {
        for (name, program) in builds {
            let mut loaded = experiment::load(path)?;
            match axis {
                Axis::Gateways
                    if !(1.0..=200.0).contains(&axis_value) || axis_value.fract() != 0.0 =>
                {
                    return Err(format!(
                        "--gateways {axis_value}: must be an integer from 1 to 200"
                    ));
                }
                Axis::Gateways => loaded.0.gateways = axis_value as usize,
                Axis::Load if !axis_value.is_finite() || axis_value <= 0.0 => {
                    return Err(format!(
                        "--factors {axis_value}: must be a finite number greater than 0"
                    ));
                }
                Axis::Load => loaded.1.firms.iter_mut().for_each(|f| f.rate *= axis_value),
            }
            let duration = loaded.1.duration;
            let result = experiment::run_loaded(
                path,
                loaded,
                program,
                &out.join(format!("{name}-{axis_value}")),
            )
            .await?;
            rows.push(RunRow::new(name, axis_value, duration, result));
        }
    }
    write(out, &experiment::load(path)?.0.title, axis, &rows)
}

/// Writes `table.csv`, `chart.svg` and `summary.md` into the directory `out` and returns the summary.
///
/// # Errors
/// Returns the directory and the reason where a file cannot be written.
pub fn write(out: &Path, title: &str, axis: Axis, rows: &[RunRow]) -> Result<String, String> {
    let with_path = |e: &dyn std::fmt::Display| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(|e| with_path(&e))?;
    let (axis_name, columns) = match axis {
        Axis::Gateways => ("gateways", &COST_COLUMNS[..]),
        Axis::Load => ("load", &OVERLOAD_COLUMNS[..]),
    };
    let leading = ["build", axis_name, "invocations"];
    let names: Vec<&str> = leading
        .into_iter()
        .chain(columns.iter().map(|c| c.0))
        .collect();
    let format_value = |v: f64| match v {
        v if v.fract() == 0.0 => format!("{v:.0}"),
        v if v < 10.0 => format!("{v:.3}"),
        v => format!("{v:.1}"),
    };
    let cells = |r: &RunRow| {
        let leading = [
            r.build.clone(),
            r.axis_value.to_string(),
            r.invocations.to_string(),
        ];
        leading
            .into_iter()
            .chain(columns.iter().map(|(_, value)| format_value(value(r))))
            .collect::<Vec<_>>()
    };
    let mut csv = csv::Writer::from_path(out.join("table.csv")).map_err(|e| with_path(&e))?;
    csv.write_record(&names).map_err(|e| with_path(&e))?;
    rows.iter()
        .try_for_each(|r| csv.write_record(cells(r)))
        .map_err(|e| with_path(&e))?;
    csv.flush().map_err(|e| with_path(&e))?;
    draw_chart(&out.join("chart.svg"), title, axis_name, columns, rows)
        .map_err(|e| with_path(&e))?;
    let mut summary = format!(
        "# {title}\n\nSimulated services and gateways on loopback, all on one machine.\n\n"
    );
    writeln!(
        summary,
        "| {} |\n|{}",
        names.join(" | ").replace('_', " "),
        " --- |".repeat(names.len())
    )
    .ok();
    rows.iter()
        .for_each(|r| writeln!(summary, "| {} |", cells(r).join(" | ")).unwrap_or(()));
    for r in rows {
        r.result.generator_stats.warning().iter().for_each(|w| {
            writeln!(summary, "\n{} at {}: {w}", r.build, r.axis_value).unwrap_or(())
        });
    }
    std::fs::write(out.join("summary.md"), &summary).map_err(|e| with_path(&e))?;
    Ok(summary)
}

/// Draws one panel per column, with one line per build.
fn draw_chart(
    path: &Path,
    title: &str,
    axis_name: &str,
    columns: &[Column],
    rows: &[RunRow],
) -> Result<(), Box<dyn std::error::Error>> {
    let mut builds: Vec<&str> = rows.iter().map(|r| r.build.as_str()).collect();
    builds.sort_unstable();
    builds.dedup();
    let panel = |(name, value): &Column| {
        let points = |build: &str| {
            rows.iter()
                .filter(|r| r.build == build)
                .map(|r| (r.axis_value, value(r)))
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
    panels::draw(path, title, axis_name, &panels)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::experiment::Costs;
    use crate::run::{GeneratorStats, Record};

    fn result_with(results: &[(InvocationResult, u64)]) -> ExperimentResult {
        let record = |&(result, ms): &(InvocationResult, u64)| Record {
            correlation_id: "1".into(),
            firm: 0,
            gateway: 0,
            units: 1,
            due_at: Duration::ZERO,
            latency: Duration::from_millis(ms),
            result,
            tries: 1,
        };
        let costs = Costs {
            counter_calls: 6,
            deliveries: 3,
            cpu: Duration::from_micros(900),
            opened_connections: 5,
            max_open_connections: 4,
            discovery_requests: 2,
        };
        let generator_stats = GeneratorStats {
            due_per_s: 10.0,
            begun_per_s: 5.0,
            ..GeneratorStats::default()
        };
        let records = results.iter().map(record).collect();
        ExperimentResult {
            costs,
            generator_stats,
            records,
            summary: String::new(),
            worst_minute_excess: vec![],
            unanswered: 0,
        }
    }

    #[test]
    fn tables_count_incomplete_answers_and_summary_warns_of_generator_bottleneck() {
        let results = [
            (InvocationResult::Succeeded, 20),
            (InvocationResult::Succeeded, 1500),
            (InvocationResult::BrokenBody, 20),
        ];
        let rows = [RunRow::new(
            "a",
            2.0,
            Duration::from_secs(1),
            result_with(&results),
        )];
        let out = std::env::temp_dir().join(format!("damsonbeam-scale-{}", std::process::id()));
        let summary = write(&out, "t", Axis::Gateways, &rows).unwrap();
        let table = std::fs::read_to_string(out.join("table.csv")).unwrap();
        assert!(table.contains("a,2,3,1,4,5,2,2,1,300,"), "{table}");
        assert!(
            summary.contains("a at 2: warning: the load generator was the bottleneck: 5 of 10 first tries per second"),
            "{summary}"
        );
        write(&out, "t", Axis::Load, &rows).unwrap();
        let table = std::fs::read_to_string(out.join("table.csv")).unwrap();
        std::fs::remove_dir_all(&out).ok();
        // One of the two succeeded invocations missed the latency objective.
        assert!(table.contains("a,2,3,5,1,0,0,0.333,0,"), "{table}");
    }
}
