//! Confirmations of the configuration, passed from VM to VM.
//!
//! A removed key must be refused within a bound, so every VM needs a confirmation that is
//! some seconds old at most, and each call to the store is paid for. Heartbeats bring them
//! in a small fleet. In a large one a VM's own heartbeats reach its watcher seldom, and
//! what is said in answer to an old one is worth little: at 985 VMs it would be 32 s old.
//! So a VM asks for the confirmation that it needs, and knows when it asked.

use super::message::{Confirmation, Datagram, Echo, Heartbeat};
use super::post::post;
use super::roles::watches_store;
use super::table::Heard;
use crate::state::Front;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::ConfigVersion;
use trouttrack_core::membership::{CONFIRMATION_RETRY_INTERVAL, PEER_REQUEST_AGE};

/// The longest pause: while the store is away nobody has a newer confirmation.
const ASK_AT_LEAST: Duration = Duration::from_millis(800);
/// The longest pause between two looks at the age: bounds may be lowered by a reload.
const LOOK_AT_LEAST: Duration = Duration::from_millis(500);
/// The shortest one.
const LOOK: Duration = Duration::from_millis(20);

/// Asks peers when the own confirmation grows old: the watcher, and each second time a VM
/// of another failure domain, for the own watcher may be
/// gone. Goes on for as long as the process runs.
pub(crate) async fn keep_confirmed(front: Rc<Front>, socket: Rc<UdpSocket>) {
    let mut pause = CONFIRMATION_RETRY_INTERVAL;
    let mut of_watcher = true;
    loop {
        if let Some(left) = time_left(&front) {
            pause = CONFIRMATION_RETRY_INTERVAL;
            of_watcher = true;
            tokio::time::sleep(left.clamp(LOOK, LOOK_AT_LEAST)).await;
            continue;
        }
        ask(&front, &socket, of_watcher);
        of_watcher = !of_watcher;
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(ASK_AT_LEAST);
    }
}

/// How long the own confirmation will do; `None` if one is to be asked for.
fn time_left(front: &Front) -> Option<Duration> {
    if !front.routing.is_known() || watches_store(front) {
        return Some(LOOK_AT_LEAST);
    }
    let due = front.routing.renewed_after().mul_f64(PEER_REQUEST_AGE);
    let left = due.checked_sub(front.routing.age()?)?;
    (!left.is_zero()).then_some(left)
}

fn ask(front: &Front, socket: &UdpSocket, of_watcher: bool) {
    let watcher = front.peers.watcher().filter(|_| of_watcher);
    let Some(peer) = watcher.or_else(|| elsewhere(front)) else {
        return;
    };
    let number = front.peers.next(front.clock.now());
    post(socket, &Datagram::ConfirmationWanted(number), peer);
}

/// A VM that has the same configuration in force, of another failure domain if there is
/// one.
fn elsewhere(front: &Front) -> Option<SocketAddr> {
    let own = front.routing.version();
    let has_same = |h: &Heard| h.config_version == own;
    let is_far = |h: &Heard| h.failure_domain != front.failure_domain;
    front.peers.draw(has_same, is_far)
}

/// Answers a VM that asks.
pub(super) fn answer(front: &Front, socket: &UdpSocket, peer: SocketAddr, echo: Echo) {
    let Some(age_ms) = front.routing.age_ms() else {
        return;
    };
    let told = Confirmation {
        echo,
        config_version: front.routing.version(),
        age_ms,
    };
    post(socket, &Datagram::Confirmation(told), peer);
}

/// Takes in an answer.
pub(super) fn take(front: &Front, told: &Confirmation) {
    let age = Duration::from_millis(told.age_ms);
    confirmed(front, told.config_version, told.echo, age);
}

/// Takes in what a heartbeat says of its sender's configuration.
pub(super) fn hear(front: &Front, heartbeat: &Heartbeat) {
    if let (Some(age_ms), Some(echo)) = (heartbeat.confirmed_ms, heartbeat.echo) {
        let age = Duration::from_millis(age_ms);
        confirmed(front, heartbeat.digest.config_version, echo, age);
    }
}

/// A peer has had a configuration confirmed so long before it answered a datagram of ours.
fn confirmed(front: &Front, config_version: ConfigVersion, echo: Echo, age: Duration) {
    if config_version != front.routing.version() || !front.routing.is_known() {
        return;
    }
    if let Some(at) = front.peers.earliest_time(echo, age) {
        front.routing.confirmed(at);
    }
}
