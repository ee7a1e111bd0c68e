//! Evacuated failure domains.
//!
//! The few VMs that watch the store tell the others the whole state in their
//! heartbeats, at once when it changes. Nobody asks for what it missed: the next
//! heartbeat brings it.

use super::follower::Follower;
use crate::state::Front;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::membership::{Evacuations, Revision};
use trouttrack_platform::{Change, Kind, Object};
use trouttrack_telemetry::{events, record};

/// Who says which failure domains are evacuated.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Told<'a> {
    /// The store.
    ByStore,
    /// Another VM.
    ByPeer(&'a str),
}

impl Told<'_> {
    fn name(&self) -> &str {
        match self {
            Self::ByStore => "store",
            Self::ByPeer(name) => name,
        }
    }
}

/// Follows the operators' evacuations.
#[derive(Debug)]
pub(super) struct EvacuationFollower {
    front: Rc<Front>,
    /// Whether everything must be listed again.
    forgotten: Cell<bool>,
}

impl EvacuationFollower {
    pub(super) fn new(front: Rc<Front>) -> Self {
        Self {
            front,
            forgotten: Cell::new(true),
        }
    }
}

impl Follower for EvacuationFollower {
    const KIND: Kind = Kind::Evacuations;

    fn revision(&self) -> Option<Revision> {
        let known = !self.forgotten.get();
        known.then(|| self.front.evacuations.borrow().revision())
    }

    fn watch_for(&self) -> Option<Duration> {
        Some(self.front.evacuation_watch)
    }

    fn is_behind(&self) -> bool {
        false
    }

    fn ask_peers(&self) {}

    fn listed(&self, objects: &[Object], revision: Revision) {
        let domains = objects.iter().map(|o| o.name.clone());
        take_evacuations(
            &self.front,
            &Evacuations::as_of(revision, domains),
            Told::ByStore,
        );
        self.forgotten.set(false);
    }

    fn changed(&self, changes: Vec<Change>, revision: Revision) {
        let mut next = self.front.evacuations.borrow().clone();
        for change in changes {
            next.change(&change.object.name, !change.deleted);
        }
        next.advance(revision);
        take_evacuations(&self.front, &next, Told::ByStore);
    }

    fn history_gone(&self) {
        self.forgotten.set(true);
    }
}

/// Takes in which failure domains are evacuated, if that is newer than what is known.
/// Where something changes, it binds from now on, and the other VMs hear of it at once.
pub(crate) fn take_evacuations(front: &Front, told: &Evacuations, by: Told<'_>) {
    let before = front.evacuations.borrow().clone();
    if !front.evacuations.borrow_mut().merge(told) {
        return;
    }
    log_changes(&before, told, by);
    front.metrics.evacuated.set(told.domains().len() as i64);
    front.scheduler.set_evacuations(told.clone());
    front.peers.announce();
}

fn log_changes(before: &Evacuations, now: &Evacuations, by: Told<'_>) {
    for domain in now.domains().filter(|d| !before.contains(d)) {
        record!(
            events::EVACUATED,
            failure_domain = domain.as_str(),
            epoch = now.revision().epoch,
            revision = now.revision().number,
            told_by = by.name(),
        );
    }
    for domain in before.domains().filter(|d| !now.contains(d)) {
        record!(
            events::TAKEN_BACK,
            failure_domain = domain.as_str(),
            epoch = now.revision().epoch,
            revision = now.revision().number,
            told_by = by.name(),
        );
    }
}
