//! Reports of runs: a table by second and customer (CSV), charts (SVG), and a summary with latency quantiles and the
//! excess over the quota of each customer in its worst minute.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::profile::Profile;
use crate::run::{GeneratorStats, InvocationResult, Record};

/// Returns by how much a customer exceeded its quota in the worst minute, as a fraction of the quota of a minute. The
/// excess is the maximum over all 60 s windows of `(succeeded units - (60 * rate + burst)) / (60 * rate)`, or 0 where
/// this is negative. Units count in the second in which their invocation was due. In runs shorter than 60 s, the window
/// is the whole run.
pub fn worst_minute_excess(profile: &Profile, records: &[Record], firm: usize) -> f64 {
    let plan = &profile.plans[profile.firms[firm].plan];
    let seconds = profile.duration.as_secs() as usize + 1;
    let mut units_by_second = vec![0.0; seconds];
    for r in records
        .iter()
        .filter(|r| r.firm == firm && r.result == InvocationResult::Succeeded)
    {
        units_by_second[(r.due_at.as_secs() as usize).min(seconds - 1)] += f64::from(r.units);
    }
    let window = 60.min(seconds);
    let allowed = plan.rate * window as f64 + plan.burst;
    let max_units = units_by_second
        .windows(window)
        .map(|w| w.iter().sum::<f64>())
        .fold(0.0, f64::max);
    ((max_units - allowed) / (plan.rate * window as f64).max(1e-9)).max(0.0)
}

/// Returns the number of invocations by answer.
pub fn count_results(records: &[Record]) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    records
        .iter()
        .for_each(|r| *counts.entry(r.result.name()).or_insert(0) += 1);
    counts
}

/// Returns a summary of the load generator, with a warning where the generator was the bottleneck.
pub fn generator_summary(stats: &GeneratorStats) -> String {
    let warning = stats
        .warning()
        .map(|w| format!("\n{w}\n"))
        .unwrap_or_default();
    format!(
        "\nLoad generator: {:.0} first tries per second due, {:.0} begun in time (99% within {:?}, all within {:?}), {} connections opened.\n{warning}",
        stats.due_per_s, stats.begun_per_s, stats.lag_p99, stats.lag_max, stats.opened_connections
    )
}

fn quantile(histogram: &Histogram<u64>, q: f64) -> Duration {
    Duration::from_micros(histogram.value_at_quantile(q))
}

/// Writes `table.csv`, `chart.svg` and `summary.md` into the directory `folder`; returns the summary.
///
/// # Errors
/// Returns the directory and the reason where a file cannot be written.
pub fn write(
    folder: &Path,
    title: &str,
    profile: &Profile,
    records: &[Record],
) -> Result<String, String> {
    let with_path = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(|e| with_path(&e))?;
    // One row per second and customer, with the number of each answer to invocations due in that second.
    let mut rows: ResultCounts = BTreeMap::new();
    for r in records {
        let i = InvocationResult::ALL
            .iter()
            .position(|a| *a == r.result)
            .unwrap_or(2);
        rows.entry((r.due_at.as_secs(), r.firm)).or_default()[i] += 1;
    }
    let mut csv = csv::Writer::from_path(folder.join("table.csv")).map_err(|e| with_path(&e))?;
    let names = ["second", "firm"]
        .into_iter()
        .chain(InvocationResult::ALL.map(InvocationResult::name));
    csv.write_record(names).map_err(|e| with_path(&e))?;
    for ((second, firm), c) in &rows {
        let mut row = vec![second.to_string(), profile.firms[*firm].id.to_string()];
        row.extend(c.iter().map(|n| n.to_string()));
        csv.write_record(&row).map_err(|e| with_path(&e))?;
    }
    csv.flush().map_err(|e| with_path(&e))?;
    draw_answer_chart(&folder.join("chart.svg"), title, profile, &rows)
        .map_err(|e| with_path(&e))?;
    let mut latency =
        Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| with_path(&e))?;
    records
        .iter()
        .filter(|r| r.result.is_complete())
        .for_each(|r| {
            latency.saturating_record(r.latency.as_micros().max(1) as u64);
        });
    let mut summary = String::new();
    let counts = count_results(records);
    writeln!(summary, "# {title}\n").ok();
    writeln!(
        summary,
        "{} invocations over {}, seed {}.\n",
        records.len(),
        humantime::format_duration(profile.duration),
        profile.seed
    )
    .ok();
    writeln!(summary, "| answer | invocations |\n| --- | --- |").ok();
    counts
        .iter()
        .for_each(|(k, v)| writeln!(summary, "| {k} | {v} |").unwrap_or(()));
    writeln!(
        summary,
        "\nLatency of answers: p50 {:?}, p99 {:?}, p99.9 {:?}, most {:?}.\n",
        quantile(&latency, 0.5),
        quantile(&latency, 0.99),
        quantile(&latency, 0.999),
        Duration::from_micros(latency.max())
    )
    .ok();
    writeln!(
        summary,
        "| firm | plan | sent | succeeded units | worst minute over quota |\n| --- | --- | --- | --- | --- |"
    )
    .ok();
    for (firm_index, firm) in profile.firms.iter().enumerate() {
        let firm_records = records.iter().filter(|r| r.firm == firm_index);
        let units: u32 = firm_records
            .clone()
            .filter(|r| r.result == InvocationResult::Succeeded)
            .map(|r| r.units)
            .sum();
        let excess = worst_minute_excess(profile, records, firm_index);
        writeln!(
            summary,
            "| {} | {} | {} | {units} | {:.1}% |",
            firm.id,
            profile.plans[firm.plan].name,
            firm_records.count(),
            100.0 * excess
        )
        .ok();
    }
    std::fs::write(folder.join("summary.md"), &summary).map_err(|e| with_path(&e))?;
    Ok(summary)
}

/// Writes `times.csv` and `times.svg`: for each second, the number of complete answers, the latency quantiles in
/// milliseconds, and the number of invocations without a complete answer. The chart also shows the fault steps.
///
/// # Errors
/// Returns the directory and the reason where a file cannot be written.
pub fn write_times(
    folder: &Path,
    title: &str,
    profile: &Profile,
    records: &[Record],
    steps: &[(Duration, String)],
) -> Result<(), String> {
    let with_path = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    let seconds = profile.duration.as_secs() as usize + 1;
    let mut rows = Vec::new();
    for second in 0..seconds {
        let sent = records
            .iter()
            .filter(|r| r.due_at.as_secs() as usize == second);
        let mut times =
            Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| with_path(&e))?;
        let (mut answered, mut incomplete) = (0usize, 0usize);
        for r in sent {
            match r.result {
                a if !a.is_complete() => incomplete += 1,
                _ => {
                    answered += 1;
                    times.saturating_record(r.latency.as_micros().max(1) as u64);
                }
            }
        }
        let ms = |q: f64| times.value_at_quantile(q) as f64 / 1000.0;
        rows.push((second, answered, ms(0.5), ms(0.99), ms(1.0), incomplete));
    }
    let mut csv = csv::Writer::from_path(folder.join("times.csv")).map_err(|e| with_path(&e))?;
    csv.write_record([
        "second",
        "answered",
        "p50_ms",
        "p99_ms",
        "most_ms",
        "ended_at_the_door",
    ])
    .map_err(|e| with_path(&e))?;
    rows.iter()
        .try_for_each(|row| csv.serialize(row))
        .map_err(|e| with_path(&e))?;
    csv.flush().map_err(|e| with_path(&e))?;
    draw_latency_chart(&folder.join("times.svg"), title, &rows, steps).map_err(|e| with_path(&e))
}

/// Second, complete answers, p50, p99 and maximum latency in milliseconds, invocations without a complete answer.
type LatencyRow = (usize, usize, f64, f64, f64, usize);
/// Name, colour and value of a line in the latency chart.
type QuantileLine = (&'static str, RGBColor, fn(&LatencyRow) -> f64);

fn draw_latency_chart(
    path: &Path,
    title: &str,
    rows: &[LatencyRow],
    steps: &[(Duration, String)],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let y_max = rows.iter().map(|r| r.3).fold(1.0, f64::max) * 1.2;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0f64..rows.len() as f64, 0f64..y_max)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("latency, ms (no complete answer: red)")
        .draw()?;
    for (index, (at, name)) in steps.iter().enumerate() {
        let x = at.as_secs_f64();
        chart.draw_series(LineSeries::new([(x, 0.0), (x, y_max)], BLACK.mix(0.25)))?;
        let y = y_max * (0.98 - 0.05 * (index % 4) as f64);
        chart.draw_series([Text::new(name.clone(), (x, y), ("sans-serif", 11))])?;
    }
    // Seconds without a complete answer have no latency and are left out.
    let line = |value: fn(&LatencyRow) -> f64| {
        rows.iter()
            .filter(|r| r.1 > 0)
            .map(move |r| (r.0 as f64 + 0.5, value(r)))
    };
    let quantiles: [QuantileLine; 2] = [("p50", BLUE, |r| r.2), ("p99", MAGENTA, |r| r.3)];
    for (name, colour, value) in quantiles {
        chart
            .draw_series(LineSeries::new(line(value), colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    let incomplete = rows.iter().filter(|r| r.5 > 0);
    chart.draw_series(
        incomplete.map(|r| Circle::new((r.0 as f64 + 0.5, 0.0), 3 + r.5 as i32, RED.filled())),
    )?;
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Number of invocations by second and customer, for each value of [`InvocationResult::ALL`].
type ResultCounts = BTreeMap<(u64, usize), [usize; InvocationResult::ALL.len()]>;

fn draw_answer_chart(
    path: &Path,
    title: &str,
    profile: &Profile,
    rows: &ResultCounts,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = profile.duration.as_secs();
    let y_max = rows.values().map(|c| c[0].max(c[1])).max().unwrap_or(1) as f64 * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0u64..seconds, 0f64..y_max.max(1.0))?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("invocations sent in that second")
        .draw()?;
    for (firm_index, firm) in profile.firms.iter().enumerate() {
        let colour = Palette99::pick(firm_index).to_rgba();
        let line = |i: usize| {
            (0..seconds)
                .map(move |t| (t, 0.0))
                .map(move |(t, _)| (t, rows.get(&(t, firm_index)).map_or(0, |c| c[i]) as f64))
        };
        chart
            .draw_series(LineSeries::new(line(0), colour.stroke_width(2)))?
            .label(format!("{} succeeded", firm.id));
        chart
            .draw_series(LineSeries::new(line(1), colour.mix(0.4)))?
            .label(format!("{} throttled", firm.id));
        let quota = profile.plans[firm.plan].rate / f64::from(firm.units.max(1));
        chart.draw_series(LineSeries::new(
            [(0, quota), (seconds, quota)],
            colour.mix(0.8).stroke_width(1),
        ))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
