//! Graceful shutdown.

use crate::state::Front;
use std::time::Duration;
use trouttrack_telemetry::{events, record};

/// The load balancer checks readiness every second and removes a VM after two failed checks;
/// until then it still routes callers here.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(3200);
/// Part of the grace period reserved for exiting the process.
const EXIT_RESERVE: Duration = Duration::from_millis(500);
/// Interval at which it is checked whether callers have taken their answers.
const BUFFER_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after the last request, so that its answer is sent.
const FLUSH_DELAY: Duration = Duration::from_millis(150);

/// Shuts down gracefully: reports the VM as not ready, waits for requests in progress, and
/// returns when the process may end.
pub async fn graceful_stop(front: &Front, grace: Duration) {
    let began = front.clock.now();
    let ends_at = began + grace.saturating_sub(EXIT_RESERVE);
    front.lifecycle.stop(began, ends_at);
    front.origins.hand_over();
    record!(
        events::STOPPING,
        in_flight = front.lifecycle.in_flight(),
        grace_ms = grace.as_millis() as u64,
    );
    let deadline = front.clock.instant(ends_at);
    let removed_from_balancer = front
        .clock
        .instant(began + LOAD_BALANCER_DELAY)
        .min(deadline);
    tokio::time::sleep_until(removed_from_balancer).await;
    let drained = async {
        while front.lifecycle.in_flight() > 0 {
            front.lifecycle.request_ended().await;
        }
        while front.buffers.total() > 0 {
            tokio::time::sleep(BUFFER_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout_at(deadline, drained).await.is_err() {
        record!(events::DRAIN_BOUND, in_flight = front.lifecycle.in_flight(),);
    }
    // What is still in progress is answered now, as far as it has no answer yet.
    front.lifecycle.exit(front.clock.now());
    tokio::time::sleep(FLUSH_DELAY).await;
}
