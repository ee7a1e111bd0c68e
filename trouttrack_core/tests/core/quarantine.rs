//! Quarantine of requests that crash upstreams, without holding requests that only ran
//! beside them.

use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::quarantine::{CrashRecord, Quarantine, QuarantineSettings, Subject};
use trouttrack_core::upstream::Incarnation;
use trouttrack_core::{Fingerprint, Time};

const FATAL: Fingerprint = 7;
const HARMLESS: Fingerprint = 8;
const HOLD: Duration = Duration::from_secs(600);

fn at(seconds: u64) -> Time {
    Duration::from_secs(seconds)
}

fn upstream(n: u64) -> Incarnation {
    Incarnation::new(&format!("u{n}"), 1)
}

fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineSettings {
        ends: 3,
        hold: HOLD,
        ..QuarantineSettings::default()
    })
}

/// A quarantine in which three upstreams crashed while running [`FATAL`], one second apart.
fn holding_quarantine() -> Quarantine {
    let mut quarantine = quarantine();
    for n in 1..=3 {
        assert!(quarantine.hold(at(n), FATAL).is_none());
        assert!(quarantine.record_crash(at(n), FATAL, &upstream(n)));
    }
    quarantine
}

#[test]
fn a_request_is_held_after_enough_crashes_until_the_hold_expires() {
    let quarantine = holding_quarantine();
    let hold = quarantine.hold(at(3), FATAL).expect("a hold");
    assert_eq!((hold.ends, hold.left), (3, HOLD));
    assert!(quarantine.hold(at(602), FATAL).is_some());
    assert!(quarantine.hold(at(603), FATAL).is_none());
    assert!(quarantine.hold(at(3), HARMLESS).is_none());
}

#[test]
fn an_early_crash_does_not_shorten_the_hold() {
    let mut quarantine = quarantine();
    for (n, seconds) in [1, 300, 500].into_iter().enumerate() {
        quarantine.record_crash(at(seconds), FATAL, &upstream(n as u64));
    }
    assert!(quarantine.expire(at(700)).is_empty());
    assert!(quarantine.hold(at(700), FATAL).is_some());
    assert!(quarantine.hold(at(1_099), FATAL).is_some());
    let mut started = self::quarantine();
    let heard = started.merge_records(at(1), &quarantine.held_records(at(1_000), 10));
    assert_eq!(heard.held, [Subject::Request(FATAL)]);
    assert_eq!(started.checksum(), quarantine.checksum());
    assert_eq!(quarantine.expire(at(1_100)), [Subject::Request(FATAL)]);
}

#[test]
fn a_crash_after_expiry_starts_a_new_hold() {
    let mut quarantine = holding_quarantine();
    quarantine.record_crash(at(700), FATAL, &upstream(4));
    assert_eq!(quarantine.hold(at(700), FATAL).expect("a hold").left, HOLD);
}

#[test]
fn each_incarnation_counts_once() {
    let mut quarantine = quarantine();
    for _ in 0..5 {
        quarantine.record_crash(at(1), FATAL, &Incarnation::new("u1", 100));
    }
    assert!(quarantine.hold(at(1), FATAL).is_none());
    quarantine.record_crash(at(2), FATAL, &Incarnation::new("u1", 200));
    quarantine.record_crash(at(3), FATAL, &Incarnation::new("u1", 300));
    assert!(quarantine.hold(at(3), FATAL).is_some());
}

#[test]
fn a_completed_run_resets_the_count() {
    let mut quarantine = quarantine();
    quarantine.record_crash(at(1), HARMLESS, &upstream(1));
    quarantine.record_crash(at(2), HARMLESS, &upstream(2));
    assert!(quarantine.record_completed_run(at(3), HARMLESS));
    assert!(!quarantine.record_completed_run(at(3), HARMLESS));
    quarantine.record_crash(at(4), HARMLESS, &upstream(3));
    quarantine.record_crash(at(5), HARMLESS, &upstream(4));
    assert!(quarantine.hold(at(5), HARMLESS).is_none());
}

#[test]
fn a_completed_run_releases_the_hold_at_other_vms() {
    let mut seen = holding_quarantine();
    let mut other = seen.clone();
    // A run that started before the hold completes.
    seen.record_completed_run(at(4), FATAL);
    assert_ne!(seen.checksum(), other.checksum());
    let heard = seen.merge_records(at(5), &other.held_records(at(5), 10));
    assert_eq!(heard.newer_runs, [Subject::Request(FATAL)]);
    let answer = other.merge_records(at(5), &seen.records_of(at(5), &heard.newer_runs));
    assert!(answer.newer_runs.is_empty());
    assert_eq!(seen.checksum(), other.checksum());
    assert!(other.hold(at(5), FATAL).is_none());
}

#[test]
fn record_keepers_combine_single_crashes() {
    let mut vms = [quarantine(), quarantine(), quarantine()];
    let mut keeper = quarantine();
    for (n, vm) in vms.iter_mut().enumerate() {
        vm.record_crash(at(1), FATAL, &upstream(n as u64));
        let heard = keeper.merge_records(at(1), &vm.records_of(at(1), &[FATAL]));
        assert_eq!(heard.held.is_empty(), n < 2);
        assert_eq!(vm.checksum(), 0);
    }
    for vm in &mut vms {
        let heard = vm.merge_records(at(1), &keeper.held_records(at(1), 10));
        assert_eq!(heard.held, [Subject::Request(FATAL)]);
        assert_eq!(vm.checksum(), keeper.checksum());
    }
}

#[test]
fn a_disabled_quarantine_records_nothing() {
    let mut off = Quarantine::new(QuarantineSettings {
        ends: 0,
        hold: HOLD,
        ..QuarantineSettings::default()
    });
    assert!(!off.record_crash(at(1), FATAL, &upstream(1)));
    assert!(off.is_empty());
    assert!(off.hold(at(1), FATAL).is_none());
}

#[test]
fn old_records_expire() {
    let mut quarantine = holding_quarantine();
    quarantine.expire(at(601));
    assert_eq!(quarantine.len(), 1);
    quarantine.expire(at(604));
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.checksum(), 0);
}

#[test]
fn crashes_before_the_vm_started_count() {
    let held = holding_quarantine();
    let mut started = quarantine();
    // Its clock starts at 0, long after the crashes.
    let heard = started.merge_records(at(1), &held.held_records(at(60), 10));
    assert_eq!(heard.held, [Subject::Request(FATAL)]);
    assert!(started.hold(at(1), FATAL).is_some());
    // Records whose hold has expired are ignored.
    let mut late = quarantine();
    assert!(
        late.merge_records(at(1), &held.held_records(at(700), 10))
            .held
            .is_empty()
    );
    assert!(late.is_empty());
}

#[test]
fn events_before_the_vm_started_keep_their_order() {
    let mut seen = quarantine();
    seen.record_completed_run(at(1), FATAL);
    seen.record_crash(at(2), FATAL, &upstream(0));
    seen.record_completed_run(at(3), FATAL);
    for n in 1..=3 {
        seen.record_crash(at(3 + n), FATAL, &upstream(n));
    }
    let mut started = quarantine();
    started.merge_records(at(1), &seen.held_records(at(60), 10));
    assert_eq!(started.hold(at(1), FATAL).expect("a hold").ends, 3);
}

/// Many requests lose an upstream, as when a rack fails with all that it runs.
#[test]
fn the_table_is_bounded_and_keeps_requests_with_most_crashes() {
    let mut quarantine = holding_quarantine();
    for request in 100..20_000 {
        quarantine.record_crash(at(10), request, &upstream(9));
    }
    assert!(quarantine.len() <= 2048);
    assert!(quarantine.hold(at(10), FATAL).is_some());
}

/// Event at one of several VMs.
#[derive(Clone, Debug)]
enum Step {
    Ended(usize, Fingerprint, u64),
    RanWell(usize, Fingerprint),
    /// One VM sends its records to another, which receives them twice.
    Send(usize, usize),
    /// The first message sent arrives again.
    Replay(usize),
}

const VMS: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..VMS, 1..4u128, 0..12u64).prop_map(|(vm, r, u)| Step::Ended(vm, r, u)),
        1 => (0..VMS, 2..4u128).prop_map(|(vm, r)| Step::RanWell(vm, r)),
        4 => (0..VMS, 0..VMS).prop_map(|(from, to)| Step::Send(from, to)),
        1 => (0..VMS).prop_map(Step::Replay),
    ]
}

proptest! {
    /// With messages in any order, duplicated or late, all VMs have the same records after
    /// a full exchange, and a request that never completed is held by all of them if it
    /// crashed enough upstreams.
    #[test]
    fn vms_converge_after_a_full_exchange(steps in prop::collection::vec(step(), 1..80)) {
        let mut vms = vec![quarantine(); VMS];
        let mut messages: Vec<(u64, Vec<CrashRecord>)> = Vec::new();
        let mut ended = std::collections::BTreeSet::new();
        let mut now = 1;
        for step in steps {
            now += 1;
            match step {
                Step::Ended(vm, request, n) => {
                    vms[vm].record_crash(at(now), request, &upstream(n));
                    if request == 1 {
                        ended.insert(n);
                    }
                }
                Step::RanWell(vm, request) => {
                    vms[vm].record_completed_run(at(now), request);
                }
                Step::Send(from, to) => {
                    let told = vms[from].records_of(at(now), &[1u128, 2, 3]);
                    vms[to].merge_records(at(now), &told);
                    vms[to].merge_records(at(now), &told);
                    messages.push((now, told));
                }
                Step::Replay(to) => {
                    if let Some((_, told)) = messages.first() {
                        vms[to].merge_records(at(now), told);
                    }
                }
            }
        }
        for _ in 0..2 {
            for from in 0..VMS {
                for to in 0..VMS {
                    let told = vms[from].records_of(at(now), &[1u128, 2, 3]);
                    vms[to].merge_records(at(now), &told);
                }
            }
        }
        for vm in &vms {
            prop_assert_eq!(vm.checksum(), vms[0].checksum());
            prop_assert_eq!(vm.hold(at(now), 1u128).is_some(), ended.len() >= 3);
        }
    }

    /// A request that completes after every second crash is never held.
    #[test]
    fn a_request_that_completes_regularly_is_never_held(turns in 1..60u64) {
        let mut vm = quarantine();
        for n in 0..turns {
            match n % 3 {
                2 => { vm.record_completed_run(at(n + 1), HARMLESS); }
                _ => { vm.record_crash(at(n + 1), HARMLESS, &upstream(n)); }
            }
            prop_assert!(vm.hold(at(n + 1), HARMLESS).is_none());
        }
    }
}

/// Guards against a hold that begins again because a list of the store, read before the hold's
/// removal there, is taken for news.
#[test]
fn a_list_that_lags_does_not_renew_a_hold_that_is_over() {
    let mut quarantine = holding_quarantine();
    let crashed = [1, 2, 3].map(upstream);
    assert_eq!(quarantine.expire(at(700)), [Subject::Request(FATAL)]);
    assert!(!quarantine.restore(at(701), FATAL, &crashed, &[]));
    assert!(quarantine.hold(at(701), FATAL).is_none());
    // Another crash is news.
    let again = [1, 2, 4].map(upstream);
    assert!(quarantine.restore(at(702), FATAL, &again, &[]));
}
