//! A planned stop.
//!
//! 1. `/readyz` says no; requests are still taken for the notice, so that the
//!    balancer has time to see it.
//! 2. New requests are refused as not run; those in progress go on.
//! 3. When none is left, or at the bound, the port is closed.

use super::shared::Shared;
use actix_web::dev::ServerHandle;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trouttrack_telemetry::events;

/// Time for the last bytes to leave after the last request ended.
pub(super) const FLUSH: Duration = Duration::from_secs(2);
const POLL: Duration = Duration::from_millis(20);

pub(super) async fn planned(shared: &Arc<Shared>, server: &ServerHandle) {
    let caller = &shared.settings.caller;
    let bound = Instant::now() + caller.drain;
    shared.set_draining();
    events::STOPPING.log(format_args!("in_flight={}", shared.in_flight()));
    tokio::time::sleep(caller.drain_notice.min(caller.drain)).await;
    shared.set_refusing();
    while shared.in_flight() > 0 && Instant::now() < bound {
        tokio::time::sleep(POLL).await;
    }
    let left = shared.in_flight();
    if left > 0 {
        events::DRAIN_BOUND.log(format_args!("in_flight={left}"));
    }
    server.stop(true).await;
}
