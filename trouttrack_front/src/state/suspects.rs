//! Requests under which upstreams ended, as far as this VM knows.

use super::clock::Clock;
use super::upstreams::Upstream;
use std::cell::RefCell;
use tokio::sync::Notify;
use trouttrack_core::Fingerprint;
use trouttrack_core::quarantine::{CrashRecord, Hold, Quarantine, QuarantineSettings};
use trouttrack_core::upstream::Incarnation;
use trouttrack_telemetry::{events, record};

/// Requests that are told to a VM that holds others: with two ends each some 4 kB.
const MOST_TOLD: usize = 48;

/// Requests under which upstreams ended, and what the other VMs are to hear of them.
#[derive(Debug)]
pub struct Suspects {
    clock: Clock,
    table: RefCell<Quarantine>,
    /// Those of which the other VMs are to hear at once.
    to_tell: RefCell<Vec<Fingerprint>>,
    news: Notify,
    /// Those that are held from now on, or no more, and are to be kept accordingly.
    to_keep: RefCell<Vec<Fingerprint>>,
    kept: Notify,
}

impl Suspects {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(clock: Clock, settings: QuarantineSettings) -> Self {
        Self {
            clock,
            table: RefCell::new(Quarantine::new(settings)),
            to_tell: RefCell::default(),
            news: Notify::new(),
            to_keep: RefCell::default(),
            kept: Notify::new(),
        }
    }

    /// Whether nothing is known against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// How many requests are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.table.borrow().held(self.clock.now())
    }

    /// Whether a request is to be run by no upstream.
    #[must_use]
    pub fn hold(&self, request: Fingerprint) -> Option<Hold> {
        self.table.borrow().hold(self.clock.now(), request)
    }

    /// An upstream ended while it ran a request of this VM: the other VMs hear of it.
    pub fn ended(&self, request: Fingerprint, upstream: &Upstream) {
        let now = self.clock.now();
        let was_held = self.hold(request).is_some();
        let new = self
            .table
            .borrow_mut()
            .record_crash(now, request, &upstream.incarnation());
        if !new {
            return;
        }
        record!(
            events::ENDED_UNDER,
            upstream = upstream.id.as_str(),
            born = upstream.born,
            fingerprint = text(request).as_str(),
            ends = self.counted_crashes(request).len(),
        );
        if !was_held {
            self.log_hold(request, "own");
            self.keep(request);
        }
        self.tell(request);
    }

    /// A run of a request came to its end.
    pub fn record_completed_run(&self, request: Fingerprint) {
        let now = self.clock.now();
        let was_held = self.hold(request).is_some();
        if self.table.borrow_mut().record_completed_run(now, request) {
            record!(events::RAN_WELL, fingerprint = text(request).as_str());
            self.tell(request);
        }
        if was_held {
            // A call to the store costs, and only what was held lies there.
            self.keep(request);
        }
    }

    /// A request that VMs held before, read from the store, where it lies already.
    pub fn restore(&self, request: Fingerprint, ended: &[Incarnation]) {
        let now = self.clock.now();
        if self.table.borrow_mut().restore(now, request, ended) {
            self.log_hold(request, "store");
        }
    }

    /// The upstreams whose ends count against a request.
    #[must_use]
    pub fn counted_crashes(&self, request: Fingerprint) -> Vec<Incarnation> {
        self.table.borrow().counted_crashes(request)
    }

    /// The requests that are held, and those that may have been held before.
    #[must_use]
    pub fn held_or_released(&self) -> Vec<Fingerprint> {
        let table = self.table.borrow();
        table.held_or_released(self.clock.now()).collect()
    }

    fn keep(&self, request: Fingerprint) {
        self.to_keep.borrow_mut().push(request);
        self.kept.notify_one();
    }

    /// Waits for requests that are held from now on, or no more.
    pub async fn changed(&self) -> Vec<Fingerprint> {
        loop {
            let changed = std::mem::take(&mut *self.to_keep.borrow_mut());
            if !changed.is_empty() {
                return changed;
            }
            self.kept.notified().await;
        }
    }

    fn tell(&self, request: Fingerprint) {
        self.to_tell.borrow_mut().push(request);
        self.news.notify_one();
    }

    /// Waits until the other VMs are to hear of something at once.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// Those of which other VMs are to hear at once.
    #[must_use]
    pub fn take_news(&self) -> Vec<Fingerprint> {
        let mut requests = std::mem::take(&mut *self.to_tell.borrow_mut());
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    /// What is told of some requests.
    #[must_use]
    pub fn records_of(&self, requests: &[Fingerprint]) -> Vec<CrashRecord> {
        self.table.borrow().records_of(self.clock.now(), requests)
    }

    /// What a VM is told that holds other requests.
    #[must_use]
    pub fn held_records(&self) -> Vec<CrashRecord> {
        self.table
            .borrow()
            .held_records(self.clock.now(), MOST_TOLD)
    }

    /// Takes in what a peer knows. Returns what it is to be told in turn. Where several
    /// single ends have come together here, all VMs hear of it.
    pub fn merge_records(&self, told: &[CrashRecord], peer: &str) -> Vec<CrashRecord> {
        let heard = self
            .table
            .borrow_mut()
            .merge_records(self.clock.now(), told);
        for &request in &heard.held {
            self.log_hold(request, peer);
            self.keep(request);
            let said_by_one = |s: &&CrashRecord| s.fingerprint == request;
            let known_there = told.iter().find(said_by_one).map_or(0, |s| s.ends.len());
            if self.hold(request).is_some_and(|h| h.ends > known_there) {
                self.tell(request);
            }
        }
        self.records_of(&heard.newer_runs)
    }

    /// A sum over what is held: VMs with the same one hold the same.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        self.table.borrow().checksum()
    }

    /// Forgets what is older than a hold.
    pub fn expire(&self) {
        let over = self.table.borrow_mut().expire(self.clock.now());
        over.into_iter().for_each(|request| self.keep(request));
    }

    fn log_hold(&self, request: Fingerprint, told_by: &str) {
        if let Some(hold) = self.hold(request) {
            record!(
                events::HELD,
                fingerprint = text(request).as_str(),
                ends = hold.ends,
                left_ms = hold.left.as_millis() as u64,
                told_by = told_by,
            );
        }
    }
}

/// A fingerprint as it stands in the logs.
#[must_use]
pub fn text(request: Fingerprint) -> String {
    format!("{request:032x}")
}
