//! The drawing: a panel for each role and measure, machines across, the busiest machine's value upwards,
//! both on logarithmic scales, so that a straight line's slope is the power of the growth.
use crate::sweep::{Measure, Sweep};
use plotters::prelude::*;
use snafu::Snafu;
use std::path::Path;

const PANEL: (u32, u32) = (300, 220);
const COLOURS: [RGBColor; 3] =
    [RGBColor(150, 150, 150), RGBColor(20, 90, 170), RGBColor(180, 60, 40)];
/// Values below are drawn at this height: a logarithmic scale has no zero.
const LEAST: f64 = 0.1;

/// Where a value stands beside its point, in pixels.
const LABEL_ABOVE: (i32, i32) = (-6, -14);
const LABEL_BELOW: (i32, i32) = (-6, 6);

/// Why nothing was drawn.
#[derive(Debug, Snafu)]
pub enum ChartError {
    /// The sweeps share no measure of the wanted ones.
    #[snafu(display("the sweeps share none of the wanted measures"))]
    NothingShared,
    /// The file couldn't be drawn.
    #[snafu(display("the drawing failed: {reason}"))]
    Failed {
        /// What the library said.
        reason: String,
    },
}

fn failed(e: impl std::fmt::Display) -> ChartError {
    ChartError::Failed { reason: e.to_string() }
}

/// Draws the measures named by `wanted` (parts of their names) of all sweeps, the first in grey.
pub fn draw_growth(sweeps: &[Sweep], wanted: &[&str], out: &Path) -> Result<(), ChartError> {
    let rows = shared_measures(sweeps, wanted);
    if rows.is_empty() {
        return Err(ChartError::NothingShared);
    }
    let columns = wanted.len().min(rows.len()) as u32;
    let lines = (rows.len() as u32).div_ceil(columns);
    let size = (PANEL.0 * columns, PANEL.1 * lines);
    let root = SVGBackend::new(out, size).into_drawing_area();
    root.fill(&WHITE).map_err(failed)?;
    let panels = root.split_evenly((lines as usize, columns as usize));
    for (panel, row) in panels.iter().zip(&rows) {
        draw_panel(panel, sweeps, row)?;
    }
    root.present().map_err(failed)
}

/// The rows of the first sweep that all others have, in its order.
fn shared_measures<'a>(sweeps: &'a [Sweep], wanted: &[&str]) -> Vec<&'a Measure> {
    let Some(first) = sweeps.first() else { return Vec::new() };
    let is_wanted = |m: &&Measure| wanted.iter().any(|w| m.what.contains(w));
    let is_shared = |m: &&Measure| sweeps.iter().all(|s| same_measure(s, m).is_some());
    first.measures.iter().filter(is_wanted).filter(is_shared).collect()
}

fn same_measure<'a>(sweep: &'a Sweep, row: &Measure) -> Option<&'a Measure> {
    sweep.measures.iter().find(|m| m.role == row.role && m.what == row.what)
}

type Panel<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw_panel(panel: &Panel<'_>, sweeps: &[Sweep], row: &Measure) -> Result<(), ChartError> {
    let series: Vec<(&Sweep, &Measure)> =
        sweeps.iter().filter_map(|s| same_measure(s, row).map(|m| (s, m))).collect();
    let values = || series.iter().flat_map(|(_, m)| &m.busiest).map(|v| v.max(LEAST));
    let machines = || series.iter().flat_map(|(s, _)| &s.machines).copied();
    let (low, high) = (values().fold(f64::MAX, f64::min), values().fold(LEAST, f64::max));
    let (few, many) = (machines().fold(f64::MAX, f64::min), machines().fold(1.0, f64::max));
    let mut chart = ChartBuilder::on(panel)
        .caption(format!("{}: {}", row.role, row.what), ("sans-serif", 12))
        .margin(6)
        .x_label_area_size(34)
        .y_label_area_size(44)
        .build_cartesian_2d(
            (few * 0.8..many * 1.25).log_scale(),
            (low * 0.6..high * 1.6).log_scale(),
        )
        .map_err(failed)?;
    chart
        .configure_mesh()
        .x_labels(4)
        .y_labels(4)
        .light_line_style(TRANSPARENT)
        .draw()
        .map_err(failed)?;
    for (i, (sweep, measure)) in series.iter().enumerate() {
        let colour = COLOURS[i % COLOURS.len()];
        let heights = measure.busiest.iter().map(|v| v.max(LEAST));
        let points: Vec<(f64, f64)> = sweep.machines.iter().copied().zip(heights).collect();
        let line = LineSeries::new(points.clone(), colour.stroke_width(2));
        chart.draw_series(line).map_err(failed)?;
        // The sweep that is compared with has its values above its points, the others below.
        let label_at = if i == 0 { LABEL_ABOVE } else { LABEL_BELOW };
        let dots = points.into_iter().map(|at| {
            let value = Text::new(
                format!("{}", at.1),
                label_at,
                ("sans-serif", 9).into_font().color(&colour),
            );
            EmptyElement::at(at) + Circle::new((0, 0), 3, colour.filled()) + value
        });
        chart.draw_series(dots).map_err(failed)?;
    }
    Ok(())
}
