//! One experiment with growing numbers of gateways, builds side by side: what each number costs the backends,
//! the counter, discovery and the gateways' own processors. The load stays as it is, so each gateway sees less.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::time::Duration;

use plotters::prelude::*;

use crate::experiment::{self, Costs};
use crate::run::{Answer, Record};

/// One run: a build with a number of gateways.
pub struct Row {
    pub build: String,
    pub gateways: usize,
    pub invocations: usize,
    pub succeeded: usize,
    /// Cut, never answered or not taken.
    pub unanswered: usize,
    pub p99: Duration,
    pub costs: Costs,
}

/// A cost's name and its figure in a row.
type Cost = (&'static str, fn(&Row) -> f64);

const COSTS: [Cost; 7] = [
    ("connections", |r| r.costs.connections as f64),
    ("handshakes", |r| r.costs.handshakes as f64),
    ("list_calls", |r| r.costs.discovery_calls as f64),
    ("counter_calls_per_invocation", |r| r.per_invocation(r.costs.counter_calls as f64)),
    ("deliveries_per_invocation", |r| r.per_invocation(r.costs.deliveries as f64)),
    ("cpu_us_per_invocation", |r| r.per_invocation(r.costs.cpu.as_secs_f64() * 1e6)),
    ("p99_ms", |r| r.p99.as_secs_f64() * 1e3),
];

impl Row {
    fn new(build: &str, gateways: usize, records: &[Record], costs: Costs) -> Row {
        let is_none = |a| matches!(a, Answer::None | Answer::Cut | Answer::NotTaken);
        let succeeded = || records.iter().filter(|r| r.answer == Answer::Succeeded);
        let mut took: Vec<_> = succeeded().map(|r| r.took).collect();
        took.sort();
        let p99 = took.get((took.len() * 99 / 100).min(took.len().saturating_sub(1)));
        Row {
            build: build.into(),
            gateways,
            invocations: records.len(),
            succeeded: succeeded().count(),
            unanswered: records.iter().filter(|r| is_none(r.answer)).count(),
            p99: p99.copied().unwrap_or_default(),
            costs,
        }
    }

    fn per_invocation(&self, all: f64) -> f64 {
        all / self.invocations.max(1) as f64
    }
}

/// Runs every build with every number of gateways, one after the other; writes `table.csv`, `chart.svg` and
/// `summary.md` into `out`, and returns the summary.
///
/// # Errors
/// What is wrong with the experiment, or what could not be started or written.
pub async fn run(
    path: &Path,
    gateways: &[usize],
    builds: &[(String, PathBuf)],
    out: &Path,
) -> Result<String, String> {
    let mut rows = Vec::new();
    for &n in gateways {
        for (name, program) in builds {
            let mut loaded = experiment::load(path)?;
            if n == 0 || n > 200 {
                return Err(format!("--gateways {n}: 1 to 200"));
            }
            loaded.0.gateways = n;
            let found = experiment::play(path, loaded, program, &out.join(format!("{name}-{n}"))).await?;
            rows.push(Row::new(name, n, &found.records, found.costs));
        }
    }
    write(out, &experiment::load(path)?.0.title, &rows)
}

/// The table, the chart and the summary.
///
/// # Errors
/// What could not be written.
pub fn write(out: &Path, title: &str, rows: &[Row]) -> Result<String, String> {
    let err = |e: &dyn std::fmt::Display| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(|e| err(&e))?;
    let heads = ["build", "gateways", "invocations", "succeeded", "unanswered"];
    let names: Vec<&str> = heads.into_iter().chain(COSTS.map(|c| c.0)).collect();
    let cells = |r: &Row| {
        let counts = [r.gateways, r.invocations, r.succeeded, r.unanswered].map(|n| n.to_string());
        let costs = COSTS.map(|(_, of)| match of(r) {
            whole if whole.fract() == 0.0 => format!("{whole:.0}"),
            v => format!("{v:.2}"),
        });
        [r.build.clone()].into_iter().chain(counts).chain(costs).collect::<Vec<_>>()
    };
    let mut csv = csv::Writer::from_path(out.join("table.csv")).map_err(|e| err(&e))?;
    csv.write_record(&names).map_err(|e| err(&e))?;
    rows.iter().try_for_each(|r| csv.write_record(cells(r))).map_err(|e| err(&e))?;
    csv.flush().map_err(|e| err(&e))?;
    chart(&out.join("chart.svg"), title, rows).map_err(|e| err(&e))?;
    let mut s = format!("# {title}\n\nStand-ins and gateways on loopback, one machine for all parts.\n\n");
    writeln!(s, "| {} |\n|{}", names.join(" | ").replace('_', " "), " --- |".repeat(names.len())).ok();
    rows.iter().for_each(|r| writeln!(s, "| {} |", cells(r).join(" | ")).unwrap_or(()));
    std::fs::write(out.join("summary.md"), &s).map_err(|e| err(&e))?;
    Ok(s)
}

/// A small chart a cost, builds in their colours.
fn chart(path: &Path, title: &str, rows: &[Row]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (1200, 640)).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.titled(title, ("sans-serif", 18))?.split_evenly((2, 4));
    let mut builds: Vec<&str> = rows.iter().map(|r| r.build.as_str()).collect();
    builds.dedup();
    builds.sort_unstable();
    builds.dedup();
    let most = rows.iter().map(|r| r.gateways).max().unwrap_or(1) as f64 * 1.05;
    for (panel, (name, of)) in panels.iter().zip(COSTS) {
        let top = rows.iter().map(of).fold(0.0, f64::max).max(1e-9) * 1.15;
        let mut chart = ChartBuilder::on(panel)
            .caption(name.replace('_', " "), ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0f64..most, 0f64..top)?;
        chart.configure_mesh().x_labels(6).y_labels(6).x_desc("gateways").draw()?;
        for (n, build) in builds.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
            let mine = || rows.iter().filter(|r| r.build == *build).map(|r| (r.gateways as f64, of(r)));
            chart
                .draw_series(LineSeries::new(mine(), colour.stroke_width(2)).point_size(3))?
                .label(*build)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_table_has_a_row_a_run_and_costs_by_the_invocation() {
        let record = |answer| Record {
            inv: "1".into(),
            firm: 0,
            gateway: 0,
            units: 1,
            sent: Duration::ZERO,
            took: Duration::from_millis(20),
            answer,
        };
        let costs = Costs {
            counter_calls: 6,
            deliveries: 3,
            cpu: Duration::from_micros(900),
            handshakes: 5,
            connections: 4,
            discovery_calls: 2,
        };
        let records = [record(Answer::Succeeded), record(Answer::Succeeded), record(Answer::Cut)];
        let rows = [Row::new("a", 2, &records, costs), Row::new("b", 2, &records[..2], costs)];
        let out = std::env::temp_dir().join(format!("damsonbeam-scale-{}", std::process::id()));
        let said = write(&out, "t", &rows).unwrap();
        let table = std::fs::read_to_string(out.join("table.csv")).unwrap();
        std::fs::remove_dir_all(&out).ok();
        assert!(table.contains("a,2,3,2,1,4,5,2,2,1,300,20\n"), "{table}");
        assert!(table.contains("b,2,2,2,0,4,5,2,3,1.50,450,20\n"), "{table}");
        assert!(said.contains("| a | 2 | 3 | 2 | 1 |"), "{said}");
    }
}
