//! Periodically confirms that the configuration is current.

use super::backoff::Backoff;
use super::bootstrap::{is_selected_to_call_store, wait_for_vm_list};
use super::config;
use crate::peers::watches_store;
use crate::state::Front;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::membership::{STORE_REQUEST_AGE, WATCHER_RENEWAL_AGE};
use trouttrack_platform::{Kind, Reading, StoreError};

/// Timeout for a confirmation call, after which it is retried. On a link with packet loss a
/// retry is faster than waiting.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Number of VMs that may all call the store at the same time. Sending 256 configurations of
/// about 90 kB takes the store's link a fifth of a second.
pub(super) const MAX_CONCURRENT_CALLS: usize = 256;
/// Interval at which VMs decide at random whether to make their first call.
const FIRST_CALL_SELECTION_INTERVAL: Duration = Duration::from_millis(700);
/// Interval at which a VM without a configuration checks for one.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between calls while the store's configuration cannot be put in force.
const NOT_IN_FORCE_PAUSE: Duration = Duration::from_millis(400);
/// Minimum interval between checks of the confirmation's age.
const MIN_AGE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval between checks of the confirmation's age. A VM that becomes a watcher must
/// confirm at once: the store counts as silent a fifth of the renewal time after a watcher's
/// turn. It also limits the delay until a bound lowered by a reload takes effect.
const MAX_AGE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Confirms the configuration for as long as the process runs. A VM that has just started can
/// neither accept nor reject keys before its first confirmation.
pub(super) async fn confirm(front: Rc<Front>) {
    let mut backoff = Backoff::new();
    wait_for_first_confirmation(&front).await;
    if front.routing.age().is_some() {
        wait_until_due(&front).await;
    }
    loop {
        match confirm_once(&front).await {
            Ok(()) => backoff.reset(),
            Err(e) => {
                front.store_failed(&e);
                backoff.pause_as(watches_store(&front)).await;
            }
        }
        wait_until_due(&front).await;
    }
}

/// Waits for a first confirmation from a peer, unless this VM is selected to call the store. When
/// all VMs of a large fleet start, their calls alone, of about 90 kB each, fill the store's link
/// for a second, after which every call is retried.
async fn wait_for_first_confirmation(front: &Front) {
    wait_for_vm_list(front).await;
    if front.peers.listed() <= MAX_CONCURRENT_CALLS {
        return;
    }
    while !is_selected_to_call_store(front)
        && front.routing.age().is_none()
        && !watches_store(front)
    {
        tokio::time::sleep(FIRST_CALL_SELECTION_INTERVAL).await;
    }
}

async fn wait_until_due(front: &Front) {
    if front.store_contact.is_away() {
        wait_for_return(front).await;
        return;
    }
    wait_for_config(front).await;
    let renewal_age = RenewalAge::random();
    while let Some(left) = time_left(front, &renewal_age) {
        tokio::time::sleep(left.clamp(MIN_AGE_CHECK_INTERVAL, MAX_AGE_CHECK_INTERVAL)).await;
    }
}

/// Waits until a watching VM has reached the store again, instead of calling it. Retries of
/// all VMs would be billed throughout the outage.
async fn wait_for_return(front: &Front) {
    let failed_at = front.clock.now();
    while !watches_store(front) {
        let since = front.clock.now().saturating_sub(failed_at);
        if front.peer_is_answered(since) {
            front.store_is_back_for_peers();
            return;
        }
        tokio::time::sleep(MIN_AGE_CHECK_INTERVAL).await;
    }
}

async fn wait_for_config(front: &Front) {
    while !front.routing.is_known() {
        tokio::time::sleep(CONFIG_POLL_INTERVAL).await;
    }
}

/// The confirmation age at which this VM renews it, as a fraction of the renewal time.
struct RenewalAge {
    /// The fraction while this VM watches the store.
    watcher: f64,
    /// The fraction while it does not.
    other: f64,
}

impl RenewalAge {
    fn random() -> Self {
        Self {
            watcher: rand::rng().random_range(WATCHER_RENEWAL_AGE),
            other: rand::rng().random_range(STORE_REQUEST_AGE),
        }
    }

    fn fraction(&self, watches: bool) -> f64 {
        match watches {
            true => self.watcher,
            false => self.other,
        }
    }
}

/// The time until the newest confirmation must be renewed, or `None` if renewal is due.
fn time_left(front: &Front, renewal_age: &RenewalAge) -> Option<Duration> {
    let fraction = renewal_age.fraction(watches_store(front));
    let due = front.routing.renewed_after().mul_f64(fraction);
    let left = due.checked_sub(front.routing.age()?)?;
    (!left.is_zero()).then_some(left)
}

/// Reads the configuration from the store and applies it.
async fn confirm_once(front: &Front) -> Result<(), StoreError> {
    let sent_at = front.clock.now();
    let store = &front.store;
    let listing = store.list(Kind::Config, None, Reading::Current, CALL_TIMEOUT);
    let page = listing.await?;
    front.store_answered();
    let in_force = page.objects.iter().any(|o| config::apply_object(front, o));
    if in_force && front.peers.newest_config() <= front.routing.version() {
        front.routing.confirmed(sent_at);
    } else {
        // It was removed or cannot be read, or the store has lost the newest version, so an
        // immediate retry would return the same.
        tokio::time::sleep(NOT_IN_FORCE_PAUSE).await;
    }
    front.upstreams.store_is_at(page.revision);
    if front.upstreams.may_have_missed() {
        front.peers.signal_behind();
    }
    Ok(())
}
