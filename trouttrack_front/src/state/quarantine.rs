//! Quarantine of requests and parts of prompts under which upstreams crashed, as far as this VM
//! knows.

use super::clock::Clock;
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;
use trouttrack_core::quarantine::{
    Attributes, CrashRecord, CrashedRun, Hold, Quarantine, QuarantineSettings, Subject,
};
use trouttrack_core::upstream::Incarnation;
use trouttrack_core::{Fingerprint, PartId, Time};
use trouttrack_telemetry::{events, record};

/// Limit on the requests sent to a peer whose quarantine differs; with two crashes recorded
/// for each, a message has about 4 kB.
const MAX_RECORDS_PER_MESSAGE: usize = 48;

/// The quarantine table, and the changes still to be sent to peers and to the store.
#[derive(Debug)]
pub struct QuarantineState {
    clock: Clock,
    table: RefCell<Quarantine>,
    /// Subjects whose state must be sent to peers immediately.
    pending_for_peers: RefCell<Vec<Subject>>,
    pending_changed: Notify,
    /// Subjects whose hold has begun or ended and must be updated in the store.
    changed_holds: RefCell<Vec<Subject>>,
    holds_changed: Notify,
    /// Wakes requests that wait for an upstream when a hold begins.
    hold_begun: Notify,
    /// Whether the holds of the VMs that ran before this one started are known.
    known: Cell<bool>,
    /// The checksum of a peer that knows them.
    expected_checksum: Cell<Option<u64>>,
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
            hold_begun: Notify::new(),
            known: Cell::default(),
            expected_checksum: Cell::default(),
        }
    }

    /// Whether the holds that began before this VM started are known. Until then an empty table
    /// does not mean that nothing is held.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.known.get()
    }

    /// Records that all holds have been read from the store.
    pub(crate) fn set_known(&self) {
        self.known.set(true);
    }

    /// Applies the checksum of a peer that knows all holds. With an equal one this VM knows them
    /// as well.
    pub(crate) fn receive_checksum(&self, checksum: u64) {
        self.expected_checksum.set(Some(checksum));
        self.compare_checksums();
    }

    fn compare_checksums(&self) {
        if !self.known.get() && self.expected_checksum.get() == Some(self.checksum()) {
            self.known.set(true);
        }
    }

    /// Whether no request has a crash recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// Number of quarantined requests and parts.
    #[must_use]
    pub fn held(&self) -> usize {
        self.table.borrow().held(self.clock.now())
    }

    /// The hold because of which a request must not be sent to any upstream.
    #[must_use]
    pub fn hold(&self, attributes: &Attributes) -> Option<Hold> {
        let table = self.table.borrow();
        table.hold(self.clock.now(), attributes.clone())
    }

    /// The hold on a request or part.
    #[must_use]
    pub fn hold_on(&self, subject: Subject) -> Option<Hold> {
        self.table.borrow().hold_on(self.clock.now(), subject)
    }

    /// Waits until a hold begins.
    pub async fn hold_begun(&self) {
        self.hold_begun.notified().await;
    }

    /// Records that an upstream crashed at `at` while running a request of this VM, and notifies
    /// the other VMs.
    pub fn ended(&self, attributes: &Attributes, run: &CrashedRun, at: Time) {
        let was_held: Vec<bool> = attributes.subjects().map(|s| self.is_held(s)).collect();
        let new = self
            .table
            .borrow_mut()
            .record_crash(at, attributes.clone(), run.clone());
        if !new {
            return;
        }
        let parts = parts_text(attributes.parts());
        record!(
            events::ENDED_UNDER,
            upstream = run.upstream.id.as_str(),
            born = run.upstream.born,
            fingerprint = text(attributes.request()).as_str(),
            parts = Some(parts.as_str()).filter(|parts| !parts.is_empty()),
            ends = self.counted_crashes(attributes.request()).len(),
        );
        for (subject, was_held) in attributes.subjects().zip(was_held) {
            if !was_held && self.is_held(subject) {
                self.begin_hold(subject, "own");
            }
            self.notify_peers(subject);
        }
    }

    fn is_held(&self, subject: Subject) -> bool {
        self.hold_on(subject).is_some()
    }

    /// Records that a request ran to completion.
    pub fn record_completed_run(&self, request: Fingerprint) {
        let (now, subject) = (self.clock.now(), Subject::Request(request));
        let was_held = self.is_held(subject);
        if self.table.borrow_mut().record_completed_run(now, request) {
            self.clear(subject);
        }
        if was_held {
            // Only held requests are in the store; avoid a store call for all others.
            self.hold_changed(subject);
        }
    }

    /// Records that the answer to a request with these parts began well at `began_at`.
    pub fn record_begun_run(&self, began_at: Time, parts: &[PartId]) {
        let was_held = |part: &&PartId| self.is_held(Subject::Part(**part));
        let held: Vec<PartId> = parts.iter().filter(was_held).copied().collect();
        let cleared = self.table.borrow_mut().record_begun_run(began_at, parts);
        for subject in cleared {
            self.clear(subject);
        }
        for part in held {
            self.hold_changed(Subject::Part(part));
        }
    }

    fn clear(&self, subject: Subject) {
        record!(events::RAN_WELL, fingerprint = subject.to_string().as_str());
        self.notify_peers(subject);
    }

    /// Ends the holds on these subjects and lets none begin, until the next call.
    pub fn set_lifted(&self, lifted: &[Subject]) {
        let over = self.table.borrow_mut().set_lifted(lifted.to_vec());
        for subject in over {
            record!(
                events::HOLD_LIFTED,
                fingerprint = subject.to_string().as_str()
            );
            self.hold_changed(subject);
        }
    }

    /// Restores a hold that was read from the store, with the attributes needed besides.
    pub fn restore(&self, subject: Subject, ended: &[Incarnation], needed: &[Subject]) {
        let now = self.clock.now();
        let restored = self.table.borrow_mut().restore(now, subject, ended, needed);
        if restored {
            self.log_hold(subject, "store");
            self.hold_begun.notify_waiters();
        }
    }

    /// The upstream incarnations whose crashes count against a subject.
    #[must_use]
    pub fn counted_crashes(&self, subject: impl Into<Subject>) -> Vec<Incarnation> {
        self.table.borrow().counted_crashes(subject)
    }

    /// The attributes that a request needs besides a held one to be refused.
    #[must_use]
    pub fn needed_with(&self, subject: Subject) -> Vec<Subject> {
        self.table.borrow().needed_with(subject).to_vec()
    }

    /// The subjects that are held or may have been held before.
    #[must_use]
    pub fn held_or_released(&self) -> Vec<Subject> {
        let table = self.table.borrow();
        table.held_or_released(self.clock.now()).collect()
    }

    /// Whether all VMs must know the record of a subject.
    #[must_use]
    pub fn concerns_all(&self, subject: Subject) -> bool {
        self.table.borrow().concerns_all(self.clock.now(), subject)
    }

    fn begin_hold(&self, subject: Subject, told_by: &str) {
        self.log_hold(subject, told_by);
        self.hold_changed(subject);
        self.hold_begun.notify_waiters();
    }

    fn hold_changed(&self, subject: Subject) {
        self.changed_holds.borrow_mut().push(subject);
        self.holds_changed.notify_one();
    }

    /// Waits for holds to begin or end and returns the subjects concerned.
    pub async fn changed(&self) -> Vec<Subject> {
        loop {
            let changed = std::mem::take(&mut *self.changed_holds.borrow_mut());
            if !changed.is_empty() {
                return changed;
            }
            self.holds_changed.notified().await;
        }
    }

    fn notify_peers(&self, subject: Subject) {
        self.pending_for_peers.borrow_mut().push(subject);
        self.pending_changed.notify_one();
    }

    /// Waits until there are changes to send to peers immediately.
    pub async fn changes_pending(&self) {
        self.pending_changed.notified().await;
    }

    /// Removes and returns the subjects whose state must be sent to peers immediately.
    #[must_use]
    pub fn take_pending(&self) -> Vec<Subject> {
        let mut subjects = std::mem::take(&mut *self.pending_for_peers.borrow_mut());
        subjects.sort_unstable();
        subjects.dedup();
        subjects
    }

    /// The records of these subjects, as sent to peers.
    #[must_use]
    pub fn records_of(&self, subjects: &[Subject]) -> Vec<CrashRecord> {
        self.table.borrow().records_of(self.clock.now(), subjects)
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
    /// separately into a record that concerns all.
    pub fn merge_records(&self, received: &[CrashRecord], peer: &str) -> Vec<CrashRecord> {
        let concerned = |record: &CrashRecord| self.concerns_all(record.subject());
        let before: Vec<bool> = received.iter().map(concerned).collect();
        let merged = self
            .table
            .borrow_mut()
            .merge_records(self.clock.now(), received);
        for &subject in &merged.held {
            self.begin_hold(subject, peer);
        }
        self.compare_checksums();
        for (record, before) in received.iter().zip(before) {
            let subject = record.subject();
            let is_new = merged.held.contains(&subject) || !before;
            let combined = self.counted_crashes(subject).len() > record.ends.len();
            if is_new && combined && self.concerns_all(subject) {
                self.notify_peers(subject);
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
            .for_each(|subject| self.hold_changed(subject));
    }

    fn log_hold(&self, subject: Subject, told_by: &str) {
        let Some(hold) = self.hold_on(subject) else {
            return;
        };
        let needed = self.needed_with(subject);
        let needed: Vec<String> = needed.iter().map(Subject::to_string).collect();
        let upstreams = self.counted_crashes(subject);
        let upstreams: Vec<&str> = upstreams.iter().map(|u| u.id.as_str()).collect();
        record!(
            events::HELD,
            fingerprint = subject.to_string().as_str(),
            part = subject.is_part(),
            needed = Some(needed.join(","))
                .filter(|text| !text.is_empty())
                .as_deref(),
            ends = hold.ends,
            upstreams = upstreams.join(",").as_str(),
            left_ms = hold.left.as_millis() as u64,
            told_by = told_by,
        );
    }
}

/// Formats the shared parts of a prompt for logs.
#[must_use]
pub fn parts_text(parts: &[PartId]) -> String {
    let parts: Vec<String> = parts
        .iter()
        .map(|part| Subject::Part(*part).to_string())
        .collect();
    parts.join(",")
}

/// Formats a fingerprint for logs.
#[must_use]
pub fn text(request: Fingerprint) -> String {
    Subject::Request(request).to_string()
}
