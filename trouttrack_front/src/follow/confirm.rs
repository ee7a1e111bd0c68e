//! Confirming that the configuration is current.

use super::backoff::Backoff;
use super::bootstrap::{draws_call, find_others};
use super::config;
use crate::peers::watches_store;
use crate::state::Front;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::membership::{STORE_REQUEST_AGE, WATCHER_RENEWAL_AGE};
use trouttrack_platform::{Kind, Reading, StoreError};

/// How long a confirming call may take. Past it another is sent: on a link
/// that loses packets a fresh try is quicker than waiting.
const TIMEOUT: Duration = Duration::from_millis(900);
/// VMs that may all call the store at one moment: 256 configurations of some 90 kB take its link
/// a fifth of a second.
const CALL_AT_ONCE: usize = 256;
/// Pause between two times that it is drawn which VMs make their first call.
const FIRST_ROUND: Duration = Duration::from_millis(700);
/// Pause between two looks whether a configuration is known.
const LOOK_FOR_CONFIG: Duration = Duration::from_millis(100);
/// While the configuration that the store has cannot be put in force, pause
/// between two calls.
const NOT_IN_FORCE: Duration = Duration::from_millis(400);
/// The shortest pause between two looks at the age.
const LOOK: Duration = Duration::from_millis(50);
/// The longest one. A VM that takes the watch is to confirm at once: the store counts
/// as silent a fifth of the time above after a watcher's turn. It also bounds how late a
/// bound is seen that a reload lowered.
const LOOK_AT_LEAST: Duration = Duration::from_millis(200);

/// Confirms for as long as the process runs. A VM that has just started can say nothing of
/// keys before its first confirmation.
pub(super) async fn confirm(front: Rc<Front>) {
    let mut backoff = Backoff::new();
    await_first(&front).await;
    if front.routing.age().is_some() {
        wait_until_due(&front).await;
    }
    loop {
        match once(&front).await {
            Ok(()) => backoff.succeeded(),
            Err(e) => {
                front.store_failed(&e);
                backoff.pause_as(watches_store(&front)).await;
            }
        }
        wait_until_due(&front).await;
    }
}

/// Waits for a first confirmation from a peer, unless this VM is drawn to call the store
/// for it. When all VMs of a large fleet start, their calls alone, some 90 kB each, fill the
/// store's link for a second, the time after which each is made once more; the store of 985
/// VMs did not recover from that for 15 s.
async fn await_first(front: &Front) {
    find_others(front).await;
    if front.peers.listed() <= CALL_AT_ONCE {
        return;
    }
    while !draws_call(front) && front.routing.age().is_none() && !watches_store(front) {
        tokio::time::sleep(FIRST_ROUND).await;
    }
}

async fn wait_until_due(front: &Front) {
    if front.store_contact.is_away() {
        wait_for_return(front).await;
        return;
    }
    wait_for_config(front).await;
    let turn = Turn::draw();
    while let Some(left) = time_left(front, &turn) {
        tokio::time::sleep(left.clamp(LOOK, LOOK_AT_LEAST)).await;
    }
}

/// While its calls fail, a VM leaves it to the one that watches to find the store back,
/// and hears of its return. With 295 VMs that each look after up to 1.6 s an outage of
/// nine seconds would cost some 2,000 calls (worked out, not measured).
async fn wait_for_return(front: &Front) {
    let failed_at = front.clock.now();
    while !watches_store(front) {
        let since = front.clock.now().saturating_sub(failed_at);
        if front.peer_is_answered(since) {
            front.store_is_back_for_peers();
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn wait_for_config(front: &Front) {
    while !front.routing.is_known() {
        tokio::time::sleep(LOOK_FOR_CONFIG).await;
    }
}

/// The age, in parts of the time after which a confirmation is renewed, at which
/// it is this VM's turn.
struct Turn {
    /// While it watches the store.
    watcher: f64,
    /// While it does not.
    other: f64,
}

impl Turn {
    fn draw() -> Self {
        Self {
            watcher: rand::rng().random_range(WATCHER_RENEWAL_AGE),
            other: rand::rng().random_range(STORE_REQUEST_AGE),
        }
    }

    fn part(&self, watches: bool) -> f64 {
        match watches {
            true => self.watcher,
            false => self.other,
        }
    }
}

/// How long the newest confirmation will do, if it still does.
fn time_left(front: &Front, turn: &Turn) -> Option<Duration> {
    let part = turn.part(watches_store(front));
    let due = front.routing.renewed_after().mul_f64(part);
    let left = due.checked_sub(front.routing.age()?)?;
    (!left.is_zero()).then_some(left)
}

/// Asks the store for the configuration, and takes it in.
async fn once(front: &Front) -> Result<(), StoreError> {
    let sent_at = front.clock.now();
    let store = &front.store;
    let listing = store.list(Kind::Config, None, Reading::Current, TIMEOUT);
    let page = listing.await?;
    front.store_answered();
    let in_force = page.objects.iter().any(|o| config::take(front, o));
    if in_force && front.peers.newest_config() <= front.routing.version() {
        front.routing.confirmed(sent_at);
    } else {
        // It was removed or cannot be read, or the store has lost the newest one: asking again
        // at once brings no other.
        tokio::time::sleep(NOT_IN_FORCE).await;
    }
    front.upstreams.store_is_at(page.revision);
    if front.upstreams.may_have_missed() {
        front.peers.set_behind();
    }
    Ok(())
}
