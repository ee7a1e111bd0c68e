//! Encoded sizes of what VMs report to each other, against the budget for control.

use trouttrack_core::membership::{
    Conditions, LOCAL_FANOUT, MAX_UNREACHABLE_PER_DATAGRAM, REMOTE_FANOUT, ReportedDemand,
    ReportedReachable, ReportedUnreachable, UpstreamUse, heartbeat_interval,
};
use trouttrack_core::upstream::{Incarnation, ReportedLimit};

/// Budget of a VM for control, in bytes per second.
const BUDGET: f64 = 13_000.0;
const BORN_MS: u64 = 1_800_000_000_000;

fn encoded<T: serde::Serialize>(value: &T) -> usize {
    postcard::to_stdvec(value).expect("it encodes").len()
}

fn incarnation(n: usize) -> Incarnation {
    Incarnation::new(&format!("engine-{n:04}"), BORN_MS)
}

fn unreachable(count: usize) -> Vec<ReportedUnreachable> {
    let reported = |n| ReportedUnreachable {
        upstream: incarnation(n),
        age_ms: 20_000,
    };
    (0..count).map(reported).collect()
}

fn reachable(count: usize) -> Vec<ReportedReachable> {
    let reported = |n| ReportedReachable {
        upstream: incarnation(n),
        age_ms: 1_500,
    };
    (0..count).map(reported).collect()
}

fn demand(services: usize, classes: u8) -> Vec<ReportedDemand> {
    let reported = |service: usize, class: u8| ReportedDemand {
        service: format!("service-{service:02}"),
        class,
        requests: 200,
        tokens: 600_000,
        objective_ms: 1_500,
    };
    (0..services)
        .flat_map(|service| (0..classes).map(move |class| reported(service, class)))
        .collect()
}

/// Bytes that conditions add to a datagram.
fn added(conditions: Conditions) -> usize {
    encoded(&conditions) - encoded(&Conditions::default())
}

/// Bytes per second of what is in each heartbeat of a VM.
fn in_heartbeats(vms: usize, bytes: usize) -> f64 {
    let receivers = (LOCAL_FANOUT + REMOTE_FANOUT) as f64;
    bytes as f64 * receivers / heartbeat_interval(vms).as_secs_f64()
}

fn upstream_use(n: usize) -> UpstreamUse {
    UpstreamUse {
        upstream: format!("engine-{n:04}"),
        running: 2,
        peak_tokens: 8_000,
        held_tokens: 6_000,
        loading_tokens: 0,
        lost_ms: None,
        handovers: 0,
        recent_handovers: 0,
    }
}

/// A load update: format version, kind, sender, incarnation, sequence number, uses and limits.
fn load_update(uses: usize) -> usize {
    let uses: Vec<_> = (0..uses).map(upstream_use).collect();
    let limits: Vec<ReportedLimit> = Vec::new();
    encoded(&(6_u8, 1_u8, "vm-0123", BORN_MS, 2_000_000_u64, uses, limits))
}

fn demand_bytes(services: usize, classes: u8) -> usize {
    added(Conditions {
        demand: demand(services, classes),
        ..Conditions::default()
    })
}

fn unreachable_bytes(count: usize) -> usize {
    added(Conditions {
        unreachable: unreachable(count),
        ..Conditions::default()
    })
}

fn reachable_bytes(count: usize) -> usize {
    added(Conditions {
        reachable: reachable(count),
        ..Conditions::default()
    })
}

#[test]
fn what_79_vms_report_besides_rates_takes_a_stated_part_of_the_budget() {
    let (demand, refused) = (demand_bytes(1, 3), unreachable_bytes(1));
    assert!((40..=60).contains(&demand), "{demand} bytes");
    assert!((18..=25).contains(&refused), "{refused} bytes");
    assert!((18..=25).contains(&reachable_bytes(1)));
    assert!(in_heartbeats(79, demand) < 0.4 * BUDGET);
    assert!(in_heartbeats(79, refused + reachable_bytes(1)) < 0.3 * BUDGET);
    // The worst case is one datagram still, but not within the budget.
    let most = MAX_UNREACHABLE_PER_DATAGRAM;
    let worst = unreachable_bytes(most) + reachable_bytes(most) + demand_bytes(4, 3);
    assert!(worst < 1_300, "{worst} bytes");
}

#[test]
fn a_load_update_grows_with_the_upstreams_in_use() {
    let sizes = [3, 8, 24].map(load_update);
    assert!(
        sizes[0] <= 100 && sizes[1] <= 200 && sizes[2] <= 550,
        "{sizes:?}"
    );
}
