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
use rand::seq::IndexedRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// VMs of a failure domain that list for it, in the mean, each time that lots are drawn:
/// one of them may be slow or lost, and with three none is drawn once in twenty. More each
/// time would slow the store down for those that list already, and so bring on the next
/// time: in the model all of 2,000 VMs listed in the end.
const LISTERS: f64 = 3.0;
/// How long the others wait before they draw again.
const ROUND: Duration = Duration::from_secs(2);
/// How long a VM that starts waits to learn which others there are.
const FIND_OTHERS: Duration = Duration::from_millis(3500);
/// Pause between two looks whether it has.
const LOOK: Duration = Duration::from_millis(50);

/// Takes the upstreams from a VM that knows them after a revision. Returns whether they are
/// known now; if not, this VM is to ask the store itself.
pub(super) async fn take_from_peers(front: &Rc<Front>, known: u64) -> bool {
    find_others(front).await;
    // Others wait for what a watcher knows.
    while !watches_store(front) && !draws_call(front) {
        if tokio::time::timeout(ROUND, ask(front, known)).await.is_ok() {
            return true;
        }
        if front.peers.heard_near(&front.failure_domain) == 0 {
            // Nobody to take it from.
            return false;
        }
    }
    false
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
    rand::rng().random_range(0.0..near as f64) < LISTERS
}

/// Asks peers until one gives the list.
async fn ask(front: &Rc<Front>, known: u64) {
    let mut backoff = Backoff::new();
    loop {
        backoff.pause_for_peers().await;
        let Some(peer) = ahead(front, known) else {
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

/// A VM that knows more, of the own failure domain if there is one.
fn ahead(front: &Front, known: u64) -> Option<SocketAddr> {
    let home = &front.failure_domain;
    let ahead = front.peers.ahead(known);
    let near = ahead.iter().filter(|(_, domain)| domain == home);
    let near: Vec<_> = near.collect();
    let rng = &mut rand::rng();
    let chosen = near.choose(rng).copied().or_else(|| ahead.choose(rng));
    chosen.map(|(addr, _)| *addr)
}
