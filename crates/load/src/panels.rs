//! SVG charts with several panels on the same x axis: one panel per metric, one line per build or role.

use std::path::Path;

use plotters::prelude::*;

const PANELS_PER_ROW: usize = 4;
const PANEL_HEIGHT: u32 = 340;
const WIDTH: u32 = 1280;

/// A line in a panel.
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Points as `(x, y)`.
    pub points: Vec<(f64, f64)>,
}

/// A chart of one metric.
pub struct Panel {
    /// Caption.
    pub name: String,
    /// Lines in the order of the legend.
    pub lines: Vec<Line>,
}

impl Panel {
    fn points(&self) -> impl Iterator<Item = &(f64, f64)> {
        self.lines.iter().flat_map(|l| &l.points)
    }
}

/// Draws the panels into the SVG file `path`; `x_label` is the label of the x axis.
///
/// # Errors
/// Returns the error where the file cannot be written.
pub fn draw(
    path: &Path,
    title: &str,
    x_label: &str,
    panels: &[Panel],
) -> Result<(), Box<dyn std::error::Error>> {
    let rows = panels.len().div_ceil(PANELS_PER_ROW);
    let root = SVGBackend::new(path, (WIDTH, PANEL_HEIGHT * rows as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root
        .titled(title, ("sans-serif", 18))?
        .split_evenly((rows, PANELS_PER_ROW));
    let x_max = panels
        .iter()
        .flat_map(Panel::points)
        .map(|p| p.0)
        .fold(0.0, f64::max)
        * 1.05;
    for (area, panel) in areas.iter().zip(panels) {
        let y_max = panel.points().map(|p| p.1).fold(0.0, f64::max).max(1e-3) * 1.15;
        let mut chart = ChartBuilder::on(area)
            .caption(&panel.name, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(52)
            .build_cartesian_2d(0f64..x_max, 0f64..y_max)?;
        chart
            .configure_mesh()
            .x_labels(6)
            .y_labels(6)
            .x_desc(x_label)
            .draw()?;
        for (index, line) in panel.lines.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            chart
                .draw_series(
                    LineSeries::new(line.points.iter().copied(), colour.stroke_width(2))
                        .point_size(3),
                )?
                .label(&line.name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2))
                });
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
    }
    root.present()?;
    Ok(())
}
