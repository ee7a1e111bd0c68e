//! Follows the configuration.

use super::follower::Follower;
use super::upstreams::config_changed;
use crate::peers::request_config;
use crate::state::Front;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_platform::objects::fleet_config;
use trouttrack_platform::{Change, Kind, Object};
use trouttrack_telemetry::{events, record};

/// Fraction of the bound for applying a configuration during which peers may deliver it. After
/// that it is read from the store.
const PEER_WAIT_FRACTION: f64 = 0.4;
/// Name of the object that contains the whole configuration.
const CONFIG_OBJECT_NAME: &str = "main";

/// Follows the configuration and puts new versions in force.
#[derive(Debug)]
pub(super) struct ConfigFollower {
    front: Rc<Front>,
    /// The store revision up to which configuration changes are known.
    known_revision: Cell<Option<Revision>>,
}

impl ConfigFollower {
    pub(super) fn new(front: Rc<Front>) -> Self {
        Self {
            front,
            known_revision: Cell::new(None),
        }
    }
}

/// Applies the object if it is the configuration and not yet in force. Returns whether it is in
/// force.
pub(super) fn apply_object(front: &Front, object: &Object) -> bool {
    if object.name != CONFIG_OBJECT_NAME {
        return false;
    }
    apply_revision(front, object.revision, object.spec.get())
}

/// Applies a configuration if it is not yet in force. Returns whether it is in force.
pub(crate) fn apply_revision(front: &Front, revision: Revision, spec: &str) -> bool {
    if front.routing.has_revision(revision) {
        return true;
    }
    match fleet_config(spec) {
        Ok(config) => {
            if front.routing.put(revision, config) {
                front.routing.keep_spec(spec);
                config_changed(front);
                // VMs that learn of the new version fetch it from any VM that has it, so the load
                // does not fall on one VM.
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
        self.known_revision.get()
    }

    fn is_behind(&self) -> bool {
        self.front.peers.newest_config() > self.front.routing.version()
    }

    fn peer_timeout(&self) -> Duration {
        self.front
            .routing
            .apply_within()
            .mul_f64(PEER_WAIT_FRACTION)
    }

    fn ask_peers(&self) {
        request_config(&self.front);
    }

    fn apply_list(&self, objects: &[Object], revision: Revision) {
        for object in objects {
            apply_object(&self.front, object);
        }
        self.known_revision.set(Some(revision));
    }

    fn apply_changes(&self, changes: Vec<Change>, revision: Revision) {
        for change in changes.iter().filter(|c| !c.deleted) {
            apply_object(&self.front, &change.object);
        }
        self.known_revision.set(Some(revision));
    }

    fn handle_history_gone(&self) {
        self.known_revision.set(None);
    }
}
