//! The configuration.

use super::follower::Follower;
use super::upstreams::config_changed;
use crate::peers::ask_for_config;
use crate::state::Front;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_platform::objects::fleet_config;
use trouttrack_platform::{Change, Kind, Object};
use trouttrack_telemetry::{events, record};

/// The part of the time in which a configuration has to be in force that is left to peers
/// to bring it; then the store is asked.
const PEERS_PART: f64 = 0.4;
/// The object that holds the whole configuration.
const NAME: &str = "main";

/// Puts configurations in force.
#[derive(Debug)]
pub(super) struct ConfigFollower {
    front: Rc<Front>,
    /// The store's revision up to which the kind is known.
    known_to: Cell<Option<Revision>>,
}

impl ConfigFollower {
    pub(super) fn new(front: Rc<Front>) -> Self {
        Self {
            front,
            known_to: Cell::new(None),
        }
    }
}

/// Takes in the object, if it is the configuration and not in force yet.
/// Returns whether it is in force.
pub(super) fn take(front: &Front, object: &Object) -> bool {
    if object.name != NAME {
        return false;
    }
    take_revision(front, object.revision, object.spec.get())
}

/// Takes in a configuration, if it is not in force yet. Returns whether it is in
/// force.
pub(crate) fn take_revision(front: &Front, revision: Revision, spec: &str) -> bool {
    if front.routing.has_revision(revision) {
        return true;
    }
    match fleet_config(spec) {
        Ok(config) => {
            if front.routing.put(revision, config) {
                front.routing.keep_spec(spec);
                config_changed(front);
                // Whoever hears of it asks for it: it spreads from VM to VM, not from one.
                front.peers.announce();
            }
        }
        Err(e) => {
            let error = e.to_string();
            record!(
                events::CONFIG_REFUSED,
                epoch = revision.epoch,
                revision = revision.number,
                error = error.as_str(),
            );
        }
    }
    front.routing.has_revision(revision)
}

impl Follower for ConfigFollower {
    const KIND: Kind = Kind::Config;

    fn revision(&self) -> Option<Revision> {
        self.known_to.get()
    }

    fn is_behind(&self) -> bool {
        self.front.peers.newest_config() > self.front.routing.version()
    }

    fn patience(&self) -> Duration {
        self.front.routing.apply_within().mul_f64(PEERS_PART)
    }

    fn ask_peers(&self) {
        ask_for_config(&self.front);
    }

    fn listed(&self, objects: &[Object], revision: Revision) {
        for object in objects {
            take(&self.front, object);
        }
        self.known_to.set(Some(revision));
    }

    fn changed(&self, changes: Vec<Change>, revision: Revision) {
        for change in changes.iter().filter(|c| !c.deleted) {
            take(&self.front, &change.object);
        }
        self.known_to.set(Some(revision));
    }

    fn history_gone(&self) {
        self.known_to.set(None);
    }
}
