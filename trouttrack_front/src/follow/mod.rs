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
mod vms;

pub(crate) use config::apply_revision as apply_config;
pub(crate) use departures::receive_departures;
pub(crate) use evacuations::{UpdateSource, apply_evacuations};
pub(crate) use self_reports::{receive_answer, receive_limits, receive_report};
pub(crate) use upstreams::{UpdateResult, apply_update};

use crate::state::Front;
use std::net::SocketAddr;
use std::rc::Rc;

/// Starts all followers and the tasks that write to the store.
pub(crate) fn start(front: &Rc<Front>, own: SocketAddr) {
    let config = config::ConfigFollower::new(Rc::clone(front));
    let upstreams = upstreams::UpstreamFollower::new(Rc::clone(front));
    actix_rt::spawn(kind::follow(Rc::clone(front), config));
    actix_rt::spawn(kind::follow(Rc::clone(front), upstreams));
    let evacuations = evacuations::EvacuationFollower::new(Rc::clone(front));
    actix_rt::spawn(kind::follow(Rc::clone(front), evacuations));
    actix_rt::spawn(holds::sync(Rc::clone(front)));
    actix_rt::spawn(vms::announce(Rc::clone(front), own));
    actix_rt::spawn(vms::list(Rc::clone(front)));
    actix_rt::spawn(upstreams::expire(Rc::clone(front)));
    actix_rt::spawn(confirm::confirm(Rc::clone(front)));
}
