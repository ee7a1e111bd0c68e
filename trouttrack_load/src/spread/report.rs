//! The plays of all sizes as a table, and as a page with plots over the size.

use super::configuration::{self, Passing};
use super::confirmation::{self, Confirming};
use super::layout::{Layout, SIZES};
use super::news::{self, Telling};
use super::reached::Reached;
use super::start::{self, Listing};
use plotters::prelude::*;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;
use thiserror::Error;

/// Changes that come at once when a seventh of a fleet's upstreams leaves.
const LEAVING: f64 = 0.13;
const SIZE: (u32, u32) = (720, 320);

/// Why no page was written.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SpreadError {
    /// A plot cannot be drawn.
    #[error("plot: {0}")]
    Plot(String),
    /// The file cannot be written.
    #[error("{0}: {1}")]
    Write(String, #[source] std::io::Error),
}

/// One line of the table at every size.
struct Line {
    name: &'static str,
    reached: Vec<Reached>,
}

impl Line {
    fn of(name: &'static str, play: impl Fn(&Layout) -> Reached) -> Self {
        let reached = SIZES.iter().map(|vms| play(&Layout::of(*vms)));
        Self {
            name,
            reached: reached.collect(),
        }
    }

    /// Until the last VM knew, in seconds, at each size at which all did.
    fn last(&self) -> Vec<(f64, f64)> {
        let sized = SIZES.iter().zip(&self.reached);
        let whole = sized.filter_map(|(vms, r)| Some((*vms as f64, r.part(1.0)?.as_secs_f64())));
        whole.collect()
    }
}

/// A subject, with the ways that are compared.
struct Subject {
    name: &'static str,
    lines: Vec<Line>,
}

fn subjects(seed: u64) -> Vec<Subject> {
    let leaving = |l: &Layout| (l.upstreams as f64 * LEAVING) as usize;
    vec![
        Subject {
            name: "all VMs start: until the upstreams are known",
            lines: vec![
                Line::of("each lists", |l| start::play(l, Listing::Each, seed)),
                Line::of("few list", |l| start::play(l, Listing::Few, seed)),
            ],
        },
        Subject {
            name: "a seventh of the upstreams leaves: until its news are known",
            lines: vec![
                Line::of("one sender", |l| {
                    news::play(l, leaving(l), Telling::OneSender, seed)
                }),
                Line::of("relayed", |l| {
                    news::play(l, leaving(l), Telling::Relayed, seed)
                }),
            ],
        },
        Subject {
            name: "the configuration changes: until it is in force",
            lines: vec![
                Line::of("by the store", |l| {
                    configuration::play(l, Passing::ByStore, seed)
                }),
                Line::of("from VM to VM", |l| {
                    configuration::play(l, Passing::FromVmToVm, seed)
                }),
            ],
        },
    ]
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or_else(|| "never".to_owned(), |t| format!("{:.2}", t.as_secs_f64()))
}

/// The table, in Markdown: for each size the time until half of the VMs, 99 in 100 and the
/// last one knew, the bytes of the busiest VM and of the store, and its calls.
#[must_use]
pub fn table(seed: u64) -> String {
    let mut out = String::from(
        "| subject | way | VMs | half s | 99 in 100 s | last s | busiest VM MB | store MB | calls |\n\
         | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n",
    );
    for subject in subjects(seed) {
        for line in &subject.lines {
            for (vms, reached) in SIZES.iter().zip(&line.reached) {
                let [half, most, last] = [0.5, 0.99, 1.0].map(|p| seconds(reached.part(p)));
                let [busiest, store] = [reached.busiest, reached.store].map(|b| b / 1e6);
                let _ = writeln!(
                    out,
                    "| {} | {} | {vms} | {half} | {most} | {last} | {busiest:.2} | {store:.1} | {} |",
                    subject.name, line.name, reached.calls
                );
            }
        }
    }
    out
}

/// What it takes to keep the configuration confirmed, in one failure domain, in Markdown.
#[must_use]
pub fn confirmations(seed: u64) -> String {
    let mut out = String::from(
        "| way | VMs | calls a second beside the watcher's | datagrams of the watcher a second | oldest s |\n\
         | --- | ---: | ---: | ---: | ---: |\n",
    );
    let ways = [
        ("by heartbeats", Confirming::ByHeartbeats),
        ("asked", Confirming::Asked),
    ];
    for (name, way) in ways {
        for vms in SIZES {
            let c = confirmation::play(&Layout::of(vms), way, seed);
            let _ = writeln!(
                out,
                "| {name} | {vms} | {:.1} | {:.0} | {:.2} |",
                c.calls_a_second,
                c.datagrams_a_second,
                c.oldest.as_secs_f64()
            );
        }
    }
    out
}

/// Writes a page with the table, and a plot over the size for each subject.
///
/// # Errors
///
/// The file cannot be written, or a plot cannot be drawn.
pub fn write_report(file: &Path, seed: u64) -> Result<(), SpreadError> {
    let mut page = String::from("<!doctype html><meta charset=\"utf-8\"><title>spread</title>\n");
    for subject in subjects(seed) {
        page += &plot(&subject).map_err(SpreadError::Plot)?;
    }
    let _ = writeln!(page, "<pre>{}</pre>", table(seed));
    let written = std::fs::write(file, page);
    written.map_err(|e| SpreadError::Write(file.display().to_string(), e))
}

/// The time until the last VM knew over the VMs, both on logarithmic axes.
fn plot(subject: &Subject) -> Result<String, String> {
    let mut svg = String::new();
    draw(subject, &mut svg).map_err(|e| e.to_string())?;
    Ok(svg)
}

fn draw(subject: &Subject, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let lasts: Vec<(f64, f64)> = subject.lines.iter().flat_map(Line::last).collect();
    let least = lasts.iter().map(|(_, s)| *s).fold(f64::MAX, f64::min);
    let most = lasts.iter().map(|(_, s)| *s).fold(0.01, f64::max);
    let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{}, s", subject.name), ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(56)
        .build_cartesian_2d(
            (5.0..2500.0f64).log_scale(),
            (least.max(0.001) * 0.8..most * 1.2).log_scale(),
        )?;
    chart.configure_mesh().x_desc("VMs").draw()?;
    for (i, line) in subject.lines.iter().enumerate() {
        let colour = Palette99::pick(i).to_rgba();
        chart
            .draw_series(LineSeries::new(line.last(), colour).point_size(3))?
            .label(line.name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 8, y + 4)], colour.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
