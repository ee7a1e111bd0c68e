//! The comparison as a table, as JSON and as a page with plots.

use super::figures::ServiceFigures;
use super::headline::Headline;
use super::run::{CompareError, CompareOptions, Compared};
use plotters::prelude::*;
use serde_json::json;
use std::fmt::Write as _;
use std::path::Path;

struct Column {
    name: &'static str,
    figure: fn(&ServiceFigures) -> f64,
}

#[rustfmt::skip]
const COLUMNS: &[Column] = &[
    Column { name: "first p50 ms",  figure: |s| s.first_p50_ms },
    Column { name: "first p99 ms",  figure: |s| s.first_p99_ms },
    Column { name: "gap p50 ms",    figure: |s| s.gap_p50_ms },
    Column { name: "gap p95 ms",    figure: |s| s.gap_p95_ms },
    Column { name: "gap p99 ms",    figure: |s| s.gap_p99_ms },
    Column { name: "gap worst ms",  figure: |s| s.gap_worst_ms },
    Column { name: "stall ms each", figure: |s| s.stall_ms_each },
    Column { name: "preempt each",  figure: |s| s.preemptions_each },
    Column { name: "wasted each",   figure: |s| s.wasted_tokens_each },
    Column { name: "good/s",        figure: |s| s.goodput_per_s },
    Column { name: "refused",       figure: |s| s.refused as f64 },
    Column { name: "wait max s",    figure: |s| s.longest_wait_s },
];

/// Services by policies, medians over the seeds, in Markdown.
#[must_use]
pub fn table(o: &CompareOptions, compared: &[Compared]) -> String {
    let mut out = String::from("| service | policy |");
    for c in COLUMNS {
        let _ = write!(out, " {} |", c.name);
    }
    out.push_str("\n| --- | --- |");
    out.push_str(&" ---: |".repeat(COLUMNS.len()));
    out.push('\n');
    for (i, s) in o.mix.services.iter().enumerate() {
        for c in compared {
            let _ = write!(out, "| {} | {} |", s.name, c.policy.as_str());
            for column in COLUMNS {
                let _ = write!(out, " {:.3} |", c.median(i, column.figure));
            }
            out.push('\n');
        }
    }
    out
}

/// The spread of the headline figures over the seeds: least and most.
#[must_use]
pub fn spread(o: &CompareOptions, compared: &[Compared]) -> String {
    let mut out = String::from(
        "| service | policy | gap p99 ms | first p99 ms |\n| --- | --- | --- | --- |\n",
    );
    for (i, s) in o.mix.services.iter().enumerate() {
        for c in compared {
            let range = |f: fn(&ServiceFigures) -> f64| {
                let all = c.runs.iter().map(|r| f(&r.services[i]));
                let (least, most) = all.fold((f64::MAX, 0.0f64), |(l, m), v| (l.min(v), m.max(v)));
                format!("{least:.1} to {most:.1}")
            };
            let _ = writeln!(
                out,
                "| {} | {} | {} | {} |",
                s.name,
                c.policy.as_str(),
                range(|s| s.gap_p99_ms),
                range(|s| s.first_p99_ms)
            );
        }
    }
    out
}

/// Writes every run's figures as JSON.
///
/// # Errors
///
/// The file cannot be written.
pub fn write_json(
    file: &Path,
    o: &CompareOptions,
    capacity: f64,
    compared: &[Compared],
    headline: Option<Headline>,
) -> Result<(), CompareError> {
    let runs: Vec<_> = compared
        .iter()
        .map(|c| {
            let runs: Vec<_> = c.runs.iter().map(|r| &r.services).collect();
            json!({ "policy": c.policy.as_str(), "runs": runs })
        })
        .collect();
    let body = json!({
        "fleet": o.mix.name,
        "load": o.load,
        "seeds": o.seeds,
        "capacity_per_s": capacity,
        "policies": runs,
        "headline": headline.map(|h| h.to_string()),
    });
    write(file, &format!("{body:#}\n"))
}

fn write(file: &Path, text: &str) -> Result<(), CompareError> {
    std::fs::write(file, text).map_err(|e| CompareError::Write(file.display().to_string(), e))
}

/// Writes a page with the table and plots.
///
/// # Errors
///
/// The file cannot be written, or a plot cannot be drawn.
pub fn write_report(
    file: &Path,
    o: &CompareOptions,
    capacity: f64,
    compared: &[Compared],
    headline: Option<Headline>,
) -> Result<(), CompareError> {
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title><h1>{0} at {1} of capacity</h1>\
         <p>Capacity {capacity:.2} requests/s; seeds {2:?}; medians over the seeds.</p>\n",
        o.mix.name, o.load, o.seeds
    );
    if let Some(h) = headline {
        let _ = writeln!(page, "<p>Against the best baseline: {h}</p>");
    }
    for (title, figure) in [
        ("p99 time between tokens, ms", COLUMNS[4].figure),
        ("p99 first token, ms", COLUMNS[1].figure),
        ("preemptions a request", COLUMNS[7].figure),
        ("stall ms a request", COLUMNS[6].figure),
    ] {
        page += &plot(o, compared, title, figure)?;
    }
    let _ = writeln!(
        page,
        "<pre>{}\n{}</pre>",
        table(o, compared),
        spread(o, compared)
    );
    write(file, &page)
}

/// Bars: a group for each service, a bar for each policy.
fn plot(
    o: &CompareOptions,
    compared: &[Compared],
    title: &str,
    figure: fn(&ServiceFigures) -> f64,
) -> Result<String, CompareError> {
    const SIZE: (u32, u32) = (900, 320);
    let wrong = |e: &dyn std::fmt::Display| CompareError::Plot(e.to_string());
    let services = o.mix.services.len();
    let value = |s: usize, c: &Compared| c.median(s, figure);
    let most = (0..services)
        .flat_map(|s| compared.iter().map(move |c| value(s, c)))
        .fold(0.0f64, f64::max)
        .max(1e-6);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| wrong(&e))?;
        let width = (compared.len() + 1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..width * services as f64, 0.0..most * 1.05)
            .map_err(|e| wrong(&e))?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(services)
            .x_label_formatter(&|x| {
                let i = (x / width) as usize;
                o.mix
                    .services
                    .get(i)
                    .map_or(String::new(), |s| s.name.to_owned())
            })
            .draw()
            .map_err(|e| wrong(&e))?;
        for (p, c) in compared.iter().enumerate() {
            let colour = Palette99::pick(p).to_rgba();
            let bars = (0..services).map(|s| {
                let left = s as f64 * width + p as f64;
                let corners = [(left, 0.0), (left + 0.9, value(s, c))];
                Rectangle::new(corners, colour.filled())
            });
            chart
                .draw_series(bars)
                .map_err(|e| wrong(&e))?
                .label(c.policy.as_str())
                .legend(move |(x, y)| {
                    Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled())
                });
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE)
            .draw()
            .map_err(|e| wrong(&e))?;
        area.present().map_err(|e| wrong(&e))?;
    }
    Ok(svg)
}
