//! Peer addresses and the state each peer last reported in a heartbeat.

mod live;
mod receive;

pub use receive::PeerState;

use super::message::Echo;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use trouttrack_core::membership::{
    Revision, SentTimes, WatcherElection, heartbeat_interval, watcher_heartbeat_interval,
};
use trouttrack_core::{FailureDomain, Time};
use trouttrack_telemetry::{events, record};

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
    /// Whether the VMs have been listed with all that started together with this one.
    all_known: Cell<bool>,
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
    /// The revision of the store's entry, if it has been read.
    revision: Option<Revision>,
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
            all_known: Cell::new(false),
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
    pub(in crate::peers) fn socket(&self) -> Option<Rc<UdpSocket>> {
        self.socket.get().cloned()
    }

    /// Adds a VM, or replaces its address and failure domain, as the VM itself tells them.
    pub fn insert(&self, name: &str, addr: SocketAddr, failure_domain: &str) {
        let mut listed = self.listed.borrow_mut();
        let revision = listed.get(name).and_then(|known| known.revision);
        let told = Listed {
            addr,
            failure_domain: failure_domain.to_owned(),
            revision,
        };
        listed.insert(name.to_owned(), told);
    }

    /// As [`Self::insert`], with the VM's entry in the store. A list may be some seconds old, so
    /// an entry replaces neither a later one nor what a live VM tells.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_core::membership::Revision;
    /// use trouttrack_front::peers::PeerTable;
    /// let addr = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    /// let peers = PeerTable::new("front-1");
    /// peers.insert_listed("front-2", addr(2), "a", Revision::new(0, 9));
    /// peers.insert_listed("front-2", addr(1), "a", Revision::new(0, 7));
    /// assert_eq!(peers.addr_of("front-2"), Some(addr(2)));
    /// ```
    pub fn insert_listed(
        &self,
        name: &str,
        addr: SocketAddr,
        failure_domain: &str,
        revision: Revision,
    ) {
        let mut listed = self.listed.borrow_mut();
        let known = listed.get(name);
        let is_old = known.is_some_and(|known| known.revision > Some(revision));
        if is_old || known.is_some() && self.is_live(name) {
            return;
        }
        let entry = Listed {
            addr,
            failure_domain: failure_domain.to_owned(),
            revision: Some(revision),
        };
        listed.insert(name.to_owned(), entry);
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

    /// Records that the VMs have been listed with all that started together with this one.
    pub(crate) fn set_all_known(&self) {
        self.all_known.set(true);
    }

    /// Whether the number of VMs is known. Until a list that does not lag has been read, those
    /// listed or heard of may be few of many.
    #[must_use]
    pub fn are_all_known(&self) -> bool {
        self.all_known.get()
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

    /// Updates whether this VM watches the store and returns the closure's result.
    /// Records an event when the watch is taken or given up; taking it also requests
    /// immediate heartbeats.
    pub(in crate::peers) fn election<T>(&self, f: impl FnOnce(&mut WatcherElection) -> T) -> T {
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

    /// Whether peers no longer retain the updates that this VM has missed.
    pub(crate) fn is_far_behind(&self) -> bool {
        self.far_behind.get()
    }

    /// Sets whether this VM has missed updates that a peer no longer retains; cleared
    /// once it has caught up.
    pub(crate) fn set_far_behind(&self, far_behind: bool) {
        self.far_behind.set(far_behind);
    }

    /// Assigns the next sequence number and records when it is sent.
    pub(in crate::peers) fn next(&self, now: Time) -> Echo {
        let sequence = self.sequence.get() + 1;
        self.sequence.set(sequence);
        self.sent.borrow_mut().sent(sequence, now);
        Echo {
            incarnation: self.incarnation,
            sequence,
        }
    }

    /// Lower bound on the local time of an event that was `age` old when its reporter had
    /// received the datagram in `echo`. `None` if that datagram is from another
    /// incarnation of this VM or its send time is not known.
    pub(in crate::peers) fn earliest_time(&self, echo: Echo, age: Duration) -> Option<Time> {
        if echo.incarnation != self.incarnation {
            return None;
        }
        self.sent.borrow().earliest_time(echo.sequence, age)
    }

    /// Records that a peer in the local failure domain announced that it watches the store.
    pub(in crate::peers) fn set_watcher(&self, name: &str) {
        *self.watcher.borrow_mut() = Some(name.to_owned());
    }

    /// The address of the peer that most recently announced that it watches the store.
    pub(in crate::peers) fn watcher(&self) -> Option<SocketAddr> {
        let watcher = self.watcher.borrow();
        let listed = self.listed.borrow();
        listed.get(watcher.as_ref()?).map(|l| l.addr)
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
