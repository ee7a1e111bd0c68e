//! Taking all upstreams from another VM: at the start, and after more changes than peers
//! remember.
//!
//! In a large fleet every VM needs a list that the store hands out in many pages. If each
//! listed it, the store would be busy for half a minute with 985 VMs before 10,002
//! upstreams, and longer with the square of the fleet. So a few list, and the others take
//! the list from whoever has it.

use super::backoff::Backoff;
use super::upstreams::take_snapshot;
use crate::peers::{fetch_upstreams, watches_store};
use crate::state::Front;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::membership::{LIST_RETRY_INTERVAL, MEAN_STORE_CALLERS, Revision};

/// How long a VM that starts waits to learn which others there are.
const FIND_OTHERS: Duration = Duration::from_millis(3500);
/// Pause between two looks whether it has.
const LOOK: Duration = Duration::from_millis(50);

/// Takes the upstreams from a VM that knows them after a revision. Returns whether they are
/// known now; if not, this VM is to ask the store itself.
pub(super) async fn take_from_peers(front: &Rc<Front>, known: Revision) -> bool {
    find_others(front).await;
    // Others wait for what a watcher knows.
    while !watches_store(front) && !draws_call(front) {
        if tokio::time::timeout(LIST_RETRY_INTERVAL, ask(front, known))
            .await
            .is_ok()
        {
            return true;
        }
        if front.peers.heard_near(&front.failure_domain) == 0 {
            // Nobody to take it from.
            return false;
        }
    }
    false
}

/// Takes the upstreams from a VM that knows them after a revision, within a time limit and without
/// falling back to the store. Returns whether they are known now.
pub(super) async fn try_take_from_peers(front: &Rc<Front>, known: Revision) -> bool {
    let asking = tokio::time::timeout(LIST_RETRY_INTERVAL, ask(front, known));
    asking.await.is_ok()
}

/// Waits until the VMs that the store lists are known, for so long as that may take.
pub(super) async fn find_others(front: &Front) {
    let waits_until = front.clock.now() + FIND_OTHERS;
    while front.peers.listed_at().is_none() && front.clock.now() < waits_until {
        tokio::time::sleep(LOOK).await;
    }
}

/// Whether it falls to this VM to ask the store for what others need as well.
pub(super) fn draws_call(front: &Front) -> bool {
    let near = front.peers.listed_in(&front.failure_domain).max(1);
    rand::rng().random_range(0.0..near as f64) < MEAN_STORE_CALLERS
}

/// Asks peers until one gives the list.
async fn ask(front: &Rc<Front>, known: Revision) {
    let mut backoff = Backoff::new();
    loop {
        backoff.pause_for_peers().await;
        let Some(peer) = front.peers.draw_ahead(&front.failure_domain, known) else {
            backoff.succeeded();
            continue;
        };
        if let Some(snapshot) = fetch_upstreams(front, peer, known).await {
            take_snapshot(front, &snapshot, peer);
            return;
        }
        if front.upstreams.revision() > known {
            // News were quicker.
            return;
        }
    }
}
