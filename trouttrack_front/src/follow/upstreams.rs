//! The upstreams' entries.

use super::kind::Follower;
use crate::rescue;
use crate::state::{Front, Upstream};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::UpstreamId;
use trouttrack_platform::{Change, Kind, Object, UpstreamEntry};

/// How often lapsed entries are looked through.
const EXPIRE_EVERY: Duration = Duration::from_millis(500);

/// Keeps the table of upstreams.
#[derive(Debug)]
pub(super) struct UpstreamFollower {
    front: Rc<Front>,
    /// The revision up to which changes were taken in.
    revision: Cell<u64>,
}

impl UpstreamFollower {
    pub(super) fn new(front: Rc<Front>) -> Self {
        Self {
            front,
            revision: Cell::new(0),
        }
    }

    /// Whether the store has changed since the last changes were taken in.
    pub(super) fn has_missed(&self, revision: u64) -> bool {
        self.front.upstreams.is_listed() && revision > self.revision.get()
    }

    fn advance(&self, revision: u64) {
        self.revision.set(self.revision.get().max(revision));
    }

    fn take(&self, object: &Object) {
        match UpstreamEntry::decode(object.spec.get()) {
            Ok(entry) => {
                let upstreams = &self.front.upstreams;
                if let Some(leaving) = upstreams.seen(&object.name, object.revision, entry) {
                    depart(&self.front, &leaving);
                }
            }
            Err(e) => log::warn!("upstream {}: entry cannot be read: {e}", object.name),
        }
    }
}

impl Follower for UpstreamFollower {
    const KIND: Kind = Kind::Upstreams;

    fn listed(&self, objects: &[Object], revision: u64) {
        objects.iter().for_each(|o| self.take(o));
        let ids: Vec<UpstreamId> = objects.iter().map(|o| o.name.clone()).collect();
        for gone in self.front.upstreams.listed(&ids) {
            depart(&self.front, &gone);
        }
        self.advance(revision);
        configure(&self.front);
    }

    fn changed(&self, changes: &[Change], revision: u64) {
        for change in changes {
            match change.deleted {
                false => self.take(&change.object),
                true => {
                    if let Some(gone) = self.front.upstreams.removed(&change.object.name) {
                        depart(&self.front, &gone);
                    }
                }
            }
        }
        self.advance(revision);
        if !changes.is_empty() {
            configure(&self.front);
        }
    }
}

/// An upstream leaves: no new work, and its generations are moved.
fn depart(front: &Rc<Front>, upstream: &Rc<Upstream>) {
    front.scheduler.set_leaving(&upstream.id);
    front.http.forget(upstream.addr);
    actix_rt::spawn(rescue::observe(Rc::clone(front), Rc::clone(upstream)));
}

/// Gives the decision tables their rows, and says whether requests can be
/// served.
pub(super) fn configure(front: &Front) {
    let Some(table) = front.routing.table() else {
        return;
    };
    front.scheduler.configure(front.upstreams.specs(&table));
    for id in front.upstreams.leaving() {
        front.scheduler.set_leaving(&id);
    }
    if front.upstreams.is_listed() {
        front.lifecycle.set_ready();
    }
}

/// Takes out upstreams whose entries lapsed during an outage of the store and
/// did not come back.
pub(super) async fn expire(front: Rc<Front>) {
    loop {
        tokio::time::sleep(EXPIRE_EVERY).await;
        let gone = front.upstreams.expired();
        for upstream in &gone {
            depart(&front, upstream);
        }
        if !gone.is_empty() {
            configure(&front);
        }
        front.http.sweep();
    }
}
