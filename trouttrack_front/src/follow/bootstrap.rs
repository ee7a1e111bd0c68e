//! Fetching all upstreams from another VM, at startup and after more changes than peers keep
//! in their history.
//!
//! In a large fleet the list of upstreams has many pages. If every VM read it from the store,
//! 985 VMs with 10,002 upstreams would occupy the store for half a minute, and the load grows
//! with the square of the fleet. So a few VMs read it from the store, and the others fetch it
//! from a VM that has it.

use super::backoff::Backoff;
use super::upstreams::apply_snapshot;
use crate::peers::{fetch_upstreams, watches_store};
use crate::state::Front;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::membership::{LIST_RETRY_INTERVAL, MEAN_STORE_CALLERS, Revision};

/// How long a starting VM waits for the list of VMs.
const VM_LIST_TIMEOUT: Duration = Duration::from_millis(3500);
/// Interval at which a starting VM checks for the list of VMs.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Fetches the upstreams from a VM whose revision is newer than `known`. Returns whether they are
/// known now; if not, this VM must read them from the store.
pub(super) async fn fetch_from_peers(front: &Rc<Front>, known: Revision) -> bool {
    wait_for_vm_list(front).await;
    // A watcher does not wait, because the other VMs depend on its list.
    while !watches_store(front) && !is_selected_to_call_store(front) {
        if tokio::time::timeout(LIST_RETRY_INTERVAL, fetch_from_any_peer(front, known))
            .await
            .is_ok()
        {
            return true;
        }
        if front.peers.live_in_domain(&front.failure_domain) == 0 {
            // There is no peer to fetch the list from.
            return false;
        }
    }
    false
}

/// Fetches the upstreams from a VM whose revision is newer than `known`, within a time limit and
/// without falling back to the store. Returns whether they are known now.
pub(super) async fn try_fetch_from_peers(front: &Rc<Front>, known: Revision) -> bool {
    let asking = tokio::time::timeout(LIST_RETRY_INTERVAL, fetch_from_any_peer(front, known));
    asking.await.is_ok()
}

/// Waits until this VM has listed the VMs in the store, or until the timeout.
pub(super) async fn wait_for_vm_list(front: &Front) {
    let deadline = front.clock.now() + VM_LIST_TIMEOUT;
    while front.peers.listed_at().is_none() && front.clock.now() < deadline {
        tokio::time::sleep(VM_LIST_POLL_INTERVAL).await;
    }
}

/// Decides at random whether this VM makes a store call whose result other VMs need as well.
pub(super) fn is_selected_to_call_store(front: &Front) -> bool {
    let near = front.peers.listed_in(&front.failure_domain).max(1);
    rand::rng().random_range(0.0..near as f64) < MEAN_STORE_CALLERS
}

/// Asks peers until one returns the list or the upstreams have advanced past `known`.
pub(super) async fn fetch_from_any_peer(front: &Rc<Front>, known: Revision) {
    let mut backoff = Backoff::new();
    loop {
        backoff.pause_for_peers().await;
        let Some(peer) = front.peers.random_peer_ahead(&front.failure_domain, known) else {
            backoff.reset();
            continue;
        };
        if let Some(snapshot) = fetch_upstreams(front, peer, known).await {
            apply_snapshot(front, &snapshot, peer);
            return;
        }
        if front.upstreams.revision() > known {
            // Changes from peers arrived first.
            return;
        }
    }
}
