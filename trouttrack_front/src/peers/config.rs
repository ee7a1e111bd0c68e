//! Configurations passed from VM to VM.
//!
//! A VM that hears of a newer configuration asks the one that has it, and the store
//! only if no answer comes: otherwise each change costs a call for every VM. At 66 VMs
//! and some dozen changes a day that was a third of all calls; without it the calls
//! cost 0.0037 of the worth more.

use super::message::{Datagram, ToldConfig};
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

/// The largest configuration that is passed on in a datagram. A larger one is fetched.
const MOST_BYTES: usize = 40_000;
/// Pause between two requests: an answer is there before, or was lost.
const ASK_AGAIN: Duration = Duration::from_millis(100);
/// Pause between two answers. All VMs may ask the first one that has a change, and
/// the slowest links carry 10 Mbit/s: ten kilobytes in 8 ms.
const ANSWER_AGAIN: Duration = Duration::from_millis(10);

/// Passes configurations over one socket.
#[derive(Debug, Default)]
pub(super) struct ConfigExchange {
    asked_at: Cell<Option<Time>>,
    answered_at: Cell<Option<Time>>,
    /// Whether a configuration is on its way here.
    fetching: Rc<Cell<bool>>,
}

impl ConfigExchange {
    /// Asks a VM that has a newer configuration.
    pub(super) fn ask(&self, front: &Front, socket: &UdpSocket, peer: SocketAddr) {
        if may_again(front, &self.asked_at, ASK_AGAIN) {
            post(socket, &Datagram::ConfigWanted, peer);
        }
    }

    /// Answers a VM that asks. What is too large for a datagram, or was just sent to another
    /// VM, may be fetched: nearly all of a failure domain ask at one moment, and each that
    /// got no answer asked again after a quarter of a second.
    pub(super) fn answer(&self, front: &Front, socket: &UdpSocket, peer: SocketAddr) {
        let Some(spec) = front.routing.spec() else {
            return;
        };
        let fits = spec.len() <= MOST_BYTES;
        let answer = match fits && may_again(front, &self.answered_at, ANSWER_AGAIN) {
            true => Datagram::Config(ToldConfig {
                revision: front.routing.revision(),
                spec: spec.as_ref().into(),
            }),
            false => Datagram::ConfigReady(front.routing.version()),
        };
        post(socket, &answer, peer);
    }

    /// Fetches a configuration that a VM has, unless another one is being fetched.
    pub(super) fn fetch(&self, front: &Rc<Front>, peer: SocketAddr, version: ConfigVersion) {
        if version <= front.routing.version() || self.fetching.replace(true) {
            return;
        }
        let (front, fetching) = (Rc::clone(front), Rc::clone(&self.fetching));
        actix_rt::spawn(async move {
            let known = front.routing.version();
            let told = fetch_config(&front, peer, known).await;
            fetching.set(false);
            if let Some(told) = told {
                take(&front, &told);
            }
        });
    }
}

/// Asks a VM that has a newer configuration, once more.
pub(crate) fn ask_for_config(front: &Front) {
    let Some(socket) = front.peers.socket() else {
        return;
    };
    let known = front.routing.version();
    let newer = front.peers.draw(|h| h.config_version > known, |_| true);
    if let Some(addr) = newer {
        post(&socket, &Datagram::ConfigWanted, addr);
    }
}

/// Takes in a configuration that another VM has in force.
pub(super) fn take(front: &Rc<Front>, told: &ToldConfig) {
    follow::take_config(front, told.revision, &told.spec);
}

/// Whether a pause has passed since a time, which is then set to now.
fn may_again(front: &Front, last: &Cell<Option<Time>>, pause: Duration) -> bool {
    let now = front.clock.now();
    let again = last.get().is_none_or(|at| now >= at + pause);
    if again {
        last.set(Some(now));
    }
    again
}
