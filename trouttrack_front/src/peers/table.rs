//! Where the peers are, and what was heard of them last.

use super::message::{Echo, Heartbeat};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;
use trouttrack_core::membership::SentTimes;
use trouttrack_core::{FailureDomain, Time};
use trouttrack_telemetry::{events, record};

/// Silence after which a peer counts as lost: several heartbeats, and as long
/// as core's tables count its use of upstreams.
const SILENCE: Duration = Duration::from_secs(5);
/// A VM heard of this recently is still there: a few heartbeats.
const SURELY_ALIVE: Duration = Duration::from_secs(1);

/// What was heard of a peer last.
#[derive(Clone, Debug)]
pub struct Heard {
    /// When.
    pub at: Time,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// Whether it is stopping.
    pub draining: bool,
    /// How long before that the store had last answered it.
    pub store_age: Option<Duration>,
    /// The store's revision of the configuration in force there.
    pub config_revision: u64,
    /// The store's revision up to which it knows the upstreams' entries.
    pub upstreams_revision: u64,
    /// The heartbeat itself.
    last: Echo,
}

/// Peers, by VM name.
#[derive(Debug)]
pub struct PeerTable {
    own: String,
    incarnation: u64,
    sequence: Cell<u64>,
    sent: RefCell<SentTimes>,
    addresses: RefCell<HashMap<String, SocketAddr>>,
    heard: RefCell<HashMap<String, Heard>>,
    /// Someone knows more of the store than this VM.
    behind: Notify,
}

impl PeerTable {
    /// An empty table of the VM called `own`.
    #[must_use]
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            incarnation: rand::random(),
            sequence: Cell::new(0),
            sent: RefCell::default(),
            addresses: RefCell::default(),
            heard: RefCell::default(),
            behind: Notify::new(),
        }
    }

    /// A VM is listed.
    pub fn insert(&self, name: &str, addr: SocketAddr) {
        self.addresses.borrow_mut().insert(name.to_owned(), addr);
    }

    /// How many VMs are listed, this one included once it is.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.addresses.borrow().len()
    }

    /// The other VMs.
    #[must_use]
    pub fn others(&self) -> Vec<(String, SocketAddr)> {
        let addresses = self.addresses.borrow();
        let others = addresses.iter().filter(|(name, _)| **name != self.own);
        others.map(|(name, addr)| (name.clone(), *addr)).collect()
    }

    /// Whether a peer was last heard of in a failure domain.
    #[must_use]
    pub fn is_in(&self, name: &str, failure_domain: &str) -> bool {
        let heard = self.heard.borrow();
        heard
            .get(name)
            .is_some_and(|h| h.failure_domain == failure_domain)
    }

    /// Whether a VM that was heard of lately takes requests.
    #[must_use]
    pub fn any_serves(&self, now: Time) -> bool {
        let serves = |h: &Heard| !h.draining && now.saturating_sub(h.at) < SURELY_ALIVE;
        self.heard.borrow().values().any(serves)
    }

    /// Whether the store has answered a peer within `longest`, as far as was heard.
    #[must_use]
    pub fn any_in_contact(&self, now: Time, longest: Duration) -> bool {
        let answered = |h: &Heard| {
            let age = h.store_age.map(|age| age + now.saturating_sub(h.at));
            age.is_some_and(|age| age < longest)
        };
        self.heard.borrow().values().any(answered)
    }

    /// The peers of which something holds.
    #[must_use]
    pub fn heard_where(&self, f: impl Fn(&Heard) -> bool) -> Vec<String> {
        let heard = self.heard.borrow();
        let found = heard.iter().filter(|(_, h)| f(h));
        found.map(|(name, _)| name.clone()).collect()
    }

    /// The newest revision of the configuration that a peer has in force.
    #[must_use]
    pub fn newest_config(&self) -> u64 {
        let heard = self.heard.borrow();
        heard.values().map(|h| h.config_revision).max().unwrap_or(0)
    }

    /// The newest revision up to which a peer knows the upstreams' entries.
    #[must_use]
    pub fn newest_upstreams(&self) -> u64 {
        let heard = self.heard.borrow();
        heard
            .values()
            .map(|h| h.upstreams_revision)
            .max()
            .unwrap_or(0)
    }

    /// Numbers the next heartbeat.
    pub(super) fn next(&self, now: Time) -> Echo {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        self.sent.borrow_mut().sent(sequence, now);
        Echo {
            incarnation: self.incarnation,
            sequence,
        }
    }

    /// The last heartbeat heard from a peer.
    pub(super) fn echo(&self, name: &str) -> Option<Echo> {
        self.heard.borrow().get(name).map(|h| h.last)
    }

    /// The time since which something holds that a heartbeat called `age` old.
    pub(super) fn at_least(&self, heartbeat: &Heartbeat, age: Duration) -> Option<Time> {
        let echo = heartbeat.echo?;
        if echo.incarnation != self.incarnation {
            return None;
        }
        self.sent.borrow().at_least(echo.sequence, age)
    }

    /// Takes in a heartbeat. Returns whether it is newer than the last one of
    /// its sender: datagrams may overtake each other; a restarted sender counts
    /// anew.
    pub(super) fn hear(&self, now: Time, heartbeat: &Heartbeat) -> bool {
        let digest = &heartbeat.digest;
        let mut heard = self.heard.borrow_mut();
        match heard.get(&digest.name) {
            Some(known) => {
                let same_life = known.last.incarnation == digest.incarnation;
                if same_life && known.last.sequence >= digest.sequence {
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
            failure_domain: digest.failure_domain.clone(),
            draining: digest.draining,
            config_revision: heartbeat.config_revision,
            upstreams_revision: heartbeat.upstreams_revision,
            store_age: heartbeat.store_ms.map(Duration::from_millis),
            last: Echo {
                incarnation: digest.incarnation,
                sequence: digest.sequence,
            },
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

    /// Someone knows more of the store than this VM.
    pub fn set_behind(&self) {
        self.behind.notify_waiters();
    }

    /// Waits until someone knows more of the store than this VM.
    pub async fn behind(&self) {
        self.behind.notified().await;
    }
}
