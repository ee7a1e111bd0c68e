//! Polls engines for their departure while the store is silent.
//!
//! The store announces a leaving engine within milliseconds. During an outage of the store
//! there is no announcement, and the generations would be lost with the engine. The engine's own
//! report shows the departure later than the store, but before the engine leaves.

use crate::follow;
use crate::state::{Front, Upstream};
use std::rc::Rc;
use std::time::Duration;

/// Pause between two polls. A report is as cheap as a probe, and a late one shortens the time
/// left for moves.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Polls the engines in use, for the lifetime of the process, while the store is silent.
pub(crate) async fn poll_engines(front: Rc<Front>) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let silent = front.store_is_silent();
        front.scheduler.set_store_silent(silent);
        if !front.serving.ask_engines || !silent {
            continue;
        }
        for id in front.scheduler.used() {
            if let Some(upstream) = front
                .upstreams
                .get(&id)
                .filter(|u| is_worth_polling(&front, u))
            {
                actix_rt::spawn(poll(Rc::clone(&front), upstream));
            }
        }
    }
}

/// Whether the departure of an upstream matters: its generations can be moved, and it still
/// accepts work, so it neither is known to leave nor has asked for a pause.
fn is_worth_polling(front: &Front, upstream: &Upstream) -> bool {
    let table = front.routing.table();
    let engine = table.and_then(|t| t.service(&upstream.service)?.engine.clone());
    engine.is_some_and(|e| e.moves) && front.scheduler.accepts_requests(&upstream.id)
}

async fn poll(front: Rc<Front>, upstream: Rc<Upstream>) {
    let requested_at = front.clock.now();
    match front.engines.report(upstream.addr, REPORT_INTERVAL).await {
        Ok(report) => follow::receive_report(&front, &upstream, requested_at, &report),
        Err(e) => log::debug!("{e}"),
    }
}
