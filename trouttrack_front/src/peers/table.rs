//! Where the peers are, and what was heard of them last.

use super::message::{Echo, Heartbeat, Load};
use rand::seq::IndexedRandom;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use trouttrack_core::membership::{
    Revision, SentTimes, WatcherElection, heartbeat_interval, peer_timeout,
    watcher_heartbeat_interval,
};
use trouttrack_core::{ConfigVersion, FailureDomain, Time};
use trouttrack_telemetry::{events, record};

/// The shortest silence after which a peer counts as lost: several heartbeats, and as
/// long as core's tables count its use of upstreams.
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
    /// The version of the configuration in force there.
    pub config_version: ConfigVersion,
    /// The store's revision up to which it knows the upstreams' entries.
    pub upstreams_revision: Revision,
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
    listed: RefCell<HashMap<String, Listed>>,
    heard: RefCell<HashMap<String, Heard>>,
    /// The peer of the own failure domain that was the last to say that it watches.
    watcher: RefCell<Option<String>>,
    /// Since when the VMs that the store lists are known.
    listed_at: Cell<Option<Time>>,
    /// Whether peers no longer remember what this VM has missed.
    far_behind: Cell<bool>,
    /// Someone knows more of the store than this VM.
    behind: Notify,
    /// Where datagrams are sent from, once that is known.
    socket: OnceCell<Rc<UdpSocket>>,
    /// Whether this VM watches the store.
    election: Cell<WatcherElection>,
    /// Something has changed that the next heartbeats are to say at once.
    announcement: Notify,
}

/// A VM that the store lists, or that was heard of.
#[derive(Clone, Debug)]
struct Listed {
    addr: SocketAddr,
    failure_domain: FailureDomain,
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
            listed: RefCell::default(),
            heard: RefCell::default(),
            watcher: RefCell::default(),
            listed_at: Cell::new(None),
            far_behind: Cell::new(false),
            behind: Notify::new(),
            socket: OnceCell::new(),
            election: Cell::default(),
            announcement: Notify::new(),
        }
    }

    /// Datagrams are sent from this socket.
    pub(crate) fn set_socket(&self, socket: &Rc<UdpSocket>) {
        if self.socket.set(Rc::clone(socket)).is_err() {
            log::error!("the socket of the peers was set before");
        }
    }

    /// Where datagrams are sent from, once that is known.
    pub(super) fn socket(&self) -> Option<Rc<UdpSocket>> {
        self.socket.get().cloned()
    }

    /// A VM is listed.
    pub fn insert(&self, name: &str, addr: SocketAddr, failure_domain: &str) {
        let failure_domain = failure_domain.to_owned();
        let listed = Listed {
            addr,
            failure_domain,
        };
        self.listed.borrow_mut().insert(name.to_owned(), listed);
    }

    /// The VMs that the store lists are all known.
    pub(crate) fn set_listed(&self, now: Time) {
        if self.listed_at.get().is_none() {
            self.listed_at.set(Some(now));
            self.announce();
        }
    }

    /// Since when the VMs that the store lists are known.
    pub(crate) fn listed_at(&self) -> Option<Time> {
        self.listed_at.get()
    }

    /// How many VMs are listed, this one included once it is.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.listed.borrow().len()
    }

    /// How many VMs of a failure domain are listed.
    #[must_use]
    pub fn listed_in(&self, failure_domain: &str) -> usize {
        let listed = self.listed.borrow();
        let there = listed
            .values()
            .filter(|l| l.failure_domain == failure_domain);
        there.count()
    }

    /// How many peers of a failure domain were heard of lately.
    #[must_use]
    pub fn heard_near(&self, failure_domain: &str) -> usize {
        self.count_heard(|_, h| h.failure_domain == failure_domain)
    }

    /// The pause between two heartbeats of a VM.
    #[must_use]
    pub fn pause(&self) -> Duration {
        heartbeat_interval(self.listed())
    }

    /// The pause between two heartbeats of a VM that watches the store.
    #[must_use]
    pub fn watcher_heartbeat_interval(&self) -> Duration {
        watcher_heartbeat_interval(self.listed())
    }

    /// The other VMs.
    #[must_use]
    pub fn others(&self) -> Vec<(String, SocketAddr)> {
        let listed = self.listed.borrow();
        let others = listed.iter().filter(|(name, _)| **name != self.own);
        others.map(|(name, l)| (name.clone(), l.addr)).collect()
    }

    /// Whether a VM stands in a failure domain.
    #[must_use]
    pub fn is_in(&self, name: &str, failure_domain: &str) -> bool {
        let listed = self.listed.borrow();
        listed
            .get(name)
            .is_some_and(|l| l.failure_domain == failure_domain)
    }

    /// What was heard of a peer lately.
    pub(super) fn heard(&self, name: &str) -> Option<Heard> {
        self.heard.borrow().get(name).cloned()
    }

    /// Changes whether this VM watches the store, and returns what that comes to.
    pub(super) fn election<T>(&self, f: impl FnOnce(&mut WatcherElection) -> T) -> T {
        let before = self.election.get();
        let mut election = before;
        let outcome = f(&mut election);
        self.election.set(election);
        if election.is_watcher() && !before.is_watcher() {
            record!(events::WATCH_TAKEN, vm = self.own.as_str());
            self.announce();
        }
        if before.is_watcher() && !election.is_watcher() {
            record!(events::WATCH_LEFT, vm = self.own.as_str());
        }
        outcome
    }

    /// Something has changed that other VMs are to hear of at once, such as who watches
    /// the store, or an evacuation.
    pub fn announce(&self) {
        self.announcement.notify_one();
    }

    /// Waits until heartbeats are due at once.
    pub async fn announcement(&self) {
        self.announcement.notified().await;
    }

    /// The peers heard of lately.
    #[must_use]
    pub fn names_heard(&self) -> Vec<String> {
        self.heard.borrow().keys().cloned().collect()
    }

    /// Whether a peer was heard of lately.
    #[must_use]
    pub fn has_heard(&self, name: &str) -> bool {
        self.heard.borrow().contains_key(name)
    }

    /// The addresses of the peers heard of lately in the failure domains of which
    /// something holds.
    #[must_use]
    pub fn heard_in(&self, f: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let (heard, listed) = (self.heard.borrow(), self.listed.borrow());
        let found = heard.iter().filter(|(_, h)| f(&h.failure_domain));
        found
            .filter_map(|(name, _)| listed.get(name).map(|l| l.addr))
            .collect()
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

    /// Whether the store has answered a peer of a failure domain within `longest`, as
    /// far as was heard.
    #[must_use]
    pub fn any_near_in_contact(&self, home: &str, now: Time, longest: Duration) -> bool {
        let answered = |_: &str, h: &Heard| {
            let age = h.store_age.map(|age| age + now.saturating_sub(h.at));
            h.failure_domain == home && age.is_some_and(|age| age < longest)
        };
        self.count_heard(answered) > 0
    }

    /// How many peers something holds of.
    pub(super) fn count_heard(&self, f: impl Fn(&str, &Heard) -> bool) -> usize {
        let heard = self.heard.borrow();
        heard.iter().filter(|(name, h)| f(name, h)).count()
    }

    /// Draws a peer of which something holds, as far as was heard; one that is preferred,
    /// if there is any.
    pub(crate) fn draw(
        &self,
        holds: impl Fn(&Heard) -> bool,
        preferred: impl Fn(&Heard) -> bool,
    ) -> Option<SocketAddr> {
        let (heard, listed) = (self.heard.borrow(), self.listed.borrow());
        let found = heard.iter().filter(|(_, h)| holds(h));
        let found = found.filter_map(|(name, h)| Some((h, listed.get(name)?.addr)));
        let (first, others): (Vec<_>, Vec<_>) = found.partition(|(h, _)| preferred(h));
        let rng = &mut rand::rng();
        let drawn = first.choose(rng).or_else(|| others.choose(rng));
        drawn.map(|(_, addr)| *addr)
    }

    /// Whether peers no longer remember what this VM has missed.
    pub(crate) fn is_far_behind(&self) -> bool {
        self.far_behind.get()
    }

    /// A peer no longer remembers what this VM has missed, or it is made up for.
    pub(crate) fn set_far_behind(&self, far_behind: bool) {
        self.far_behind.set(far_behind);
    }

    /// Draws a peer that knows the upstreams' entries beyond a revision, of the failure
    /// domain `home` if there is one.
    pub(crate) fn draw_ahead(&self, home: &str, known: Revision) -> Option<SocketAddr> {
        let knows_more = |h: &Heard| h.upstreams_revision > known;
        self.draw(knows_more, |h| h.failure_domain == home)
    }

    /// The newest version of the configuration that a peer has in force; 0 if no peer has one.
    #[must_use]
    pub fn newest_config(&self) -> ConfigVersion {
        let heard = self.heard.borrow();
        heard.values().map(|h| h.config_version).max().unwrap_or(0)
    }

    /// The newest revision up to which a peer knows the upstreams' entries.
    #[must_use]
    pub fn newest_upstreams(&self) -> Revision {
        let heard = self.heard.borrow();
        heard
            .values()
            .map(|h| h.upstreams_revision)
            .max()
            .unwrap_or_default()
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

    /// The time since which something holds that was `age` old when its sender had heard a
    /// datagram of ours.
    pub(super) fn earliest_time(&self, echo: Echo, age: Duration) -> Option<Time> {
        if echo.incarnation != self.incarnation {
            return None;
        }
        self.sent.borrow().earliest_time(echo.sequence, age)
    }

    /// A peer of the own failure domain said that it watches the store.
    pub(super) fn set_watcher(&self, name: &str) {
        *self.watcher.borrow_mut() = Some(name.to_owned());
    }

    /// Where the peer is that was the last to say that it watches.
    pub(super) fn watcher(&self) -> Option<SocketAddr> {
        let watcher = self.watcher.borrow();
        let listed = self.listed.borrow();
        listed.get(watcher.as_ref()?).map(|l| l.addr)
    }

    /// Takes in a heartbeat. Returns whether it is newer than the last one of
    /// its sender: datagrams may overtake each other; a restarted sender counts
    /// anew. A peer of the own failure domain, `home`, is logged when it is first heard.
    pub(super) fn hear(&self, now: Time, heartbeat: &Heartbeat, home: &str) -> bool {
        let digest = &heartbeat.digest;
        let mut heard = self.heard.borrow_mut();
        match heard.get(&digest.name) {
            Some(known) => {
                let same_life = known.last.incarnation == digest.incarnation;
                if same_life && known.last.sequence >= digest.sequence {
                    return false;
                }
            }
            None if digest.failure_domain == home => record!(
                events::PEER_SEEN,
                peer = digest.name.as_str(),
                config_version = digest.config_version,
            ),
            None => {}
        }
        let last = Heard {
            at: now,
            failure_domain: digest.failure_domain.clone(),
            draining: digest.draining,
            config_version: digest.config_version,
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

    /// Takes in a change of a peer's load. Returns where the peer stands, if it is known
    /// and has said nothing newer.
    pub(super) fn hear_load(&self, now: Time, load: &Load) -> Option<FailureDomain> {
        let mut heard = self.heard.borrow_mut();
        let known = heard.get_mut(&load.name)?;
        let same_life = known.last.incarnation == load.number.incarnation;
        if !same_life || known.last.sequence >= load.number.sequence {
            return None;
        }
        // The heartbeat's word on the store is as old as before.
        let since = now.saturating_sub(known.at);
        known.store_age = known.store_age.map(|age| age + since);
        known.at = now;
        known.last = load.number;
        Some(known.failure_domain.clone())
    }

    /// Forgets peers that have been silent for too long. One of the own failure domain,
    /// `home`, is lost then; others are heard when a draw falls on this VM, so that
    /// their silence says nothing.
    pub fn forget_silent(&self, now: Time, home: &str) {
        let near = self.heard_near(home);
        let missed = peer_timeout(self.listed(), near);
        let mut heard = self.heard.borrow_mut();
        heard.retain(|name, last| {
            let age = now.saturating_sub(last.at);
            let near = last.failure_domain == home;
            let longest = if near { missed.max(SILENCE) } else { SILENCE };
            let keeps = age < longest;
            if !keeps && near {
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
