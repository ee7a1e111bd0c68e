//! The ledger over time, as an SVG chart.

use crate::ledger::{Ledger, Outcome};
use plotters::prelude::*;
use std::path::Path;
use std::time::{Duration, SystemTime};

/// Size of the chart, in pixels.
const SIZE: (u32, u32) = (900, 360);
/// What is drawn, from the bottom of each bar up, with its colour.
const DRAWN: [(Outcome, RGBColor); 3] = [
    (Outcome::Lost, RGBColor(178, 34, 34)),
    (Outcome::Refused, RGBColor(218, 140, 30)),
    (Outcome::Late, RGBColor(90, 120, 170)),
];

/// The chart could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("the chart cannot be drawn: {0}")]
pub struct ChartError(String);

fn failed(e: impl std::fmt::Display) -> ChartError {
    ChartError(e.to_string())
}

/// Draws the lost, refused and late requests, one bar for each `bar` of time.
///
/// # Errors
///
/// The file cannot be written.
pub fn draw(ledger: &Ledger, bar: Duration, path: &Path) -> Result<(), ChartError> {
    let bars = bars(ledger, bar);
    let highest = bars.iter().map(|b| b.iter().sum::<u32>()).max();
    let seconds = bar.as_secs_f64();
    let width = bars.len().max(1) as f64 * seconds;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(failed)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("lost, refused and late requests", ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..width, 0..highest.unwrap_or(0) + 1)
        .map_err(failed)?;
    let mut mesh = chart.configure_mesh();
    let mesh = mesh.x_desc("seconds").y_desc("requests");
    mesh.draw().map_err(failed)?;
    for (part, (outcome, colour)) in DRAWN.iter().enumerate() {
        let boxes = bars.iter().enumerate().map(|(i, counts)| {
            let below: u32 = counts[..part].iter().sum();
            let left = i as f64 * seconds;
            let corners = [(left, below), (left + seconds, below + counts[part])];
            Rectangle::new(corners, colour.filled())
        });
        let series = chart.draw_series(boxes).map_err(failed)?;
        let key = *colour;
        series
            .label(outcome.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], key.filled()));
    }
    let mut legend = chart.configure_series_labels();
    legend.background_style(WHITE).border_style(BLACK);
    legend.draw().map_err(failed)?;
    area.present().map_err(failed)
}

/// How many requests of each outcome that is drawn ended in each bar.
fn bars(ledger: &Ledger, bar: Duration) -> Vec<[u32; DRAWN.len()]> {
    let first = ledger.ends().map(|(at, _)| at).min();
    let first = first.unwrap_or(SystemTime::UNIX_EPOCH);
    let mut bars = Vec::new();
    for (at, outcome) in ledger.ends() {
        let since = at.duration_since(first).unwrap_or_default();
        let i = (since.as_secs_f64() / bar.as_secs_f64()) as usize;
        if bars.len() <= i {
            bars.resize(i + 1, [0; DRAWN.len()]);
        }
        if let Some(part) = DRAWN.iter().position(|(drawn, _)| *drawn == outcome) {
            bars[i][part] += 1;
        }
    }
    bars
}
