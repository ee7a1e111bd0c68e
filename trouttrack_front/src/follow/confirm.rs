//! Confirming that the configuration is current.

use super::backoff::Backoff;
use super::config;
use crate::state::Front;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_config::settings::BoundSettings;
use trouttrack_platform::{Kind, StoreError};

/// How long a confirming call may take. Past it another is sent: on a link
/// that loses packets a fresh try is quicker than waiting.
const TIMEOUT: Duration = Duration::from_millis(900);
/// The part of the bound on removed keys after which a confirmation is renewed:
/// it leaves time for two calls that fail.
const PART_OF_REVOKE: f64 = 0.4;
/// The age at which this VM makes the call itself, in parts of the time above.
/// It is drawn anew each time, so that one VM is first and the others hear of it.
const SPREAD: std::ops::Range<f64> = 0.75..1.2;
/// While there is no configuration to confirm, pause between two calls.
const NO_CONFIG: Duration = Duration::from_millis(400);
/// The shortest pause between two looks at the age.
const LOOK: Duration = Duration::from_millis(50);
/// The longest one: a bound that a reload lowered is seen after this.
const LOOK_AT_LEAST: Duration = Duration::from_secs(1);

/// Confirms for as long as the process runs.
pub(super) async fn confirm(front: Rc<Front>, bounds: BoundSettings) {
    let mut backoff = Backoff::new();
    loop {
        wait_until_due(&front, bounds.config_apply).await;
        match once(&front).await {
            Ok(()) => backoff.succeeded(),
            Err(e) => {
                front.store_failed(&e);
                backoff.pause().await;
            }
        }
    }
}

async fn wait_until_due(front: &Front, config_apply: Duration) {
    let part = rand::rng().random_range(SPREAD);
    while let Some(left) = time_left(front, config_apply, part) {
        tokio::time::sleep(left.clamp(LOOK, LOOK_AT_LEAST)).await;
    }
}

/// How long the newest confirmation will do, if it still does.
fn time_left(front: &Front, config_apply: Duration, part: f64) -> Option<Duration> {
    let revoke = front.routing.revoke();
    let every = revoke.mul_f64(PART_OF_REVOKE).min(config_apply);
    let left = every.mul_f64(part).checked_sub(front.routing.age()?)?;
    (!left.is_zero()).then_some(left)
}

async fn once(front: &Front) -> Result<(), StoreError> {
    let sent_at = front.clock.now();
    let page = front.store.list(Kind::Config, None, TIMEOUT).await?;
    front.store_answered();
    if page.objects.iter().any(|o| config::take(front, o)) {
        front.routing.confirmed(sent_at);
    } else {
        // There is no configuration yet; asking again at once brings none.
        tokio::time::sleep(NO_CONFIG).await;
    }
    front.upstreams.store_is_at(page.revision);
    if front.upstreams.may_have_missed() {
        front.peers.set_behind();
    }
    Ok(())
}
