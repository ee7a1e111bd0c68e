//! Admission of connections to a VM that gets most of its failure domain's.

use std::time::Duration;
use trouttrack_core::intake::{Intake, IntakeSettings, ShedReason};

const LAG_BOUND: Duration = Duration::from_millis(100);

fn intake(max_connections: usize) -> Intake {
    Intake::new(IntakeSettings {
        max_connections,
        max_lag: LAG_BOUND,
    })
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Share of 1,000 new connections that are closed.
fn shed_share(intake: &Intake, now: Duration, has_peers: bool) -> f64 {
    let mut intake = intake.clone();
    let draws = (0..1000).map(|n| f64::from(n) / 1000.0);
    let shed = draws.filter(|draw| intake.open(now, *draw, has_peers).is_err());
    shed.count() as f64 / 1000.0
}

#[test]
fn connections_beyond_the_bound_are_closed_until_others_are() {
    let mut intake = intake(2);
    assert_eq!(intake.open(secs(1), 0.9, true), Ok(()));
    assert_eq!(intake.open(secs(1), 0.9, true), Ok(()));
    for has_peers in [true, false] {
        let shed = intake.open(secs(1), 0.9, has_peers);
        assert_eq!(shed, Err(ShedReason::Connections));
    }
    assert_eq!(intake.connections(), 2);
    intake.close();
    assert_eq!(intake.open(secs(1), 0.9, true), Ok(()));
}

#[test]
fn a_vm_that_is_in_time_closes_none() {
    let mut intake = intake(10_000);
    assert_eq!(shed_share(&intake, secs(1), true), 0.0);
    intake.record_lag(secs(1), LAG_BOUND);
    assert_eq!(shed_share(&intake, secs(1), true), 0.0);
}

#[test]
fn the_later_the_loop_the_more_connections_are_closed() {
    let mut intake = intake(10_000);
    intake.record_lag(secs(1), 2 * LAG_BOUND);
    let twice = shed_share(&intake, secs(1), true);
    assert!((twice - 0.5).abs() < 0.01, "{twice}");
    intake.record_lag(secs(1), 10 * LAG_BOUND);
    let tenfold = shed_share(&intake, secs(1), true);
    assert!((tenfold - 0.9).abs() < 0.01, "{tenfold}");
    // What was accepted is served, and the lag is over.
    intake.record_lag(secs(2), Duration::from_millis(3));
    assert_eq!(shed_share(&intake, secs(2), true), 0.0);
}

/// Without new connections nothing is measured.
#[test]
fn an_old_lag_closes_no_connection() {
    let mut intake = intake(10_000);
    intake.record_lag(secs(1), 10 * LAG_BOUND);
    assert_eq!(shed_share(&intake, secs(3), true), 0.0);
}

#[test]
fn a_vm_alone_serves_as_well_as_it_can() {
    let mut intake = intake(10_000);
    intake.record_lag(secs(1), 10 * LAG_BOUND);
    assert_eq!(shed_share(&intake, secs(1), false), 0.0);
}
