//! What a run shows: a table by second and firm (CSV), a chart (SVG), and a one-page summary with
//! latency quantiles (hdrhistogram) and each firm's worst minute against its quota.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use plotters::prelude::*;

use crate::profile::Profile;
use crate::run::{Answer, Reached, Record};

/// Units admitted beyond the quota in the worst minute, as a part of a minute's quota: the most a firm's
/// succeeded units in any 60 s window (by second of sending) pass `rate * 60 + burst`.
pub fn worst_minute(profile: &Profile, records: &[Record], firm: usize) -> f64 {
    let plan = &profile.plans[profile.firms[firm].plan];
    let seconds = profile.lasting.as_secs() as usize + 1;
    let mut by_second = vec![0.0; seconds];
    for r in records
        .iter()
        .filter(|r| r.firm == firm && r.answer == Answer::Succeeded)
    {
        by_second[(r.sent.as_secs() as usize).min(seconds - 1)] += f64::from(r.units);
    }
    let window = 60.min(seconds);
    let allowed = plan.rate * window as f64 + plan.burst;
    let most = by_second
        .windows(window)
        .map(|w| w.iter().sum::<f64>())
        .fold(0.0, f64::max);
    ((most - allowed) / (plan.rate * window as f64).max(1e-9)).max(0.0)
}

/// Counts of each answer.
pub fn tally(records: &[Record]) -> BTreeMap<&'static str, usize> {
    let mut counts = BTreeMap::new();
    records
        .iter()
        .for_each(|r| *counts.entry(r.answer.name()).or_insert(0) += 1);
    counts
}

/// How far the tool itself got, with a warning where it was the limit.
pub fn reached(r: &Reached) -> String {
    let warning = r.warning().map(|w| format!("\n{w}\n")).unwrap_or_default();
    format!(
        "\nThe tool: {:.0} first tries a second due, {:.0} begun in time (99 in 100 within {:?}, all within {:?}), {} connections opened.\n{warning}",
        r.due, r.begun, r.lag, r.lag_most, r.connections
    )
}

fn quantile(h: &Histogram<u64>, q: f64) -> Duration {
    Duration::from_micros(h.value_at_quantile(q))
}

/// Writes `table.csv`, `chart.svg` and `summary.md` into `folder`; returns the summary.
pub fn write(
    folder: &Path,
    title: &str,
    profile: &Profile,
    records: &[Record],
) -> Result<String, String> {
    let err = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(|e| err(&e))?;
    // The table: second, firm, and the answers of what was sent in that second.
    let mut rows: Rows = BTreeMap::new();
    for r in records {
        let i = Answer::ALL.iter().position(|a| *a == r.answer).unwrap_or(2);
        rows.entry((r.sent.as_secs(), r.firm)).or_default()[i] += 1;
    }
    let mut csv = csv::Writer::from_path(folder.join("table.csv")).map_err(|e| err(&e))?;
    let names = ["second", "firm"]
        .into_iter()
        .chain(Answer::ALL.map(Answer::name));
    csv.write_record(names).map_err(|e| err(&e))?;
    for ((second, firm), c) in &rows {
        let mut row = vec![second.to_string(), profile.firms[*firm].id.to_string()];
        row.extend(c.iter().map(|n| n.to_string()));
        csv.write_record(&row).map_err(|e| err(&e))?;
    }
    csv.flush().map_err(|e| err(&e))?;
    chart(&folder.join("chart.svg"), title, profile, &rows).map_err(|e| err(&e))?;
    let mut latency = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| err(&e))?;
    records
        .iter()
        .filter(|r| r.answer.is_whole())
        .for_each(|r| {
            latency.saturating_record(r.took.as_micros().max(1) as u64);
        });
    let mut s = String::new();
    let counts = tally(records);
    writeln!(s, "# {title}\n").ok();
    writeln!(
        s,
        "{} invocations over {}, seed {}.\n",
        records.len(),
        humantime::format_duration(profile.lasting),
        profile.seed
    )
    .ok();
    writeln!(s, "| answer | invocations |\n| --- | --- |").ok();
    counts
        .iter()
        .for_each(|(k, v)| writeln!(s, "| {k} | {v} |").unwrap_or(()));
    writeln!(
        s,
        "\nLatency of answers: p50 {:?}, p99 {:?}, p99.9 {:?}, most {:?}.\n",
        quantile(&latency, 0.5),
        quantile(&latency, 0.99),
        quantile(&latency, 0.999),
        Duration::from_micros(latency.max())
    )
    .ok();
    writeln!(
        s,
        "| firm | plan | sent | succeeded units | worst minute over quota |\n| --- | --- | --- | --- | --- |"
    )
    .ok();
    for (f, firm) in profile.firms.iter().enumerate() {
        let mine = records.iter().filter(|r| r.firm == f);
        let units: u32 = mine
            .clone()
            .filter(|r| r.answer == Answer::Succeeded)
            .map(|r| r.units)
            .sum();
        let over = worst_minute(profile, records, f);
        writeln!(
            s,
            "| {} | {} | {} | {units} | {:.1}% |",
            firm.id,
            profile.plans[firm.plan].name,
            mine.count(),
            100.0 * over
        )
        .ok();
    }
    std::fs::write(folder.join("summary.md"), &s).map_err(|e| err(&e))?;
    Ok(s)
}

/// Answer times through a run with the steps that came in it: `times.csv` (by second: answers, quantiles in
/// milliseconds, those cut or not taken) and `times.svg`.
pub fn write_times(
    folder: &Path,
    title: &str,
    profile: &Profile,
    records: &[Record],
    steps: &[(Duration, String)],
) -> Result<(), String> {
    let err = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    let seconds = profile.lasting.as_secs() as usize + 1;
    let mut rows = Vec::new();
    for second in 0..seconds {
        let sent = records
            .iter()
            .filter(|r| r.sent.as_secs() as usize == second);
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).map_err(|e| err(&e))?;
        let (mut answered, mut cut) = (0usize, 0usize);
        for r in sent {
            match r.answer {
                a if !a.is_whole() => cut += 1,
                _ => {
                    answered += 1;
                    times.saturating_record(r.took.as_micros().max(1) as u64);
                }
            }
        }
        let ms = |q: f64| times.value_at_quantile(q) as f64 / 1000.0;
        rows.push((second, answered, ms(0.5), ms(0.99), ms(1.0), cut));
    }
    let mut csv = csv::Writer::from_path(folder.join("times.csv")).map_err(|e| err(&e))?;
    csv.write_record([
        "second",
        "answered",
        "p50_ms",
        "p99_ms",
        "most_ms",
        "ended_at_the_door",
    ])
    .map_err(|e| err(&e))?;
    rows.iter()
        .try_for_each(|row| csv.serialize(row))
        .map_err(|e| err(&e))?;
    csv.flush().map_err(|e| err(&e))?;
    times_chart(&folder.join("times.svg"), title, &rows, steps).map_err(|e| err(&e))
}

/// Second, answers, p50, p99 and most in milliseconds, ended at the door.
type Times = (usize, usize, f64, f64, f64, usize);
/// A line of the chart: its name, its colour, and its value in a row.
type Quantile = (&'static str, RGBColor, fn(&Times) -> f64);

fn times_chart(
    path: &Path,
    title: &str,
    rows: &[Times],
    steps: &[(Duration, String)],
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let most = rows.iter().map(|r| r.3).fold(1.0, f64::max) * 1.2;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0f64..rows.len() as f64, 0f64..most)?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("answer time, ms (ended at the door: red)")
        .draw()?;
    for (n, (at, what)) in steps.iter().enumerate() {
        let x = at.as_secs_f64();
        chart.draw_series(LineSeries::new([(x, 0.0), (x, most)], BLACK.mix(0.25)))?;
        let y = most * (0.98 - 0.05 * (n % 4) as f64);
        chart.draw_series([Text::new(what.clone(), (x, y), ("sans-serif", 11))])?;
    }
    // A second with no answer has no answer time.
    let line = |value: fn(&Times) -> f64| {
        rows.iter()
            .filter(|r| r.1 > 0)
            .map(move |r| (r.0 as f64 + 0.5, value(r)))
    };
    let quantiles: [Quantile; 2] = [("p50", BLUE, |r| r.2), ("p99", MAGENTA, |r| r.3)];
    for (name, colour, value) in quantiles {
        chart
            .draw_series(LineSeries::new(line(value), colour.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
    }
    let cut = rows.iter().filter(|r| r.5 > 0);
    chart.draw_series(
        cut.map(|r| Circle::new((r.0 as f64 + 0.5, 0.0), 3 + r.5 as i32, RED.filled())),
    )?;
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}

type Rows = BTreeMap<(u64, usize), [usize; Answer::ALL.len()]>;

fn chart(
    path: &Path,
    title: &str,
    profile: &Profile,
    rows: &Rows,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let seconds = profile.lasting.as_secs();
    let most = rows.values().map(|c| c[0].max(c[1])).max().unwrap_or(1) as f64 * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0u64..seconds, 0f64..most.max(1.0))?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc("invocations sent in that second")
        .draw()?;
    for (f, firm) in profile.firms.iter().enumerate() {
        let colour = Palette99::pick(f).to_rgba();
        let line = |i: usize| {
            (0..seconds)
                .map(move |t| (t, 0.0))
                .map(move |(t, _)| (t, rows.get(&(t, f)).map_or(0, |c| c[i]) as f64))
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
