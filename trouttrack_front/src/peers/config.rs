//! Exchange of configurations between VMs.
//!
//! A VM that learns of a newer configuration requests it from the peer that has it, and
//! from the store only if no reply arrives. Otherwise each change would cost one store call
//! per VM.

use super::message::{Datagram, StoredConfig};
use super::post::post;
use super::transfer::fetch_config;
use crate::follow;
use crate::state::Front;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use trouttrack_core::{ConfigVersion, Time};

/// Largest configuration sent in a datagram. Larger ones are fetched over HTTP.
const MAX_DATAGRAM_CONFIG_BYTES: usize = 40_000;
/// Minimum interval between requests. A reply that has not arrived by then was lost.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between replies. All VMs may ask the first one that has a change, and
/// the slowest links, 10 Mbit/s, take 8 ms for ten kilobytes.
const REPLY_INTERVAL: Duration = Duration::from_millis(10);

/// Rate limits and state of the configuration exchange over one socket.
#[derive(Debug, Default)]
pub(super) struct ConfigExchange {
    requested_at: Cell<Option<Time>>,
    replied_at: Cell<Option<Time>>,
    /// Whether a fetch is in progress.
    fetching: Rc<Cell<bool>>,
}

impl ConfigExchange {
    /// Requests the configuration from a peer that has a newer one.
    pub(super) fn ask(&self, front: &Front, socket: &UdpSocket, peer: SocketAddr) {
        if interval_elapsed(front, &self.requested_at, REQUEST_INTERVAL) {
            post(socket, &Datagram::ConfigWanted, peer);
        }
    }

    /// Replies to a request for the configuration. If it is too large for a datagram, or was
    /// just sent to another VM, the reply offers it for fetching instead: nearly all VMs of a
    /// failure domain ask at the same moment, and each one left without a reply asked again
    /// after a quarter of a second.
    pub(super) fn answer(&self, front: &Front, socket: &UdpSocket, peer: SocketAddr) {
        let Some(spec) = front.routing.spec() else {
            return;
        };
        let fits = spec.len() <= MAX_DATAGRAM_CONFIG_BYTES;
        let answer = match fits && interval_elapsed(front, &self.replied_at, REPLY_INTERVAL) {
            true => Datagram::Config(StoredConfig {
                revision: front.routing.revision(),
                spec: spec.as_ref().into(),
            }),
            false => Datagram::ConfigReady(front.routing.version()),
        };
        post(socket, &answer, peer);
    }

    /// Fetches a newer configuration from a peer, unless a fetch is already in progress.
    pub(super) fn fetch(&self, front: &Rc<Front>, peer: SocketAddr, version: ConfigVersion) {
        if version <= front.routing.version() || self.fetching.replace(true) {
            return;
        }
        let (front, fetching) = (Rc::clone(front), Rc::clone(&self.fetching));
        actix_rt::spawn(async move {
            let known = front.routing.version();
            let received = fetch_config(&front, peer, known).await;
            fetching.set(false);
            if let Some(received) = received {
                apply(&front, &received);
            }
        });
    }
}

/// Repeats the request for the configuration to a random peer that has a newer one, without
/// regard to the minimum interval.
pub(crate) fn request_config(front: &Front) {
    let Some(socket) = front.peers.socket() else {
        return;
    };
    let known = front.routing.version();
    let newer = front
        .peers
        .random_peer(|h| h.config_version > known, |_| true);
    if let Some(addr) = newer {
        post(&socket, &Datagram::ConfigWanted, addr);
    }
}

/// Applies a configuration received from a peer.
pub(super) fn apply(front: &Rc<Front>, received: &StoredConfig) {
    follow::apply_config(front, received.revision, &received.spec);
}

/// Returns whether `interval` has passed since `last`, and if so sets `last` to now.
fn interval_elapsed(front: &Front, last: &Cell<Option<Time>>, interval: Duration) -> bool {
    let now = front.clock.now();
    let elapsed = last.get().is_none_or(|at| now >= at + interval);
    if elapsed {
        last.set(Some(now));
    }
    elapsed
}
