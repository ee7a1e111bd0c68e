//! Learning how much time a leaving engine has, and what it holds.

use crate::state::{Front, Upstream};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_telemetry::{events, record};

/// How long a report may take; copies have begun meanwhile.
const REPORT: Duration = Duration::from_millis(500);

/// Asks a leaving engine for a report, and times the moves by it.
pub async fn observe(front: Rc<Front>, upstream: Rc<Upstream>) {
    let table = front.routing.table();
    let engine = table.and_then(|t| t.service(&upstream.service)?.engine.clone());
    let Some(engine) = engine.filter(|e| e.moves && front.serving.rescue) else {
        return;
    };
    let report = match front.engines.report(upstream.addr, REPORT).await {
        Ok(report) => report,
        Err(e) => {
            log::debug!("{e}");
            return;
        }
    };
    let now = front.clock.now();
    let held: u64 = report.generations.iter().map(|(_, tokens)| tokens).sum();
    upstream.update_departure(|departure| {
        if let Some(left) = report.leaves_in {
            departure.leaves_in(now, left);
        }
        departure.holds(held, &engine);
    });
    record!(
        events::DEPARTURE,
        upstream = upstream.id.as_str(),
        how = "reported",
        generations = report.generations.len(),
        held_tokens = held,
        leaves_in_ms = report.leaves_in.map(|left| left.as_millis() as u64),
    );
}
