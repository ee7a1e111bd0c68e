//! What is new reaches all VMs in a time that grows less than the fleet.
//!
//! Figures: VMs with a link of 20 Mbit/s, a store with 1 Gbit/s, ten upstreams a VM, one
//! datagram in a hundred lost. The times that are allowed are those of the users' bounds.

use std::time::Duration;
use trouttrack_load::spread::configuration::{self, Passing};
use trouttrack_load::spread::confirmation::{self, Confirming};
use trouttrack_load::spread::news::{self, Telling};
use trouttrack_load::spread::start::{self, Listing};
use trouttrack_load::spread::{Layout, SIZES};

/// VMs of the whole fleet, and of twice that.
const FLEET: [usize; 2] = [985, 2000];
/// A leaving upstream gets no new work after this, in the whole fleet.
const LEAVING_WITHIN: Duration = Duration::from_secs(5);
/// A configuration is in force everywhere after this.
const IN_FORCE: Duration = Duration::from_secs(5);
/// A removed key is refused after this, less the way of a request.
const KEYS_REFUSED: Duration = Duration::from_millis(4700);
/// Requests are served again so long after all VMs have started.
const RECOVERED: Duration = Duration::from_secs(18);
/// Seeds that are played.
const SEEDS: std::ops::Range<u64> = 0..3;

fn plays() -> impl Iterator<Item = (Layout, u64)> {
    FLEET
        .into_iter()
        .flat_map(|vms| SEEDS.map(move |seed| (Layout::of(vms), seed)))
}

#[test]
fn after_a_start_of_all_vms_each_knows_the_upstreams_in_time() {
    for (layout, seed) in plays() {
        let reached = start::play(&layout, Listing::Few, seed);
        let last = reached.part(1.0).expect("all know");
        assert!(last < RECOVERED, "{} VMs: {last:?}", layout.vms);
    }
}

#[test]
fn if_each_vm_listed_the_store_would_be_too_slow_for_the_whole_fleet() {
    let reached = start::play(&Layout::of(FLEET[0]), Listing::Each, 1);
    assert!(reached.part(1.0).is_none_or(|last| last > RECOVERED));
}

#[test]
fn news_of_a_seventh_of_the_upstreams_reach_all_in_time() {
    for (layout, seed) in plays() {
        let changes = layout.upstreams / 7;
        let relayed = news::play(&layout, changes, Telling::Relayed, seed);
        let last = relayed.part(1.0).expect("all know");
        assert!(last < LEAVING_WITHIN, "{} VMs: {last:?}", layout.vms);
        let direct = news::play(&layout, changes, Telling::OneSender, seed);
        assert!(relayed.busiest < direct.busiest / 2.0);
    }
}

#[test]
fn a_configuration_is_in_force_everywhere_in_time_without_calls_to_the_store() {
    for (layout, seed) in plays() {
        let reached = configuration::play(&layout, Passing::FromVmToVm, seed);
        let last = reached.part(1.0).expect("all know");
        assert!(last < IN_FORCE, "{} VMs: {last:?}", layout.vms);
        assert_eq!(reached.calls, 0);
    }
}

#[test]
fn no_vm_but_the_watcher_calls_the_store_to_confirm_a_configuration() {
    for (layout, seed) in plays() {
        let asked = confirmation::play(&layout, Confirming::Asked, seed);
        assert_eq!(asked.calls_a_second, 0.0, "{} VMs", layout.vms);
        assert!(asked.oldest < KEYS_REFUSED, "{:?}", asked.oldest);
        // Heartbeats alone leave it to the store: a call of nearly every VM.
        let told = confirmation::play(&layout, Confirming::ByHeartbeats, seed);
        assert!(told.calls_a_second > layout.near() as f64 / 4.0);
    }
}

#[test]
fn in_small_fleets_nothing_is_slower() {
    for layout in SIZES.map(Layout::of).into_iter().take(2) {
        let reached = configuration::play(&layout, Passing::FromVmToVm, 1);
        assert!(reached.part(1.0).is_some_and(|last| last < IN_FORCE / 2));
        assert!(start::play(&layout, Listing::Few, 1).all());
    }
}
