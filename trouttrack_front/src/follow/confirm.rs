//! Confirming that what is known is current.

use super::backoff::Backoff;
use super::config;
use super::kind::list;
use super::outage::StoreEvents;
use super::upstreams::UpstreamFollower;
use crate::state::Front;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_platform::{Kind, StoreError};

/// The part of the time in which a configuration must be in force that may
/// pass between two confirmations; the rest is for the call itself.
const PART_OF_BOUND: f64 = 0.65;
/// How long a confirming call may take. Past it another is sent: on a link
/// that loses packets a fresh try is quicker than waiting.
const TIMEOUT: Duration = Duration::from_millis(900);

/// Confirms for as long as the process runs.
pub(super) async fn confirm(
    front: Rc<Front>,
    store: Rc<StoreEvents>,
    upstreams: Rc<UpstreamFollower>,
    config_apply: Duration,
) {
    let interval = config_apply.mul_f64(PART_OF_BOUND);
    let mut backoff = Backoff::new();
    loop {
        match once(&front, &upstreams).await {
            Ok(()) => {
                front.upstreams.store_back();
                store.answered();
                backoff.succeeded();
                tokio::time::sleep(interval).await;
            }
            Err(e) => {
                front.upstreams.store_lost();
                store.lost(&e);
                backoff.pause().await;
            }
        }
    }
}

async fn once(front: &Front, upstreams: &UpstreamFollower) -> Result<(), StoreError> {
    let sent_at = front.clock.now();
    let page = front.store.list(Kind::Config, None, TIMEOUT).await?;
    if page.objects.iter().any(|o| config::take(front, o)) {
        front.routing.confirmed(sent_at);
    }
    if upstreams.has_missed(page.revision) {
        list(front, upstreams).await?;
    }
    Ok(())
}
