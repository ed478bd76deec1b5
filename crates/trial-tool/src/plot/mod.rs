//! The looks of a trial as a picture: the difference with its bounds over the conversations.
use crate::prelude::*;
use plotters::prelude::*;

const SIZE: (u32, u32) = (900, 480);

/// An SVG text. Without looks it holds the axes alone.
pub fn draw_plot(spec: &TrialSpec, e: &Evidence) -> NodeResult<String> {
    let mut out = String::new();
    draw(&mut out, spec, e).map_err(|reason| NodeError::Other { reason })?;
    Ok(out)
}

fn draw(out: &mut String, spec: &TrialSpec, e: &Evidence) -> Result<(), String> {
    let said = |e: &dyn std::fmt::Display| e.to_string();
    let root = SVGBackend::with_string(out, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|e| said(&e))?;
    let most = e.points.iter().map(|p| p.conversations).max().unwrap_or(spec.horizon).max(1);
    let far =
        e.points.iter().flat_map(|p| [p.low.abs(), p.high.abs()]).fold(spec.min_effect, f64::max);
    let far = far.min(1.0) * 110.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            format!("{}: candidate less control, worth of 100 turns", spec.id),
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0..most, -far..far)
        .map_err(|e| said(&e))?;
    chart
        .configure_mesh()
        .x_desc("conversations")
        .y_desc("difference")
        .draw()
        .map_err(|e| said(&e))?;
    let row = |f: fn(&Point) -> f64| -> Vec<(u64, f64)> {
        e.points.iter().map(|p| (p.conversations, (f(p) * 100.0).clamp(-far, far))).collect()
    };
    let effect = spec.min_effect * 100.0;
    for (points, color) in [
        (vec![(0, 0.0), (most, 0.0)], &BLACK),
        (vec![(0, effect), (most, effect)], &CYAN),
        (vec![(0, -effect), (most, -effect)], &CYAN),
        (row(|p| p.low), &RED),
        (row(|p| p.high), &RED),
        (row(|p| p.diff), &BLUE),
    ] {
        chart.draw_series(LineSeries::new(points, color)).map_err(|e| said(&e))?;
    }
    root.present().map_err(|e| said(&e))
}
