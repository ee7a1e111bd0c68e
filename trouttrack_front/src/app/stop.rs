//! The planned stop.

use crate::state::Front;
use std::time::Duration;
use trouttrack_telemetry::{events, record};

/// The balancer asks every second and takes a VM out after two misses; until
/// then callers are still sent.
const BALANCER_NOTICES: Duration = Duration::from_millis(3200);
/// Left of the time that the platform grants, for ending the process.
const TO_EXIT: Duration = Duration::from_millis(500);
/// Pause after the last request, for its answer to leave.
const FLUSH: Duration = Duration::from_millis(150);

/// Stops as planned: takes the VM out, waits for requests in progress, and
/// returns when the process may end.
pub async fn planned(front: &Front, grace: Duration) {
    let began = front.clock.now();
    let ends_at = began + grace.saturating_sub(TO_EXIT);
    front.lifecycle.stop(began, ends_at);
    record!(
        events::STOPPING,
        in_flight = front.lifecycle.in_flight(),
        grace_ms = grace.as_millis() as u64,
    );
    let last = front.clock.instant(ends_at);
    let noticed = front.clock.instant(began + BALANCER_NOTICES).min(last);
    tokio::time::sleep_until(noticed).await;
    let drained = async {
        while front.lifecycle.in_flight() > 0 {
            front.lifecycle.request_ended().await;
        }
    };
    if tokio::time::timeout_at(last, drained).await.is_err() {
        record!(events::DRAIN_BOUND, in_flight = front.lifecycle.in_flight(),);
    }
    // What still comes while the last answers leave is refused as not run.
    let now = front.clock.now();
    front.lifecycle.stop(now, now);
    tokio::time::sleep(FLUSH).await;
}
