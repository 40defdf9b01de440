//! Charts of several figures along one axis: a small panel a figure, a line a build or role (SVG).

use std::path::Path;

use plotters::prelude::*;

/// Panels side by side.
const ACROSS: usize = 4;
const PANEL_HEIGHT: u32 = 340;
const WIDTH: u32 = 1280;

pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

pub struct Panel {
    pub name: String,
    pub lines: Vec<Line>,
}

impl Panel {
    fn points(&self) -> impl Iterator<Item = &(f64, f64)> {
        self.lines.iter().flat_map(|l| &l.points)
    }
}

/// # Errors
/// Where the file can't be written.
pub fn draw(
    path: &Path,
    title: &str,
    along: &str,
    panels: &[Panel],
) -> Result<(), Box<dyn std::error::Error>> {
    let rows = panels.len().div_ceil(ACROSS);
    let root = SVGBackend::new(path, (WIDTH, PANEL_HEIGHT * rows as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root
        .titled(title, ("sans-serif", 18))?
        .split_evenly((rows, ACROSS));
    let most = panels
        .iter()
        .flat_map(Panel::points)
        .map(|p| p.0)
        .fold(0.0, f64::max)
        * 1.05;
    for (area, panel) in areas.iter().zip(panels) {
        let top = panel.points().map(|p| p.1).fold(0.0, f64::max).max(1e-3) * 1.15;
        let mut chart = ChartBuilder::on(area)
            .caption(&panel.name, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(52)
            .build_cartesian_2d(0f64..most, 0f64..top)?;
        chart
            .configure_mesh()
            .x_labels(6)
            .y_labels(6)
            .x_desc(along)
            .draw()?;
        for (n, line) in panel.lines.iter().enumerate() {
            let colour = Palette99::pick(n).to_rgba();
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
