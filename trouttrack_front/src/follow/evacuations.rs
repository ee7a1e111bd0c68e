//! Follows the evacuated failure domains.
//!
//! The few VMs that watch the store send the full state to the others in their
//! heartbeats, immediately when it changes. VMs never request missed changes, because
//! the next heartbeat contains them.

use super::follower::Follower;
use crate::state::Front;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::membership::{Evacuations, RESTORE_GRACE, Revision};
use trouttrack_platform::{Change, Kind, Object};
use trouttrack_telemetry::{events, record};

/// The source of an update to the evacuated failure domains.
#[derive(Clone, Copy, Debug)]
pub(crate) enum UpdateSource<'a> {
    /// The store.
    Store,
    /// Another VM.
    Peer(&'a str),
}

impl UpdateSource<'_> {
    fn name(&self) -> &str {
        match self {
            Self::Store => "store",
            Self::Peer(name) => name,
        }
    }
}

/// Follows the evacuations that operators request.
#[derive(Debug)]
pub(super) struct EvacuationFollower {
    front: Rc<Front>,
    /// Whether a full list is needed.
    needs_list: Cell<bool>,
}

impl EvacuationFollower {
    pub(super) fn new(front: Rc<Front>) -> Self {
        Self {
            front,
            needs_list: Cell::new(true),
        }
    }
}

impl Follower for EvacuationFollower {
    const KIND: Kind = Kind::Evacuations;

    fn revision(&self) -> Option<Revision> {
        let known = !self.needs_list.get();
        known.then(|| self.front.evacuations.borrow().revision())
    }

    fn watch_timeout(&self) -> Option<Duration> {
        Some(self.front.evacuation_watch)
    }

    fn is_behind(&self) -> bool {
        false
    }

    fn ask_peers(&self) {}

    fn apply_list(&self, objects: &[Object], revision: Revision) {
        let domains = objects.iter().map(|o| o.name.clone());
        apply_evacuations(
            &self.front,
            &Evacuations::as_of(revision, domains),
            UpdateSource::Store,
        );
        self.needs_list.set(false);
    }

    fn apply_changes(&self, changes: Vec<Change>, revision: Revision) {
        let mut next = self.front.evacuations.borrow().clone();
        for change in changes {
            next.change(&change.object.name, !change.deleted);
        }
        next.advance(revision);
        apply_evacuations(&self.front, &next, UpdateSource::Store);
    }

    fn handle_history_gone(&self) {
        self.needs_list.set(true);
    }
}

/// Merges the evacuated failure domains if they are newer than what is known. Changes take effect
/// immediately and are announced to the other VMs at once.
pub(crate) fn apply_evacuations(front: &Front, received: &Evacuations, source: UpdateSource<'_>) {
    let known = front.evacuations.borrow().clone();
    let before = in_force(front);
    if !front.evacuations.borrow_mut().merge(received) {
        return;
    }
    let until = front.clock.now() + RESTORE_GRACE;
    let newly_lost = known
        .lost_in(received)
        .map(|domain| (domain.clone(), until));
    let mut lost_evacuations = front.lost_evacuations.borrow_mut();
    lost_evacuations.retain(|(domain, _)| !received.contains(domain));
    lost_evacuations.extend(newly_lost);
    drop(lost_evacuations);
    put_in_force(front, &before, source);
    front.peers.announce();
}

/// Ends evacuations that a restore of the store has lost and that were not written again in
/// time.
pub(super) fn expire_lost_evacuations(front: &Front) {
    let now = front.clock.now();
    if front.lost_evacuations.borrow().is_empty() {
        return;
    }
    let before = in_force(front);
    let mut lost_evacuations = front.lost_evacuations.borrow_mut();
    let before_expiry = lost_evacuations.len();
    lost_evacuations.retain(|(_, until)| now < *until);
    let any_expired = lost_evacuations.len() < before_expiry;
    drop(lost_evacuations);
    if any_expired {
        put_in_force(front, &before, UpdateSource::Store);
    }
}

/// The known evacuations, and those that a restore of the store has lost and that stay in force
/// for now.
fn in_force(front: &Front) -> Evacuations {
    let mut evacuated = front.evacuations.borrow().clone();
    for (domain, _) in front.lost_evacuations.borrow().iter() {
        evacuated.change(domain, true);
    }
    evacuated
}

/// Applies the evacuations in force, and logs what differs from `before`.
fn put_in_force(front: &Front, before: &Evacuations, source: UpdateSource<'_>) {
    let evacuated = in_force(front);
    log_changes(before, &evacuated, source);
    front
        .metrics
        .evacuated
        .set(evacuated.domains().len() as i64);
    front.scheduler.set_evacuations(evacuated);
}

fn log_changes(before: &Evacuations, now: &Evacuations, source: UpdateSource<'_>) {
    for domain in now.domains().filter(|d| !before.contains(d)) {
        record!(
            events::EVACUATED,
            failure_domain = domain.as_str(),
            epoch = now.revision().epoch,
            revision = now.revision().number,
            told_by = source.name(),
        );
    }
    for domain in before.domains().filter(|d| !now.contains(d)) {
        record!(
            events::TAKEN_BACK,
            failure_domain = domain.as_str(),
            epoch = now.revision().epoch,
            revision = now.revision().number,
            told_by = source.name(),
        );
    }
}
