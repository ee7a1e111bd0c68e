//! Keeping current what the platform's store holds.
//!
//! Each kind of object is listed once. Then a few VMs watch it and tell the
//! others ([`crate::peers`]); a VM that hears that it has missed something asks
//! the store for just that. A watch proves nothing by its silence, so the
//! configuration is read at intervals besides, by whichever VM finds its
//! confirmation too old; the others take it from that VM's heartbeats.

mod backoff;
mod bootstrap;
mod calls;
mod config;
mod confirm;
mod evacuations;
mod follower;
mod holds;
mod kind;
mod upstreams;
mod vms;
mod words;

pub(crate) use config::take_revision as take_config;
pub(crate) use evacuations::{Told, take_evacuations};
pub(crate) use upstreams::{Taken, take_news};
pub(crate) use words::{heard_from_peer, heard_in_answer, heard_in_report};

use crate::state::Front;
use std::net::SocketAddr;
use std::rc::Rc;

/// Starts every follower of a front.
pub(crate) fn start(front: &Rc<Front>, own: SocketAddr) {
    let config = config::ConfigFollower::new(Rc::clone(front));
    let upstreams = upstreams::UpstreamFollower::new(Rc::clone(front));
    actix_rt::spawn(kind::follow(Rc::clone(front), config));
    actix_rt::spawn(kind::follow(Rc::clone(front), upstreams));
    let evacuations = evacuations::EvacuationFollower::new(Rc::clone(front));
    actix_rt::spawn(kind::follow(Rc::clone(front), evacuations));
    actix_rt::spawn(holds::keep(Rc::clone(front)));
    actix_rt::spawn(vms::announce(Rc::clone(front), own));
    actix_rt::spawn(vms::list(Rc::clone(front)));
    actix_rt::spawn(upstreams::expire(Rc::clone(front)));
    actix_rt::spawn(confirm::confirm(Rc::clone(front)));
}
