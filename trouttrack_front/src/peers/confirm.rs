//! Exchange of configuration confirmations between VMs.
//!
//! A removed key must be refused within a bound, so every VM needs a confirmation that is at
//! most some seconds old, while each call to the store is paid for. In a small fleet
//! heartbeats carry the confirmations. In a large one a VM's heartbeats rarely reach its
//! watcher, and a confirmation can be dated no later than the heartbeat that it echoes: at
//! 985 VMs it would be 32 s old. A VM therefore requests the confirmation that it needs, and
//! dates it by the time of the request.

use super::message::{Confirmation, Datagram, Echo, Heartbeat};
use super::post::post;
use super::roles::watches_store;
use super::table::PeerState;
use crate::state::Front;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::ConfigVersion;
use trouttrack_core::membership::{CONFIRMATION_RETRY_INTERVAL, PEER_REQUEST_AGE};

/// Longest interval between requests: while the store is unreachable, no peer has a newer
/// confirmation.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_millis(800);
/// Longest interval between checks of the age: a reload may lower the bounds.
const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval between checks of the age.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Requests a confirmation from peers when this VM's own grows old. Requests alternate between
/// the watcher and a VM of another failure domain, as the watcher may be gone. Runs until the
/// process ends.
pub(crate) async fn keep_confirmed(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut interval = CONFIRMATION_RETRY_INTERVAL;
    let mut ask_watcher = true;
    loop {
        if let Some(left) = time_left(&front) {
            interval = CONFIRMATION_RETRY_INTERVAL;
            ask_watcher = true;
            tokio::time::sleep(left.clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL)).await;
            continue;
        }
        ask(&front, &socket, ask_watcher);
        ask_watcher = !ask_watcher;
        tokio::time::sleep(interval).await;
        interval = (interval * 2).min(MAX_REQUEST_INTERVAL);
    }
}

/// Time until a new confirmation is due; `None` if one must be requested now.
fn time_left(front: &Front) -> Option<Duration> {
    if !front.routing.is_known() || watches_store(front) {
        return Some(MAX_CHECK_INTERVAL);
    }
    let due = front.routing.renewed_after().mul_f64(PEER_REQUEST_AGE);
    let left = due.checked_sub(front.routing.age()?)?;
    (!left.is_zero()).then_some(left)
}

fn ask(front: &Front, socket: &UdpSocket, ask_watcher: bool) {
    let watcher = front.peers.watcher().filter(|_| ask_watcher);
    let Some(peer) = watcher.or_else(|| random_confirmer(front)) else {
        return;
    };
    let number = front.peers.next(front.clock.now());
    post(socket, &Datagram::ConfirmationWanted(number), peer);
}

/// Returns a random peer that has the same configuration in force, preferring one of another
/// failure domain.
fn random_confirmer(front: &Front) -> Option<SocketAddr> {
    let own = front.routing.version();
    let has_same = |h: &PeerState| h.config_version == own;
    let is_far = |h: &PeerState| h.failure_domain != front.failure_domain;
    front.peers.random_peer(has_same, is_far)
}

/// Replies to a request for a confirmation.
pub(super) fn answer(front: &Front, socket: &UdpSocket, peer: SocketAddr, echo: Echo) {
    let Some(age_ms) = front.routing.age_ms() else {
        return;
    };
    let reply = Confirmation {
        echo,
        config_version: front.routing.version(),
        age_ms,
    };
    post(socket, &Datagram::Confirmation(reply), peer);
}

/// Applies a confirmation received in reply to a request.
pub(super) fn apply(front: &Front, received: &Confirmation) {
    let age = Duration::from_millis(received.age_ms);
    confirmed(front, received.config_version, received.echo, age);
}

/// Applies the confirmation that a heartbeat carries.
pub(super) fn receive_heartbeat(front: &Front, heartbeat: &Heartbeat) {
    if let (Some(age_ms), Some(echo)) = (heartbeat.confirmed_ms, heartbeat.echo) {
        let age = Duration::from_millis(age_ms);
        confirmed(front, heartbeat.digest.config_version, echo, age);
    }
}

/// Records that a peer's configuration was confirmed `age` before the peer replied to this VM's
/// datagram `echo`.
fn confirmed(front: &Front, config_version: ConfigVersion, echo: Echo, age: Duration) {
    if config_version != front.routing.version() || !front.routing.is_known() {
        return;
    }
    if let Some(at) = front.peers.earliest_time(echo, age) {
        front.routing.confirmed(at);
    }
}
