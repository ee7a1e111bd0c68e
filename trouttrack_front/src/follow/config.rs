//! The configuration.

use super::kind::Follower;
use super::upstreams::configure;
use crate::peers::{ConfigNews, Learned};
use crate::state::Front;
use serde_json::value::RawValue;
use std::cell::Cell;
use std::rc::Rc;
use trouttrack_platform::objects::fleet_config;
use trouttrack_platform::{Change, Kind, Object};
use trouttrack_telemetry::{events, record};

/// The object that holds the whole configuration.
const NAME: &str = "main";

/// Puts configurations in force.
#[derive(Debug)]
pub(super) struct ConfigFollower {
    front: Rc<Front>,
    /// The store's revision up to which the kind is known.
    known_to: Cell<Option<u64>>,
}

impl ConfigFollower {
    pub(super) fn new(front: Rc<Front>) -> Self {
        Self {
            front,
            known_to: Cell::new(None),
        }
    }

    /// Tells the other VMs a configuration that was put in force, unless one of
    /// them told it.
    fn tell(&self, known: u64, object: Object) {
        if object.revision <= known {
            return;
        }
        let news = Learned::Config(ConfigNews {
            revision: object.revision,
            spec: object.spec,
        });
        // With a full queue the others will ask the store.
        if let Err(e) = self.front.news.try_send(news) {
            log::debug!("a configuration is not told: {e}");
        }
    }
}

/// Takes in the object, if it is the configuration and not in force yet.
/// Returns whether it is in force.
pub(super) fn take(front: &Front, object: &Object) -> bool {
    object.name == NAME && put(front, object.revision, &object.spec)
}

/// Takes in what another VM learned from the store.
pub(crate) fn take_news(front: &Front, news: &ConfigNews) {
    put(front, news.revision, &news.spec);
}

fn put(front: &Front, revision: u64, spec: &RawValue) -> bool {
    if front.routing.has_revision(revision) {
        return true;
    }
    match fleet_config(spec.get()) {
        Ok(config) => {
            if front.routing.put(revision, config) {
                configure(front);
            }
        }
        Err(e) => {
            let error = e.to_string();
            record!(
                events::CONFIG_REFUSED,
                revision = revision,
                error = error.as_str(),
            );
        }
    }
    front.routing.has_revision(revision)
}

impl Follower for ConfigFollower {
    const KIND: Kind = Kind::Config;

    fn revision(&self) -> Option<u64> {
        self.known_to.get()
    }

    fn is_behind(&self) -> bool {
        self.front.peers.newest_config() > self.front.routing.revision()
    }

    fn listed(&self, objects: &[Object], revision: u64) {
        for object in objects {
            take(&self.front, object);
        }
        self.known_to.set(Some(revision));
    }

    fn changed(&self, changes: Vec<Change>, revision: u64) {
        let known = self.front.routing.revision();
        for change in changes.into_iter().filter(|c| !c.deleted) {
            take(&self.front, &change.object);
            if change.object.revision == self.front.routing.revision() {
                self.tell(known, change.object);
            }
        }
        self.known_to.set(Some(revision));
    }

    fn history_gone(&self) {
        self.known_to.set(None);
    }
}
