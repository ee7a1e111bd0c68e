//! Keeping current what the platform's store holds.
//!
//! Each kind of object is listed once and watched from then on. A watch proves
//! nothing by its silence, so a small list is read at short intervals besides:
//! it confirms the configuration, and its revision tells whether the watch of
//! the upstreams has missed anything.

mod backoff;
mod config;
mod confirm;
mod kind;
mod outage;
mod upstreams;
mod vms;

use confirm::confirm;
use kind::follow;
use outage::StoreEvents;

use crate::state::Front;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Starts every follower of a front.
pub fn start(front: &Rc<Front>, own: SocketAddr, config_apply: Duration) {
    let events = Rc::new(StoreEvents::default());
    let config = config::ConfigFollower::new(Rc::clone(front));
    let upstreams = Rc::new(upstreams::UpstreamFollower::new(Rc::clone(front)));
    let vms = vms::VmFollower::new(Rc::clone(front));
    actix_rt::spawn(follow(
        Rc::clone(front),
        Rc::clone(&events),
        Rc::new(config),
    ));
    actix_rt::spawn(follow(
        Rc::clone(front),
        Rc::clone(&events),
        Rc::clone(&upstreams),
    ));
    actix_rt::spawn(follow(Rc::clone(front), Rc::clone(&events), Rc::new(vms)));
    actix_rt::spawn(vms::announce(Rc::clone(front), own));
    actix_rt::spawn(upstreams::expire(Rc::clone(front)));
    actix_rt::spawn(confirm(Rc::clone(front), events, upstreams, config_apply));
}
