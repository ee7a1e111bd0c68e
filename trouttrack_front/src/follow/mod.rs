//! Keeping a local copy of the objects in the platform's store up to date.
//!
//! Each kind of object is listed once. After that a few VMs watch it and notify
//! the others ([`crate::peers`]); a VM that learns that it missed changes reads
//! only those from the store. A watch without events does not prove that the copy
//! is current, so the configuration is also read periodically, by whichever VM's
//! confirmation is due for renewal; the others receive the confirmation in that
//! VM's heartbeats.

mod backoff;
mod bootstrap;
mod calls;
mod config;
mod confirm;
mod departures;
mod evacuations;
mod follower;
mod holds;
mod kind;
mod self_reports;
mod upstreams;
mod versions;
mod vms;

pub(crate) use config::apply_revision as apply_config;
pub(crate) use departures::receive_departures;
pub(crate) use evacuations::{UpdateSource, apply_evacuations};
pub(crate) use self_reports::{receive_answer, receive_limits, receive_report};
pub(crate) use upstreams::{UpdateResult, apply_update, update_readiness};

pub(crate) use versions::{LatestRead, recorded_versions};

use crate::state::Front;
use crate::tasks;
use std::net::SocketAddr;
use std::rc::Rc;

/// Starts all followers and the tasks that write to the store.
pub(crate) fn start(front: &Rc<Front>, own: SocketAddr) {
    tasks::spawn(front, "follow-config", |front| {
        kind::follow(Rc::clone(&front), config::ConfigFollower::new(front))
    });
    tasks::spawn(front, "follow-upstreams", |front| {
        kind::follow(Rc::clone(&front), upstreams::UpstreamFollower::new(front))
    });
    tasks::spawn(front, "follow-evacuations", |front| {
        let follower = evacuations::EvacuationFollower::new(Rc::clone(&front));
        kind::follow(front, follower)
    });
    tasks::spawn(front, "sync-holds", holds::sync);
    tasks::spawn(front, "sync-versions", versions::sync);
    tasks::spawn(front, "announce-vm", move |front| vms::announce(front, own));
    tasks::spawn(front, "list-vms", vms::list);
    tasks::spawn(front, "expire-upstreams", upstreams::expire);
    tasks::spawn(front, "confirm-config", confirm::confirm);
}
