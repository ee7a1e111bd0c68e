//! Reads reports of a leaving engine: its remaining time and the generations it holds.

use crate::state::{Front, Upstream};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::fleet::EngineSpec;
use trouttrack_core::rescue::MAX_REPORT_AGE;
use trouttrack_platform::EngineReport;
use trouttrack_telemetry::{events, record};

/// Time limit of a report. Copies start without waiting for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay before each report request, after the departure notice and after the previous report.
/// The first report lists the generations. Reports may be [`MAX_REPORT_AGE`] old, so only the
/// second one shows the remaining time.
const REPORT_DELAYS: [Duration; 2] = [Duration::ZERO, MAX_REPORT_AGE];

/// Requests reports of a leaving engine and schedules the moves accordingly.
pub(crate) async fn observe(front: Rc<Front>, upstream: Rc<Upstream>) {
    let table = front.routing.table();
    let engine = table.and_then(|t| t.service(&upstream.service)?.engine.clone());
    let Some(engine) = engine.filter(|e| e.moves && front.serving.rescue) else {
        return;
    };
    for delay in REPORT_DELAYS {
        tokio::time::sleep(delay).await;
        let requested_at = front.clock.now();
        match front.engines.report(upstream.addr, REPORT_TIMEOUT).await {
            Ok(report) => apply_report(&front, &upstream, requested_at, &report, &engine),
            Err(e) => log::debug!("{e}"),
        }
    }
}

fn apply_report(
    front: &Front,
    upstream: &Upstream,
    requested_at: Time,
    report: &EngineReport,
    engine: &EngineSpec,
) {
    let held_tokens: u64 = report.generations.iter().map(|(_, tokens)| tokens).sum();
    let (service, failure_domain) = (&upstream.service, &upstream.failure_domain);
    let near_room = front
        .scheduler
        .free_tokens_in_domain(service, failure_domain);
    let now = front.clock.now();
    upstream.update_departure(|departure| {
        if let Some(left) = report.leaves_in {
            departure.set_remaining(requested_at, left);
        }
        departure.set_generations(now, report.generations.clone(), engine, near_room);
    });
    record!(
        events::DEPARTURE,
        upstream = upstream.id.as_str(),
        how = "reported",
        generations = report.generations.len(),
        held_tokens = held_tokens,
        near_room_tokens = near_room as u64,
        leaves_in_ms = report.leaves_in.map(|left| left.as_millis() as u64),
    );
}
