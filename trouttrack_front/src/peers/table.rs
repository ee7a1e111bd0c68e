//! Peer addresses and the state each peer last reported in a heartbeat.

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

/// Minimum time without a heartbeat before a peer is considered lost. Spans several
/// heartbeats and equals the time for which the tables in `trouttrack_core` count the
/// peer's use of upstreams.
const MIN_PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum age of a peer's last message, a few heartbeats, for the peer to be relied on
/// to accept requests.
const RECENT_MESSAGE_WINDOW: Duration = Duration::from_secs(1);

/// The last state received from a peer.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// When the last message was received.
    pub at: Time,
    /// The peer's failure domain.
    pub failure_domain: FailureDomain,
    /// Whether the peer is shutting down.
    pub draining: bool,
    /// Time between the store's last response to the peer and `at`.
    pub store_age: Option<Duration>,
    /// The configuration version in force on the peer.
    pub config_version: ConfigVersion,
    /// The store revision up to which the peer has the upstream entries.
    pub upstreams_revision: Revision,
    /// Incarnation and sequence number of the last message.
    last: Echo,
}

/// Peers, keyed by VM name.
///
/// A peer is live from its first heartbeat until [`PeerTable::forget_silent`] removes it.
#[derive(Debug)]
pub struct PeerTable {
    own: String,
    incarnation: u64,
    sequence: Cell<u64>,
    sent: RefCell<SentTimes>,
    listed: RefCell<HashMap<String, Listed>>,
    /// The live peers.
    live: RefCell<HashMap<String, PeerState>>,
    /// The peer in the local failure domain that most recently announced that it watches
    /// the store.
    watcher: RefCell<Option<String>>,
    /// When the VMs listed in the store were first all known.
    listed_at: Cell<Option<Time>>,
    /// Whether peers no longer retain the updates that this VM has missed.
    far_behind: Cell<bool>,
    /// Signalled when this VM learns that it is missing updates from the store.
    behind: Notify,
    /// The socket from which datagrams are sent, once set.
    socket: OnceCell<Rc<UdpSocket>>,
    /// Whether this VM watches the store.
    election: Cell<WatcherElection>,
    /// Signalled when a change requires immediate heartbeats.
    announcement: Notify,
}

/// A VM listed in the store or known from a message.
#[derive(Clone, Debug)]
struct Listed {
    addr: SocketAddr,
    failure_domain: FailureDomain,
}

impl PeerTable {
    /// Creates an empty table for the VM named `own`.
    #[must_use]
    pub fn new(own: &str) -> Self {
        Self {
            own: own.to_owned(),
            incarnation: rand::random(),
            sequence: Cell::new(0),
            sent: RefCell::default(),
            listed: RefCell::default(),
            live: RefCell::default(),
            watcher: RefCell::default(),
            listed_at: Cell::new(None),
            far_behind: Cell::new(false),
            behind: Notify::new(),
            socket: OnceCell::new(),
            election: Cell::default(),
            announcement: Notify::new(),
        }
    }

    /// Sets the socket from which datagrams are sent. It can be set only once.
    pub(crate) fn set_socket(&self, socket: &Rc<UdpSocket>) {
        if self.socket.set(Rc::clone(socket)).is_err() {
            log::error!("peer socket is already set; ignoring the new one");
        }
    }

    /// The socket from which datagrams are sent, once set.
    pub(super) fn socket(&self) -> Option<Rc<UdpSocket>> {
        self.socket.get().cloned()
    }

    /// Adds a VM, or replaces its address and failure domain.
    pub fn insert(&self, name: &str, addr: SocketAddr, failure_domain: &str) {
        let failure_domain = failure_domain.to_owned();
        let listed = Listed {
            addr,
            failure_domain,
        };
        self.listed.borrow_mut().insert(name.to_owned(), listed);
    }

    /// Records that all VMs listed in the store are known, and requests immediate
    /// heartbeats the first time.
    pub(crate) fn set_listed(&self, now: Time) {
        if self.listed_at.get().is_none() {
            self.listed_at.set(Some(now));
            self.announce();
        }
    }

    /// When the VMs listed in the store were first all known.
    pub(crate) fn listed_at(&self) -> Option<Time> {
        self.listed_at.get()
    }

    /// The number of listed VMs, including this one once it is listed.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.listed.borrow().len()
    }

    /// The number of listed VMs in a failure domain.
    #[must_use]
    pub fn listed_in(&self, failure_domain: &str) -> usize {
        let listed = self.listed.borrow();
        let in_domain = listed
            .values()
            .filter(|l| l.failure_domain == failure_domain);
        in_domain.count()
    }

    /// The number of live peers in a failure domain.
    #[must_use]
    pub fn live_in_domain(&self, failure_domain: &str) -> usize {
        self.count_live(|_, h| h.failure_domain == failure_domain)
    }

    /// The heartbeat interval of a VM.
    #[must_use]
    pub fn pause(&self) -> Duration {
        heartbeat_interval(self.listed())
    }

    /// The heartbeat interval of a VM that watches the store.
    #[must_use]
    pub fn watcher_heartbeat_interval(&self) -> Duration {
        watcher_heartbeat_interval(self.listed())
    }

    /// Names and addresses of all listed VMs except this one.
    #[must_use]
    pub fn others(&self) -> Vec<(String, SocketAddr)> {
        let listed = self.listed.borrow();
        let others = listed.iter().filter(|(name, _)| **name != self.own);
        others.map(|(name, l)| (name.clone(), l.addr)).collect()
    }

    /// Whether a listed VM belongs to a failure domain.
    #[must_use]
    pub fn is_in(&self, name: &str, failure_domain: &str) -> bool {
        let listed = self.listed.borrow();
        listed
            .get(name)
            .is_some_and(|l| l.failure_domain == failure_domain)
    }

    /// The last state received from a peer, if it is live.
    pub(super) fn state_of(&self, name: &str) -> Option<PeerState> {
        self.live.borrow().get(name).cloned()
    }

    /// Updates whether this VM watches the store and returns the closure's result.
    /// Records an event when the watch is taken or given up; taking it also requests
    /// immediate heartbeats.
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

    /// Requests immediate heartbeats after a change that other VMs must learn without
    /// delay, such as a new watcher of the store or an evacuation.
    pub fn announce(&self) {
        self.announcement.notify_one();
    }

    /// Waits until immediate heartbeats are requested.
    pub async fn announcement(&self) {
        self.announcement.notified().await;
    }

    /// The names of all live peers.
    #[must_use]
    pub fn live_names(&self) -> Vec<String> {
        self.live.borrow().keys().cloned().collect()
    }

    /// Whether a peer is live.
    #[must_use]
    pub fn is_live(&self, name: &str) -> bool {
        self.live.borrow().contains_key(name)
    }

    /// The addresses of the live peers in the failure domains that match `f`.
    #[must_use]
    pub fn live_addrs(&self, f: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let (live, listed) = (self.live.borrow(), self.listed.borrow());
        let found = live.iter().filter(|(_, h)| f(&h.failure_domain));
        found
            .filter_map(|(name, _)| listed.get(name).map(|l| l.addr))
            .collect()
    }

    /// Whether any peer whose last message is within `RECENT_MESSAGE_WINDOW` accepts requests, that is,
    /// is not draining.
    #[must_use]
    pub fn any_serves(&self, now: Time) -> bool {
        let serves =
            |h: &PeerState| !h.draining && now.saturating_sub(h.at) < RECENT_MESSAGE_WINDOW;
        self.live.borrow().values().any(serves)
    }

    /// Whether the store has answered any peer within `longest`, according to the last
    /// messages received.
    #[must_use]
    pub fn any_in_contact(&self, now: Time, longest: Duration) -> bool {
        let answered = |h: &PeerState| {
            let age = h.store_age.map(|age| age + now.saturating_sub(h.at));
            age.is_some_and(|age| age < longest)
        };
        self.live.borrow().values().any(answered)
    }

    /// Whether the store has answered any peer in the failure domain `home` within
    /// `longest`, according to the last messages received.
    #[must_use]
    pub fn any_near_in_contact(&self, home: &str, now: Time, longest: Duration) -> bool {
        let answered = |_: &str, h: &PeerState| {
            let age = h.store_age.map(|age| age + now.saturating_sub(h.at));
            h.failure_domain == home && age.is_some_and(|age| age < longest)
        };
        self.count_live(answered) > 0
    }

    /// The number of peers that match `f`.
    pub(super) fn count_live(&self, f: impl Fn(&str, &PeerState) -> bool) -> usize {
        let live = self.live.borrow();
        live.iter().filter(|(name, h)| f(name, h)).count()
    }

    /// Picks a random peer whose last known state matches `holds`, choosing among the
    /// `preferred` ones if there are any.
    pub(crate) fn random_peer(
        &self,
        holds: impl Fn(&PeerState) -> bool,
        preferred: impl Fn(&PeerState) -> bool,
    ) -> Option<SocketAddr> {
        let (live, listed) = (self.live.borrow(), self.listed.borrow());
        let found = live.iter().filter(|(_, h)| holds(h));
        let found = found.filter_map(|(name, h)| Some((h, listed.get(name)?.addr)));
        let (first, others): (Vec<_>, Vec<_>) = found.partition(|(h, _)| preferred(h));
        let rng = &mut rand::rng();
        let selected = first.choose(rng).or_else(|| others.choose(rng));
        selected.map(|(_, addr)| *addr)
    }

    /// Whether peers no longer retain the updates that this VM has missed.
    pub(crate) fn is_far_behind(&self) -> bool {
        self.far_behind.get()
    }

    /// Sets whether this VM has missed updates that a peer no longer retains; cleared
    /// once it has caught up.
    pub(crate) fn set_far_behind(&self, far_behind: bool) {
        self.far_behind.set(far_behind);
    }

    /// Picks a random peer that has upstream entries newer than `known`, preferring the
    /// failure domain `home`.
    pub(crate) fn random_peer_ahead(&self, home: &str, known: Revision) -> Option<SocketAddr> {
        let knows_more = |h: &PeerState| h.upstreams_revision > known;
        self.random_peer(knows_more, |h| h.failure_domain == home)
    }

    /// The newest configuration version in force on any peer; 0 if there is none.
    #[must_use]
    pub fn newest_config(&self) -> ConfigVersion {
        let live = self.live.borrow();
        live.values().map(|h| h.config_version).max().unwrap_or(0)
    }

    /// The newest store revision up to which any peer has the upstream entries.
    #[must_use]
    pub fn newest_upstreams(&self) -> Revision {
        let live = self.live.borrow();
        live.values()
            .map(|h| h.upstreams_revision)
            .max()
            .unwrap_or_default()
    }

    /// Assigns the next sequence number and records when it is sent.
    pub(super) fn next(&self, now: Time) -> Echo {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        self.sent.borrow_mut().sent(sequence, now);
        Echo {
            incarnation: self.incarnation,
            sequence,
        }
    }

    /// Incarnation and sequence number of the last message received from a peer.
    pub(super) fn echo(&self, name: &str) -> Option<Echo> {
        self.live.borrow().get(name).map(|h| h.last)
    }

    /// Lower bound on the local time of an event that was `age` old when its reporter had
    /// received the datagram in `echo`. `None` if that datagram is from another
    /// incarnation of this VM or its send time is not known.
    pub(super) fn earliest_time(&self, echo: Echo, age: Duration) -> Option<Time> {
        if echo.incarnation != self.incarnation {
            return None;
        }
        self.sent.borrow().earliest_time(echo.sequence, age)
    }

    /// Records that a peer in the local failure domain announced that it watches the store.
    pub(super) fn set_watcher(&self, name: &str) {
        *self.watcher.borrow_mut() = Some(name.to_owned());
    }

    /// The address of the peer that most recently announced that it watches the store.
    pub(super) fn watcher(&self) -> Option<SocketAddr> {
        let watcher = self.watcher.borrow();
        let listed = self.listed.borrow();
        listed.get(watcher.as_ref()?).map(|l| l.addr)
    }

    /// Processes a heartbeat. Returns whether it is newer than the last one from its
    /// sender: datagrams may be reordered, and a restarted sender has a new incarnation
    /// and restarts its sequence. The first heartbeat from a peer in the local failure
    /// domain, `home`, is recorded as an event.
    pub(super) fn receive_heartbeat(&self, now: Time, heartbeat: &Heartbeat, home: &str) -> bool {
        let digest = &heartbeat.digest;
        let mut live = self.live.borrow_mut();
        match live.get(&digest.name) {
            Some(known) => {
                let same_incarnation = known.last.incarnation == digest.incarnation;
                if same_incarnation && known.last.sequence >= digest.sequence {
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
        let last = PeerState {
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
        live.insert(digest.name.clone(), last);
        true
    }

    /// Processes a load update from a peer. Returns the peer's failure domain if the peer
    /// is known and has sent nothing newer.
    pub(super) fn receive_load(&self, now: Time, load: &Load) -> Option<FailureDomain> {
        let mut live = self.live.borrow_mut();
        let known = live.get_mut(&load.name)?;
        let same_incarnation = known.last.incarnation == load.number.incarnation;
        if !same_incarnation || known.last.sequence >= load.number.sequence {
            return None;
        }
        // A load update carries no store age: advance the stored one as `at` moves to now.
        let since = now.saturating_sub(known.at);
        known.store_age = known.store_age.map(|age| age + since);
        known.at = now;
        known.last = load.number;
        Some(known.failure_domain.clone())
    }

    /// Removes peers whose last message is too old. A peer in the local failure domain,
    /// `home`, is then reported as lost. A heartbeat from another domain arrives only when
    /// its sender picks this VM at random, so its absence does not indicate a failure.
    pub fn forget_silent(&self, now: Time, home: &str) {
        let near = self.live_in_domain(home);
        let domain_timeout = peer_timeout(self.listed(), near);
        let mut live = self.live.borrow_mut();
        live.retain(|name, last| {
            let age = now.saturating_sub(last.at);
            let near = last.failure_domain == home;
            let timeout = if near {
                domain_timeout.max(MIN_PEER_TIMEOUT)
            } else {
                MIN_PEER_TIMEOUT
            };
            let keep = age < timeout;
            if !keep && near {
                record!(
                    events::PEER_LOST,
                    peer = name.as_str(),
                    age_ms = age.as_millis() as u64,
                );
            }
            keep
        });
    }

    /// Signals that this VM is missing updates from the store.
    pub fn signal_behind(&self) {
        self.behind.notify_waiters();
    }

    /// Waits until this VM learns that it is missing updates from the store.
    pub async fn fell_behind(&self) {
        self.behind.notified().await;
    }
}
