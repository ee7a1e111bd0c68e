//! Confirming that the configuration is current.

use super::backoff::Backoff;
use super::config;
use crate::state::Front;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_platform::{Kind, StoreError};

/// How long a confirming call may take. Past it another is sent: on a link
/// that loses packets a fresh try is quicker than waiting.
const TIMEOUT: Duration = Duration::from_millis(900);
/// The age of a confirmation, in milliseconds, at which this VM makes the call
/// itself. The age is drawn anew each time, so that one VM is first and the
/// others hear of it; the greatest leaves time for two failed calls before keys
/// are refused, five seconds after the last confirmation.
const CONFIRM_AT_MS: std::ops::Range<u64> = 1500..2400;
/// The shortest pause between two looks at the age.
const LOOK: Duration = Duration::from_millis(50);

/// Confirms for as long as the process runs.
pub(super) async fn confirm(front: Rc<Front>) {
    let mut backoff = Backoff::new();
    loop {
        wait_until_due(&front).await;
        match once(&front).await {
            Ok(()) => {
                front.upstreams.store_back();
                backoff.succeeded();
            }
            Err(e) => {
                front.upstreams.store_lost();
                front.store_contact.lost(&e);
                backoff.pause().await;
            }
        }
    }
}

async fn wait_until_due(front: &Front) {
    let due = rand::rng().random_range(CONFIRM_AT_MS);
    while let Some(age) = front.routing.age_ms().filter(|age| *age < due) {
        let left = Duration::from_millis(due - age);
        tokio::time::sleep(left.max(LOOK)).await;
    }
}

async fn once(front: &Front) -> Result<(), StoreError> {
    let sent_at = front.clock.now();
    let page = front.store.list(Kind::Config, None, TIMEOUT).await?;
    front.store_contact.answered(front.clock.now());
    if page.objects.iter().any(|o| config::take(front, o)) {
        front.routing.confirmed(sent_at);
    } else {
        // There is no configuration yet; asking again at once brings none.
        tokio::time::sleep(Duration::from_millis(CONFIRM_AT_MS.start / 4)).await;
    }
    front.upstreams.store_is_at(page.revision);
    if front.upstreams.may_have_missed() {
        front.peers.set_behind();
    }
    Ok(())
}
