//! Where the peers are, and what was heard of them last.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::Digest;
use trouttrack_telemetry::{events, record};

/// Silence after which a peer counts as lost: several heartbeats, and as long
/// as core's tables count its use of upstreams.
const SILENCE: Duration = Duration::from_secs(5);
/// A VM heard of this recently is still there: a few heartbeats.
const SURELY_ALIVE: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Heard {
    at: Time,
    incarnation: u64,
    sequence: u64,
    draining: bool,
}

/// Peers, by VM name.
#[derive(Debug)]
pub struct PeerTable {
    own: String,
    addresses: RefCell<HashMap<String, SocketAddr>>,
    heard: RefCell<HashMap<String, Heard>>,
}

impl PeerTable {
    /// An empty table of the VM called `own`.
    #[must_use]
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            addresses: RefCell::default(),
            heard: RefCell::default(),
        }
    }

    /// A VM is listed.
    pub fn insert(&self, name: &str, addr: SocketAddr) {
        self.addresses.borrow_mut().insert(name.to_owned(), addr);
    }

    /// A VM is not listed any more.
    pub fn remove(&self, name: &str) {
        self.addresses.borrow_mut().remove(name);
    }

    /// How many VMs are listed, this one included once it is.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.addresses.borrow().len()
    }

    /// The addresses of the other VMs.
    #[must_use]
    pub fn others(&self) -> Vec<SocketAddr> {
        let addresses = self.addresses.borrow();
        let others = addresses.iter().filter(|(name, _)| **name != self.own);
        others.map(|(_, addr)| *addr).collect()
    }

    /// Whether a VM that was heard of lately takes requests.
    #[must_use]
    pub fn any_serves(&self, now: Time) -> bool {
        let heard = self.heard.borrow();
        let mut lately = heard
            .values()
            .filter(|h| now.saturating_sub(h.at) < SURELY_ALIVE);
        lately.any(|h| !h.draining)
    }

    /// Takes in a digest. Returns whether it is newer than the last one of its
    /// sender: datagrams may overtake each other; a restarted sender counts
    /// anew.
    pub fn hear(&self, now: Time, digest: &Digest) -> bool {
        let mut heard = self.heard.borrow_mut();
        match heard.get(&digest.name) {
            Some(last) => {
                let same_life = last.incarnation == digest.incarnation;
                if same_life && last.sequence >= digest.sequence {
                    return false;
                }
            }
            None => record!(
                events::PEER_SEEN,
                peer = digest.name.as_str(),
                config_version = digest.config_version,
            ),
        }
        let last = Heard {
            at: now,
            incarnation: digest.incarnation,
            sequence: digest.sequence,
            draining: digest.draining,
        };
        heard.insert(digest.name.clone(), last);
        true
    }

    /// Forgets peers that have been silent for too long.
    pub fn forget_silent(&self, now: Time) {
        let mut heard = self.heard.borrow_mut();
        heard.retain(|name, last| {
            let age = now.saturating_sub(last.at);
            let keeps = age < SILENCE;
            if !keeps {
                record!(
                    events::PEER_LOST,
                    peer = name.as_str(),
                    age_ms = age.as_millis() as u64,
                );
            }
            keeps
        });
    }
}
