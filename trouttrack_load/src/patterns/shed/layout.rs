//! The fleet: its sizes, and what stands where.

use crate::patterns::settings::world_settings;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::upstream::UpstreamSpec;
use trouttrack_core::world::World;

pub(super) const SERVICE: &str = "desk";
/// Slots of an upstream, and the work of a call, as one customer's sheet gives them.
pub(super) const SLOTS: usize = 6;
pub(super) const WORK: Duration = Duration::from_millis(60);

/// Two thirds as many upstreams as VMs at six, as the smallest deployments have.
pub(super) fn upstreams(vms: usize) -> usize {
    (vms * 2 / 3).max(4)
}

pub(super) fn id(upstream: usize) -> String {
    format!("u{upstream:03}")
}

pub(super) fn number(id: &str) -> usize {
    id[1..].parse().expect("upstreams are numbered")
}

/// Failure domains; VMs and upstreams stand in them by turns.
pub(super) fn domain(place: usize) -> String {
    format!("d{}", place % 4)
}

fn spec(upstream: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: id(upstream),
        version: String::new(),
        born: 0,
        failure_domain: domain(upstream),
        services: vec![SERVICE.to_owned()],
        capacity_tokens: 0,
        max_running: SLOTS,
        warm_up_ends_at: Time::ZERO,
        cold_rate: 0.0,
    }
}

pub(super) fn new_world(vm: usize, upstreams: usize, seed: u64) -> World {
    let mut world = World::new(world_settings(domain(vm), vm, seed));
    world.configure((0..upstreams).map(spec).collect());
    world
}
