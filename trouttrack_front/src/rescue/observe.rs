//! Learning how much time a leaving engine has, and what it holds.

use crate::state::{Front, Upstream};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::fleet::EngineSpec;
use trouttrack_core::rescue::MAX_REPORT_AGE;
use trouttrack_platform::EngineReport;
use trouttrack_telemetry::{events, record};

/// How long a report may take; copies have begun meanwhile.
const REPORT: Duration = Duration::from_millis(500);

/// When reports are asked for, after the notice. The first tells what the
/// engine holds; reports are old, so only the second tells how much time is left.
const ASK_AFTER: [Duration; 2] = [Duration::ZERO, MAX_REPORT_AGE];

/// Asks a leaving engine for reports, and times the moves by them.
pub(crate) async fn observe(front: Rc<Front>, upstream: Rc<Upstream>) {
    let table = front.routing.table();
    let engine = table.and_then(|t| t.service(&upstream.service)?.engine.clone());
    let Some(engine) = engine.filter(|e| e.moves && front.serving.rescue) else {
        return;
    };
    for after in ASK_AFTER {
        tokio::time::sleep(after).await;
        let asked_at = front.clock.now();
        match front.engines.report(upstream.addr, REPORT).await {
            Ok(report) => take(&front, &upstream, asked_at, &report, &engine),
            Err(e) => log::debug!("{e}"),
        }
    }
}

fn take(
    front: &Front,
    upstream: &Upstream,
    asked_at: Time,
    report: &EngineReport,
    engine: &EngineSpec,
) {
    let held: u64 = report.generations.iter().map(|(_, tokens)| tokens).sum();
    let (service, home) = (&upstream.service, &upstream.failure_domain);
    let near_room = front.scheduler.free_tokens_in_domain(service, home);
    let now = front.clock.now();
    upstream.update_departure(|departure| {
        if let Some(left) = report.leaves_in {
            departure.set_remaining(asked_at, left);
        }
        departure.set_generations(now, report.generations.clone(), engine, near_room);
    });
    record!(
        events::DEPARTURE,
        upstream = upstream.id.as_str(),
        how = "reported",
        generations = report.generations.len(),
        held_tokens = held,
        near_room_tokens = near_room as u64,
        leaves_in_ms = report.leaves_in.map(|left| left.as_millis() as u64),
    );
}
