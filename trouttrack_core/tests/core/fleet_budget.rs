//! The retry budget that VMs share without talk, under random schedules.

use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::request::SharedBudget;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const EXTRA: f64 = 54.0;

/// One thing that happens at one VM.
#[derive(Clone, Copy, Debug)]
struct Step {
    after_ms: u64,
    vm: usize,
    retry: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0u64..400, 0usize..7, any::<bool>());
    let step = step.prop_map(|(after_ms, vm, retry)| Step {
        after_ms,
        vm,
        retry,
    });
    prop::collection::vec(step, 1..400)
}

/// Whether in some window more retries were made than the fleet may make for
/// the requests of that window.
fn exceeds(first: &[Time], retries: &[Time]) -> bool {
    retries.iter().any(|&end| {
        let within = |t: &&Time| **t <= end && **t + WINDOW > end;
        let made = retries.iter().filter(within).count() as f64;
        let requests = first.iter().filter(within).count() as f64;
        made > RATIO * requests + EXTRA
    })
}

/// Plays a schedule; `believed` is the number of VMs that each takes to share
/// the budget.
fn play(steps: &[Step], believed: usize) -> bool {
    let mut budgets = vec![SharedBudget::new(RATIO, EXTRA, WINDOW); 7];
    let (mut first, mut retries) = (Vec::new(), Vec::new());
    // The VMs started a window ago.
    let mut now = WINDOW;
    for step in steps {
        now += Duration::from_millis(step.after_ms);
        let budget = &mut budgets[step.vm];
        if !step.retry {
            budget.first_attempt(now);
            first.push(now);
        } else if budget.try_retry(now, believed) {
            retries.push(now);
        }
    }
    exceeds(&first, &retries)
}

proptest! {
    #[test]
    fn the_sum_stays_within_the_bound(steps in steps()) {
        prop_assert!(!play(&steps, 7));
    }

    #[test]
    fn it_does_so_with_more_vms_believed_in(steps in steps()) {
        prop_assert!(!play(&steps, 16));
    }
}

#[test]
fn a_vm_that_takes_itself_to_be_alone_breaks_it() {
    // The planted mistake: every VM spends the whole extra.
    let storm: Vec<Step> = (0..400)
        .map(|n| Step {
            after_ms: 1,
            vm: n % 7,
            retry: true,
        })
        .collect();
    assert!(play(&storm, 1));
    assert!(!play(&storm, 7));
}

/// A storm of retries through which every VM is killed and starts again, once, at times
/// that are drawn: what the lives before have spent still counts for whoever counts.
fn restarted(at_ms: [u64; 7], gap_ms: u64) -> bool {
    let mut budgets = vec![SharedBudget::new(RATIO, EXTRA, WINDOW); 7];
    let mut started = [Time::ZERO; 7];
    let (first, mut retries) = (Vec::new(), Vec::new());
    let storm_begins = WINDOW + WINDOW;
    for n in 0..2_000 {
        let now = storm_begins + Duration::from_millis(gap_ms * n);
        let vm = n as usize % 7;
        let restart_at = storm_begins + Duration::from_millis(at_ms[vm]);
        if now >= restart_at && started[vm].is_zero() {
            started[vm] = restart_at;
            budgets[vm] = SharedBudget::new(RATIO, EXTRA, WINDOW);
        }
        // Each life has a clock of its own.
        if budgets[vm].try_retry(now - started[vm], 7) {
            retries.push(now);
        }
    }
    exceeds(&first, &retries)
}

proptest! {
    #[test]
    fn lives_before_count(
        at_ms in prop::array::uniform7(0u64..15_000),
        gap_ms in 1u64..20,
    ) {
        prop_assert!(!restarted(at_ms, gap_ms));
    }
}

#[test]
fn all_vms_killed_at_once_in_a_storm_do_not_get_a_second_budget() {
    assert!(!restarted([2_000; 7], 2));
}

/// VMs of the largest fleet, and what they may retry in a window besides.
const MANY: usize = 985;
const MANY_EXTRA: f64 = 1040.0;

#[test]
fn parts_below_one_retry_add_up_to_most_of_the_budget_and_no_more() {
    for (vms, seed) in [(MANY, 1), (MANY, 2), (2 * MANY, 3)] {
        let budget = |vm| SharedBudget::new(RATIO, MANY_EXTRA, WINDOW).seeded(seed << 32 | vm);
        let mut budgets: Vec<SharedBudget> = (0..vms as u64).map(budget).collect();
        let mut retries = Vec::new();
        // All VMs want to retry all the time, for three windows.
        for now in (10..40).map(Duration::from_secs) {
            let made = budgets
                .iter_mut()
                .filter_map(|b| b.try_retry(now, vms).then_some(now));
            retries.extend(made);
        }
        assert!(retries.len() > 2 * MANY_EXTRA as usize, "{vms} VMs");
        let within = |end: &Time| {
            let in_window = |t: &&Time| **t <= *end && **t + WINDOW > *end;
            retries.iter().filter(in_window).count() as f64
        };
        let most = retries.iter().map(within).fold(0.0, f64::max);
        assert!(most <= MANY_EXTRA, "{vms} VMs: {most}");
    }
}

#[test]
fn vms_that_all_start_again_stay_within_the_bound_with_parts_below_one_retry() {
    let budget =
        |seed| move |vm| SharedBudget::new(RATIO, MANY_EXTRA, WINDOW).seeded(seed << 32 | vm);
    let spend = |seed: u64, now: Time| {
        let mut budgets: Vec<SharedBudget> = (0..MANY as u64).map(budget(seed)).collect();
        budgets
            .iter_mut()
            .filter_map(|b| b.try_retry(now, MANY).then_some(()))
            .count()
    };
    for seed in 0..10 {
        let before = spend(2 * seed, WINDOW);
        let after = spend(2 * seed + 1, Duration::from_secs(1));
        assert!(
            (before + after) as f64 <= MANY_EXTRA,
            "seed {seed}: {before} + {after}"
        );
    }
}
