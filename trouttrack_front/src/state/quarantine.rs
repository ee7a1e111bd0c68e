//! Quarantine of requests during which upstreams crashed, as far as this VM knows.

use super::clock::Clock;
use super::upstream::Upstream;
use std::cell::RefCell;
use tokio::sync::Notify;
use trouttrack_core::quarantine::{CrashRecord, Hold, Quarantine, QuarantineSettings};
use trouttrack_core::upstream::Incarnation;
use trouttrack_core::{Fingerprint, PartId};
use trouttrack_telemetry::{events, record};

/// Limit on the requests sent to a peer whose quarantine differs; with two crashes recorded
/// for each, a message has about 4 kB.
const MAX_RECORDS_PER_MESSAGE: usize = 48;

/// The quarantine table, and the changes still to be sent to peers and to the store.
#[derive(Debug)]
pub struct QuarantineState {
    clock: Clock,
    table: RefCell<Quarantine>,
    /// Requests whose state must be sent to peers immediately.
    pending_for_peers: RefCell<Vec<Fingerprint>>,
    pending_changed: Notify,
    /// Requests whose hold has begun or ended and must be updated in the store.
    changed_holds: RefCell<Vec<Fingerprint>>,
    holds_changed: Notify,
}

impl QuarantineState {
    /// Creates an empty quarantine.
    #[must_use]
    pub fn new(clock: Clock, settings: QuarantineSettings) -> Self {
        Self {
            clock,
            table: RefCell::new(Quarantine::new(settings)),
            pending_for_peers: RefCell::default(),
            pending_changed: Notify::new(),
            changed_holds: RefCell::default(),
            holds_changed: Notify::new(),
        }
    }

    /// Whether no request has a crash recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Number of quarantined requests.
    #[must_use]
    pub fn held(&self) -> usize {
        self.table.borrow().held(self.clock.now())
    }

    /// The hold on a request, if it must not be sent to any upstream.
    #[must_use]
    pub fn hold(&self, request: Fingerprint) -> Option<Hold> {
        self.table.borrow().hold(self.clock.now(), request)
    }

    /// Records that an upstream crashed while running a request of this VM, and notifies the
    /// other VMs.
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
            self.hold_changed(request);
        }
        self.notify_peers(request);
    }

    /// Records that a request ran to completion.
    pub fn record_completed_run(&self, request: Fingerprint) {
        let now = self.clock.now();
        let was_held = self.hold(request).is_some();
        if self.table.borrow_mut().record_completed_run(now, request) {
            record!(events::RAN_WELL, fingerprint = text(request).as_str());
            self.notify_peers(request);
        }
        if was_held {
            // Only held requests are in the store; avoid a store call for all others.
            self.hold_changed(request);
        }
    }

    /// Restores a hold that was read from the store.
    pub fn restore(&self, request: Fingerprint, ended: &[Incarnation]) {
        let now = self.clock.now();
        if self.table.borrow_mut().restore(now, request, ended) {
            self.log_hold(request, "store");
        }
    }

    /// The upstream incarnations whose crashes count against a request.
    #[must_use]
    pub fn counted_crashes(&self, request: Fingerprint) -> Vec<Incarnation> {
        self.table.borrow().counted_crashes(request)
    }

    /// The requests that are held or may have been held before.
    #[must_use]
    pub fn held_or_released(&self) -> Vec<Fingerprint> {
        let table = self.table.borrow();
        table.held_or_released(self.clock.now()).collect()
    }

    fn hold_changed(&self, request: Fingerprint) {
        self.changed_holds.borrow_mut().push(request);
        self.holds_changed.notify_one();
    }

    /// Waits for holds to begin or end and returns the requests concerned.
    pub async fn changed(&self) -> Vec<Fingerprint> {
        loop {
            let changed = std::mem::take(&mut *self.changed_holds.borrow_mut());
            if !changed.is_empty() {
                return changed;
            }
            self.holds_changed.notified().await;
        }
    }

    fn notify_peers(&self, request: Fingerprint) {
        self.pending_for_peers.borrow_mut().push(request);
        self.pending_changed.notify_one();
    }

    /// Waits until there are changes to send to peers immediately.
    pub async fn changes_pending(&self) {
        self.pending_changed.notified().await;
    }

    /// Removes and returns the requests whose state must be sent to peers immediately.
    #[must_use]
    pub fn take_pending(&self) -> Vec<Fingerprint> {
        let mut requests = std::mem::take(&mut *self.pending_for_peers.borrow_mut());
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    /// The records of these requests, as sent to peers.
    #[must_use]
    pub fn records_of(&self, requests: &[Fingerprint]) -> Vec<CrashRecord> {
        self.table.borrow().records_of(self.clock.now(), requests)
    }

    /// The records sent to a peer whose quarantine differs from this one.
    #[must_use]
    pub fn held_records(&self) -> Vec<CrashRecord> {
        self.table
            .borrow()
            .held_records(self.clock.now(), MAX_RECORDS_PER_MESSAGE)
    }

    /// Merges the records of a peer. Returns those of which this VM knows more, to be sent back
    /// to the peer. All VMs are notified if the merge combines crashes that were known
    /// separately into a hold.
    pub fn merge_records(&self, received: &[CrashRecord], peer: &str) -> Vec<CrashRecord> {
        let merged = self
            .table
            .borrow_mut()
            .merge_records(self.clock.now(), received);
        for &request in &merged.held {
            self.log_hold(request, peer);
            self.hold_changed(request);
            let is_same_request = |s: &&CrashRecord| s.fingerprint == request;
            let ends_known_to_peer = received
                .iter()
                .find(is_same_request)
                .map_or(0, |s| s.ends.len());
            if self
                .hold(request)
                .is_some_and(|h| h.ends > ends_known_to_peer)
            {
                self.notify_peers(request);
            }
        }
        self.records_of(&merged.newer_runs)
    }

    /// Checksum of the quarantine; VMs with equal checksums hold the same requests.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        self.table.borrow().checksum()
    }

    /// Drops records older than the hold period.
    pub fn expire(&self) {
        let over = self.table.borrow_mut().expire(self.clock.now());
        over.into_iter()
            .for_each(|request| self.hold_changed(request));
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

/// Formats the shared parts of a prompt for logs.
#[must_use]
pub fn parts_text(parts: &[PartId]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part:016x}")).collect();
    parts.join(",")
}

/// Formats a fingerprint for logs.
#[must_use]
pub fn text(request: Fingerprint) -> String {
    format!("{request:032x}")
}
