//! Where the peers are, and what was heard of them last.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::Digest;
use trouttrack_telemetry::{events, record};

/// Silence after which a peer counts as lost: several heartbeats, and as long
/// as core's tables count its use of upstreams.
const SILENCE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Heard {
    at: Time,
    incarnation: u64,
    sequence: u64,
}

/// Peers, by VM name.
#[derive(Clone, Debug, Default)]
pub struct PeerAddresses {
    addresses: Rc<RefCell<HashMap<String, SocketAddr>>>,
    heard: Rc<RefCell<HashMap<String, Heard>>>,
}

impl PeerAddresses {
    /// A VM is listed.
    pub fn insert(&self, name: &str, addr: SocketAddr) {
        self.addresses.borrow_mut().insert(name.to_owned(), addr);
    }

    /// A VM is not listed any more.
    pub fn remove(&self, name: &str) {
        self.addresses.borrow_mut().remove(name);
    }

    /// How many VMs are listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.addresses.borrow().len()
    }

    /// Whether none is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The addresses of all but the VM called `own`.
    #[must_use]
    pub fn others(&self, own: &str) -> Vec<SocketAddr> {
        let addresses = self.addresses.borrow();
        let others = addresses.iter().filter(|(name, _)| *name != own);
        others.map(|(_, addr)| *addr).collect()
    }

    /// Whether a digest is newer than the last one of its sender. Datagrams
    /// may overtake each other; a restarted sender counts anew.
    pub fn is_news(&self, now: Time, digest: &Digest) -> bool {
        let mut heard = self.heard.borrow_mut();
        if let Some(last) = heard.get(&digest.name) {
            let same_life = last.incarnation == digest.incarnation;
            if same_life && last.sequence >= digest.sequence {
                return false;
            }
        } else {
            record!(
                events::PEER_SEEN,
                peer = digest.name.as_str(),
                config_version = digest.config_version,
            );
        }
        heard.insert(
            digest.name.clone(),
            Heard {
                at: now,
                incarnation: digest.incarnation,
                sequence: digest.sequence,
            },
        );
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
