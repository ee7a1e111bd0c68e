//! Quarantine of a part of prompts that crashes upstreams.
//!
//! Guards against evidence that is kept under whole requests only: where no two requests are alike,
//! each crash is the first of its request, and nothing is ever held. And against the opposite: a
//! hold on what the requests share with sound ones.

use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::quarantine::{
    Attributes, CrashRecord, CrashedRun, Quarantine, QuarantineSettings, Subject,
};
use trouttrack_core::upstream::Incarnation;
use trouttrack_core::{Fingerprint, PartId, Time};

const FATAL: PartId = 1;
const COMMON: PartId = 2;
const OTHER: PartId = 3;
const HOLD: Duration = Duration::from_secs(600);

fn ms(ms: u64) -> Time {
    Duration::from_millis(ms)
}

fn quarantine() -> Quarantine {
    Quarantine::new(QuarantineSettings {
        part_ends: 3,
        ..QuarantineSettings::default()
    })
}

fn request(fingerprint: Fingerprint, parts: &[PartId]) -> Attributes {
    Attributes::new(fingerprint, parts.to_vec())
}

fn upstream(n: u64) -> Incarnation {
    Incarnation::new(&format!("u{n}"), 1)
}

/// A run on upstream `n`, sent at a time.
fn run(n: u64, sent_ms: u64) -> CrashedRun {
    CrashedRun {
        upstream: upstream(n),
        sent_at: Some(ms(sent_ms)),
    }
}

/// Crashes, one a second, of upstreams under requests that share these parts only.
fn crash_each(quarantine: &mut Quarantine, crashes: u64, parts: &[PartId]) {
    for n in 1..=crashes {
        let request = request(u128::from(n), parts);
        assert!(
            quarantine.hold(ms(n * 1000), request.clone()).is_none(),
            "crash {n}"
        );
        quarantine.record_crash(ms(n * 1000), request, run(n, n * 1000 - 300));
    }
}

fn refuses(quarantine: &Quarantine, parts: &[PartId]) -> bool {
    quarantine.hold(ms(6000), request(999, parts)).is_some()
}

#[test]
fn requests_that_share_a_part_are_held_after_a_few_crashes() {
    let mut quarantine = quarantine();
    crash_each(&mut quarantine, 3, &[FATAL]);
    assert!(refuses(&quarantine, &[FATAL]));
    assert!(refuses(&quarantine, &[COMMON, FATAL, OTHER]));
    assert!(!refuses(&quarantine, &[COMMON, OTHER]));
    assert!(!refuses(&quarantine, &[]));
    let hold = quarantine
        .hold(ms(3000), request(999, &[FATAL]))
        .expect("a hold");
    assert_eq!((hold.subject, hold.ends), (Subject::Part(FATAL), 3));
    assert_eq!(hold.left, HOLD);
}

#[test]
fn a_part_that_sound_requests_share_is_not_held_alone() {
    let mut quarantine = quarantine();
    crash_each(&mut quarantine, 3, &[COMMON, FATAL]);
    // Which of the two is the cause is not known: only requests with both are refused.
    assert!(refuses(&quarantine, &[COMMON, FATAL]));
    assert!(!refuses(&quarantine, &[COMMON]));
    assert!(!refuses(&quarantine, &[COMMON, OTHER]));
    // Whatever else such requests hold.
    assert!(refuses(&quarantine, &[OTHER, COMMON, FATAL]));
}

#[test]
fn a_run_that_began_later_tells_the_cause_from_its_companion() {
    let mut quarantine = quarantine();
    crash_each(&mut quarantine, 3, &[COMMON, FATAL]);
    let cleared = quarantine.record_begun_run(ms(3500), &[COMMON]);
    assert_eq!(cleared, [Subject::Part(COMMON)]);
    assert!(refuses(&quarantine, &[FATAL]));
    assert!(refuses(&quarantine, &[OTHER, FATAL]));
    assert!(!refuses(&quarantine, &[COMMON, OTHER]));
}

#[test]
fn a_crash_without_the_companion_tells_the_cause_from_it() {
    let mut quarantine = quarantine();
    crash_each(&mut quarantine, 3, &[COMMON, FATAL]);
    assert!(!refuses(&quarantine, &[OTHER, FATAL]));
    quarantine.record_crash(ms(4000), request(4, &[OTHER, FATAL]), run(4, 3700));
    assert!(refuses(&quarantine, &[FATAL]));
    assert!(!refuses(&quarantine, &[COMMON]));
    assert!(!refuses(&quarantine, &[OTHER]));
}

/// The first part is shared by most requests of a route.
#[test]
fn a_run_from_before_the_crashes_clears_nothing() {
    let mut quarantine = quarantine();
    crash_each(&mut quarantine, 3, &[FATAL]);
    // A long stream that began before the first crash ends later.
    assert!(quarantine.record_begun_run(ms(500), &[FATAL]).is_empty());
    assert!(refuses(&quarantine, &[FATAL]));
}

#[test]
fn a_part_that_runs_well_between_crashes_is_never_held() {
    let mut quarantine = quarantine();
    for n in 1..50 {
        quarantine.record_crash(
            ms(n * 1000),
            request(n.into(), &[COMMON]),
            run(n, n * 1000 - 1),
        );
        if n % 2 == 0 {
            quarantine.record_begun_run(ms(n * 1000 + 500), &[COMMON]);
        }
        assert!(
            quarantine
                .hold(ms(n * 1000), request(999, &[COMMON]))
                .is_none()
        );
    }
}

/// A request that crashes upstreams by itself, again and again, says little of its parts.
#[test]
fn a_repeated_request_is_held_without_its_parts() {
    let mut quarantine = quarantine();
    for n in 1..=5 {
        quarantine.record_crash(ms(n * 1000), request(7, &[COMMON]), run(n, n * 1000 - 300));
    }
    assert!(quarantine.hold(ms(6000), request(7, &[COMMON])).is_some());
    assert!(!refuses(&quarantine, &[COMMON]));
}

/// What broke off in the middle of its answer is named without its parts.
#[test]
fn parts_of_answers_that_had_begun_long_before_are_not_blamed() {
    let mut quarantine = quarantine();
    for n in 1..=5 {
        let req = request(n.into(), &[COMMON]).without_parts();
        quarantine.record_crash(ms(n * 1000), req, run(n, 0));
    }
    assert!(!refuses(&quarantine, &[COMMON]));
}

/// A rack fails, or the network resets the connections to most upstreams.
#[test]
fn crashes_at_one_moment_are_held_against_no_request_and_no_part() {
    let mut quarantine = quarantine();
    for n in 1..=9 {
        // Callers of one service who ask the same, and others with the same part.
        quarantine.record_crash(ms(1000 + n * 10), request(7, &[COMMON]), run(n, 100 + n));
        quarantine.record_crash(
            ms(1000 + n * 10),
            request(n.into(), &[COMMON]),
            run(n, 200 + n),
        );
    }
    assert_eq!(quarantine.held(ms(1200)), 0);
    // A crash after it counts on.
    quarantine.record_crash(ms(1400), request(7, &[COMMON]), run(20, 1300));
    assert!(quarantine.hold(ms(1400), request(7, &[])).is_some());
}

/// A request that was sent after another upstream had crashed has no part in its cause.
#[test]
fn quick_crashes_one_after_the_other_count() {
    let mut quarantine = quarantine();
    for n in 1..=3 {
        quarantine.record_crash(
            ms(1000 + n * 10),
            request(n.into(), &[FATAL]),
            run(n, 1000 + n * 10 - 5),
        );
    }
    assert!(refuses(&quarantine, &[FATAL]));
}

#[test]
fn what_ran_beside_the_cause_is_not_held_for_its_crashes() {
    let mut quarantine = quarantine();
    for n in 1..=4 {
        let (at, sent) = (n * 1000, n * 1000 - 300);
        quarantine.record_crash(ms(at), request(n.into(), &[COMMON, FATAL]), run(n, sent));
        // Another route's requests wait at the same upstreams.
        if n < 4 {
            quarantine.record_crash(ms(at), request(100 + u128::from(n), &[OTHER]), run(n, sent));
            quarantine.record_crash(ms(at), request(77, &[OTHER]).without_parts(), run(n, sent));
        }
    }
    assert!(refuses(&quarantine, &[COMMON, FATAL]));
    assert!(!refuses(&quarantine, &[OTHER]));
    assert!(quarantine.hold(ms(5000), request(77, &[OTHER])).is_none());
}

#[test]
fn a_lifted_part_is_held_no_more() {
    let mut quarantine = quarantine();
    crash_each(&mut quarantine, 3, &[FATAL]);
    assert_eq!(
        quarantine.set_lifted(vec![Subject::Part(FATAL)]),
        [Subject::Part(FATAL)]
    );
    assert!(!refuses(&quarantine, &[FATAL]));
    assert_eq!(quarantine.checksum(), 0);
    quarantine.record_crash(ms(5000), request(50, &[FATAL]), run(50, 4900));
    assert!(!refuses(&quarantine, &[FATAL]));
}

#[test]
fn a_flood_of_new_parts_evicts_no_hold_and_is_bounded() {
    let mut quarantine = quarantine();
    crash_each(&mut quarantine, 3, &[FATAL]);
    let mut next = 100;
    for n in 10..400_u64 {
        let parts: Vec<PartId> = (next..next + 32).collect();
        next += 32;
        quarantine.record_crash(ms(4000 + n), request(n.into(), &parts), run(n, 4000));
    }
    assert!(quarantine.len() <= 2048 + 1024);
    assert!(refuses(&quarantine, &[FATAL]));
    // Nor does a flood of parts that are held themselves.
    let mut next = 100_000;
    for burst in 0..60_u64 {
        let parts: Vec<PartId> = (next..next + 32).collect();
        next += 32;
        for n in 0..3 {
            let at = 5000 + burst * 10 + n;
            let number = 1000 + burst * 10 + n;
            quarantine.record_crash(ms(at), request(number.into(), &parts), run(number, at));
        }
    }
    assert!(quarantine.len() <= 2048 + 1024);
    assert!(refuses(&quarantine, &[FATAL]));
}

#[test]
fn vms_combine_crashes_that_each_of_them_saw_once() {
    let mut vms = [quarantine(), quarantine(), quarantine()];
    let mut keeper = quarantine();
    let subject = Subject::Part(FATAL);
    for (n, vm) in vms.iter_mut().enumerate() {
        let n = n as u64 + 1;
        vm.record_crash(
            ms(n * 1000),
            request(n.into(), &[FATAL]),
            run(n, n * 1000 - 300),
        );
        let heard = keeper.merge_records(ms(n * 1000), &vm.records_of(ms(n * 1000), &[subject]));
        assert_eq!(heard.held.is_empty(), n < 3);
        // One crash before the hold all VMs hear of the part, so that all can clear it.
        assert_eq!(keeper.concerns_all(ms(n * 1000), subject), n >= 2);
    }
    let now = ms(3001);
    for vm in &mut vms {
        let heard = vm.merge_records(now, &keeper.held_records(now, 10));
        assert_eq!(heard.held, [subject]);
        assert_eq!(vm.checksum(), keeper.checksum());
        assert!(refuses(vm, &[FATAL]));
    }
}

#[test]
fn a_restored_hold_names_the_same_requests() {
    let mut before = quarantine();
    crash_each(&mut before, 3, &[COMMON, FATAL]);
    let held = before.held_or_released(ms(4000));
    let mut held: Vec<Subject> = held.collect();
    held.sort_unstable();
    let mut after = quarantine();
    for subject in held {
        let ended = before.counted_crashes(subject);
        let needed = before.needed_with(subject).to_vec();
        assert!(after.restore(ms(1), subject, &ended, &needed));
    }
    assert!(refuses(&after, &[COMMON, FATAL]));
    assert!(!refuses(&after, &[COMMON]));
}

/// Records of earlier versions have no context.
#[test]
fn records_without_context_are_about_requests() {
    let mut seen = quarantine();
    seen.record_crash(ms(1000), request(7, &[]), run(1, 900));
    seen.record_crash(ms(1010), request(7, &[]), run(2, 905));
    assert!(seen.hold(ms(1010), request(7, &[])).is_none());
    let mut records = seen.records_of(ms(1010), &[7u128]);
    records[0].context = Default::default();
    let mut other = quarantine();
    let heard = other.merge_records(ms(1010), &records);
    assert_eq!(heard.held, [Subject::Request(7)]);
}

/// Event at one of several VMs.
#[derive(Clone, Debug)]
enum Step {
    Ended(usize, u64, u64, bool),
    Began(usize, PartId),
    Send(usize, usize),
    Replay(usize),
}

const VMS: usize = 3;
const SUBJECTS: [Subject; 3] = [
    Subject::Part(FATAL),
    Subject::Part(COMMON),
    Subject::Part(OTHER),
];

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..VMS, 0..9u64, 0..400u64, any::<bool>())
            .prop_map(|(vm, u, sent, other)| Step::Ended(vm, u, sent, other)),
        1 => (0..VMS, 2..4u64).prop_map(|(vm, part)| Step::Began(vm, part)),
        4 => (0..VMS, 0..VMS).prop_map(|(from, to)| Step::Send(from, to)),
        1 => (0..VMS).prop_map(Step::Replay),
    ]
}

proptest! {
    /// With messages in any order, duplicated or late, all VMs hold the same after a full
    /// exchange, and never refuse a request without the fatal part.
    #[test]
    fn vms_converge_and_refuse_no_sound_request(steps in prop::collection::vec(step(), 1..60)) {
        let mut vms = vec![quarantine(); VMS];
        let mut messages: Vec<Vec<CrashRecord>> = Vec::new();
        let mut now = 1000;
        let mut sent: Fingerprint = 0;
        for step in steps {
            now += 150;
            match step {
                Step::Ended(vm, n, age, other) => {
                    sent += 1;
                    let companion = if other { OTHER } else { COMMON };
                    let req = request(sent, &[companion, FATAL]);
                    vms[vm].record_crash(ms(now), req, run(n, now - age));
                }
                Step::Began(vm, part) => {
                    vms[vm].record_begun_run(ms(now), &[part]);
                }
                Step::Send(from, to) => {
                    let told = vms[from].records_of(ms(now), &SUBJECTS);
                    vms[to].merge_records(ms(now), &told);
                    vms[to].merge_records(ms(now), &told);
                    messages.push(told);
                }
                Step::Replay(to) => {
                    if let Some(told) = messages.first() {
                        vms[to].merge_records(ms(now), told);
                    }
                }
            }
        }
        for _ in 0..2 {
            for from in 0..VMS {
                for to in 0..VMS {
                    let told = vms[from].records_of(ms(now), &SUBJECTS);
                    vms[to].merge_records(ms(now), &told);
                }
            }
        }
        for vm in &vms {
            prop_assert_eq!(vm.checksum(), vms[0].checksum());
            for parts in [&[COMMON][..], &[OTHER], &[COMMON, OTHER]] {
                prop_assert!(vm.hold(ms(now), request(10_000, parts)).is_none());
            }
        }
    }
}
