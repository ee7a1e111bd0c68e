//! Requests that end what runs them, told apart from those that merely ran there.

use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::quarantine::{Quarantine, QuarantineSettings, Suspect};
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
    })
}

/// Three upstreams have ended under the fatal request, a second apart.
fn holding() -> Quarantine {
    let mut quarantine = quarantine();
    for n in 1..=3 {
        assert!(quarantine.hold(at(n), FATAL).is_none());
        assert!(quarantine.ended(at(n), FATAL, &upstream(n)));
    }
    quarantine
}

#[test]
fn after_so_many_ends_it_is_held_until_the_hold_is_over() {
    let quarantine = holding();
    let hold = quarantine.hold(at(3), FATAL).expect("a hold");
    assert_eq!((hold.ends, hold.left), (3, HOLD));
    assert!(quarantine.hold(at(602), FATAL).is_some());
    assert!(quarantine.hold(at(603), FATAL).is_none());
    assert!(quarantine.hold(at(3), HARMLESS).is_none());
}

#[test]
fn an_end_long_before_the_last_does_not_shorten_the_hold() {
    let mut quarantine = quarantine();
    for (n, seconds) in [1, 300, 500].into_iter().enumerate() {
        quarantine.ended(at(seconds), FATAL, &upstream(n as u64));
    }
    assert!(quarantine.expire(at(700)).is_empty());
    assert!(quarantine.hold(at(700), FATAL).is_some());
    assert!(quarantine.hold(at(1_099), FATAL).is_some());
    let mut started = self::quarantine();
    let heard = started.hear(at(1), &quarantine.told(at(1_000), 10));
    assert_eq!(heard.held, [FATAL]);
    assert_eq!(started.checksum(), quarantine.checksum());
    assert_eq!(quarantine.expire(at(1_100)), [FATAL]);
}

#[test]
fn one_more_end_after_the_hold_begins_another() {
    let mut quarantine = holding();
    quarantine.ended(at(700), FATAL, &upstream(4));
    assert_eq!(quarantine.hold(at(700), FATAL).expect("a hold").left, HOLD);
}

#[test]
fn the_same_end_counts_once_and_the_next_life_anew() {
    let mut quarantine = quarantine();
    for _ in 0..5 {
        quarantine.ended(at(1), FATAL, &Incarnation::new("u1", 100));
    }
    assert!(quarantine.hold(at(1), FATAL).is_none());
    quarantine.ended(at(2), FATAL, &Incarnation::new("u1", 200));
    quarantine.ended(at(3), FATAL, &Incarnation::new("u1", 300));
    assert!(quarantine.hold(at(3), FATAL).is_some());
}

#[test]
fn a_good_run_in_between_clears_it() {
    let mut quarantine = quarantine();
    quarantine.ended(at(1), HARMLESS, &upstream(1));
    quarantine.ended(at(2), HARMLESS, &upstream(2));
    assert!(quarantine.ran_well(at(3), HARMLESS));
    assert!(!quarantine.ran_well(at(3), HARMLESS));
    quarantine.ended(at(4), HARMLESS, &upstream(3));
    quarantine.ended(at(5), HARMLESS, &upstream(4));
    assert!(quarantine.hold(at(5), HARMLESS).is_none());
}

#[test]
fn a_good_run_is_heard_of_by_those_who_hold() {
    let mut seen = holding();
    let mut other = seen.clone();
    // A run that began before the hold came to its end.
    seen.ran_well(at(4), FATAL);
    assert_ne!(seen.checksum(), other.checksum());
    let heard = seen.hear(at(5), &other.told(at(5), 10));
    assert_eq!(heard.known_better, [FATAL]);
    let answer = other.hear(at(5), &seen.told_of(at(5), &heard.known_better));
    assert!(answer.known_better.is_empty());
    assert_eq!(seen.checksum(), other.checksum());
    assert!(other.hold(at(5), FATAL).is_none());
}

#[test]
fn single_ends_come_together_at_those_who_keep_account() {
    let mut vms = [quarantine(), quarantine(), quarantine()];
    let mut keeper = quarantine();
    for (n, vm) in vms.iter_mut().enumerate() {
        vm.ended(at(1), FATAL, &upstream(n as u64));
        let heard = keeper.hear(at(1), &vm.told_of(at(1), &[FATAL]));
        assert_eq!(heard.held.is_empty(), n < 2);
        assert_eq!(vm.checksum(), 0);
    }
    for vm in &mut vms {
        let heard = vm.hear(at(1), &keeper.told(at(1), 10));
        assert_eq!(heard.held, [FATAL]);
        assert_eq!(vm.checksum(), keeper.checksum());
    }
}

#[test]
fn switched_off_it_remembers_nothing() {
    let mut off = Quarantine::new(QuarantineSettings {
        ends: 0,
        hold: HOLD,
    });
    assert!(!off.ended(at(1), FATAL, &upstream(1)));
    assert!(off.is_empty());
    assert!(off.hold(at(1), FATAL).is_none());
}

#[test]
fn what_is_old_is_forgotten() {
    let mut quarantine = holding();
    quarantine.expire(at(601));
    assert_eq!(quarantine.len(), 1);
    quarantine.expire(at(604));
    assert!(quarantine.is_empty());
    assert_eq!(quarantine.checksum(), 0);
}

#[test]
fn what_was_told_before_this_vm_started_counts() {
    let held = holding();
    let mut started = quarantine();
    // Its clock begins with it, long after the ends.
    let heard = started.hear(at(1), &held.told(at(60), 10));
    assert_eq!(heard.held, [FATAL]);
    assert!(started.hold(at(1), FATAL).is_some());
    // What has long been over is not taken in again.
    let mut late = quarantine();
    assert!(late.hear(at(1), &held.told(at(700), 10)).held.is_empty());
    assert!(late.is_empty());
}

#[test]
fn the_order_of_what_was_before_this_vm_started_is_kept() {
    let mut seen = quarantine();
    seen.ran_well(at(1), FATAL);
    seen.ended(at(2), FATAL, &upstream(0));
    seen.ran_well(at(3), FATAL);
    for n in 1..=3 {
        seen.ended(at(3 + n), FATAL, &upstream(n));
    }
    let mut started = quarantine();
    started.hear(at(1), &seen.told(at(60), 10));
    assert_eq!(started.hold(at(1), FATAL).expect("a hold").ends, 3);
}

/// A rack ends with all that it runs, many times over.
#[test]
fn it_is_bounded_and_keeps_what_has_the_most_ends() {
    let mut quarantine = holding();
    for request in 100..20_000 {
        quarantine.ended(at(10), request, &upstream(9));
    }
    assert!(quarantine.len() <= 2048);
    assert!(quarantine.hold(at(10), FATAL).is_some());
}

/// What happens at one of several VMs.
#[derive(Clone, Debug)]
enum Step {
    Ended(usize, Fingerprint, u64),
    RanWell(usize, Fingerprint),
    /// One tells another; the word may come twice, and again later.
    Tells(usize, usize),
    /// An old word arrives.
    Again(usize),
}

const VMS: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..VMS, 1..4u128, 0..12u64).prop_map(|(vm, r, u)| Step::Ended(vm, r, u)),
        1 => (0..VMS, 2..4u128).prop_map(|(vm, r)| Step::RanWell(vm, r)),
        4 => (0..VMS, 0..VMS).prop_map(|(from, to)| Step::Tells(from, to)),
        1 => (0..VMS).prop_map(Step::Again),
    ]
}

proptest! {
    /// Whatever the order, and whatever arrives twice or late: once all have told all,
    /// they know the same, and what never ran well is held by all if enough ended.
    #[test]
    fn vms_that_hear_each_other_agree(steps in prop::collection::vec(step(), 1..80)) {
        let mut vms = vec![quarantine(); VMS];
        let mut words: Vec<(u64, Vec<Suspect>)> = Vec::new();
        let mut ended = std::collections::BTreeSet::new();
        let mut now = 1;
        for step in steps {
            now += 1;
            match step {
                Step::Ended(vm, request, n) => {
                    vms[vm].ended(at(now), request, &upstream(n));
                    if request == 1 {
                        ended.insert(n);
                    }
                }
                Step::RanWell(vm, request) => {
                    vms[vm].ran_well(at(now), request);
                }
                Step::Tells(from, to) => {
                    let told = vms[from].told_of(at(now), &[1, 2, 3]);
                    vms[to].hear(at(now), &told);
                    vms[to].hear(at(now), &told);
                    words.push((now, told));
                }
                Step::Again(to) => {
                    if let Some((_, told)) = words.first() {
                        vms[to].hear(at(now), told);
                    }
                }
            }
        }
        for _ in 0..2 {
            for from in 0..VMS {
                for to in 0..VMS {
                    let told = vms[from].told_of(at(now), &[1, 2, 3]);
                    vms[to].hear(at(now), &told);
                }
            }
        }
        for vm in &vms {
            prop_assert_eq!(vm.checksum(), vms[0].checksum());
            prop_assert_eq!(vm.hold(at(now), 1).is_some(), ended.len() >= 3);
        }
    }

    /// A request that always runs well in between is never held.
    #[test]
    fn what_runs_well_every_third_time_is_never_held(turns in 1..60u64) {
        let mut vm = quarantine();
        for n in 0..turns {
            match n % 3 {
                2 => { vm.ran_well(at(n + 1), HARMLESS); }
                _ => { vm.ended(at(n + 1), HARMLESS, &upstream(n)); }
            }
            prop_assert!(vm.hold(at(n + 1), HARMLESS).is_none());
        }
    }
}
