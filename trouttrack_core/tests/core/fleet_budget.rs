//! The fleet-wide retry budget under random schedules of several VMs.

use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::request::SharedBudget;

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.2;
const EXTRA: f64 = 54.0;

/// Event at one VM: a first attempt or a retry.
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

/// Whether in any window more retries were made than the budget allows for the requests of
/// that window.
fn exceeds(first: &[Time], retries: &[Time]) -> bool {
    retries.iter().any(|&end| {
        let within = |t: &&Time| **t <= end && **t + WINDOW > end;
        let made = retries.iter().filter(within).count() as f64;
        let requests = first.iter().filter(within).count() as f64;
        made > RATIO * requests + EXTRA
    })
}

/// Runs a schedule in which each VM assumes that `assumed_vms` share the budget. Returns
/// whether the bound was exceeded.
fn run_exceeds(steps: &[Step], assumed_vms: usize) -> bool {
    let mut budgets = vec![SharedBudget::new(RATIO, EXTRA, WINDOW); 7];
    let (mut first, mut retries) = (Vec::new(), Vec::new());
    // Start after the VMs' first window, in which only part of the budget is usable.
    let mut now = WINDOW;
    for step in steps {
        now += Duration::from_millis(step.after_ms);
        let budget = &mut budgets[step.vm];
        if !step.retry {
            budget.first_attempt(now);
            first.push(now);
        } else if budget.try_retry(now, assumed_vms) {
            retries.push(now);
        }
    }
    exceeds(&first, &retries)
}

proptest! {
    #[test]
    fn total_retries_stay_within_the_bound(steps in steps()) {
        prop_assert!(!run_exceeds(&steps, 7));
    }

    #[test]
    fn overestimating_the_fleet_stays_within_the_bound(steps in steps()) {
        prop_assert!(!run_exceeds(&steps, 16));
    }
}

#[test]
fn underestimating_the_fleet_exceeds_the_bound() {
    // Verifies the check itself: every VM spends the whole extra.
    let storm: Vec<Step> = (0..400)
        .map(|n| Step {
            after_ms: 1,
            vm: n % 7,
            retry: true,
        })
        .collect();
    assert!(run_exceeds(&storm, 1));
    assert!(!run_exceeds(&storm, 7));
}

/// Runs a retry storm of 2,000 tries in which VM n restarts at the times `at_ms[n]` after its
/// beginning, in order. Returns whether the bound was exceeded, counting the retries from before
/// the restarts.
fn storm_with_restarts_exceeds<const N: usize>(at_ms: [[u64; N]; 7], gap_ms: u64) -> bool {
    let mut budgets = vec![SharedBudget::new(RATIO, EXTRA, WINDOW); 7];
    let mut started = [Time::ZERO; 7];
    let (first, mut retries) = (Vec::new(), Vec::new());
    let storm_begins = WINDOW + WINDOW;
    for n in 0..2_000 {
        let now = storm_begins + Duration::from_millis(gap_ms * n);
        let vm = n as usize % 7;
        for restart_at in at_ms[vm].map(|ms| storm_begins + Duration::from_millis(ms)) {
            if now >= restart_at && started[vm] < restart_at {
                started[vm] = restart_at;
                budgets[vm] = SharedBudget::new(RATIO, EXTRA, WINDOW);
            }
        }
        // The clock of a VM starts anew with each restart.
        if budgets[vm].try_retry(now - started[vm], 7) {
            retries.push(now);
        }
    }
    exceeds(&first, &retries)
}

proptest! {
    #[test]
    fn retries_before_a_restart_count(
        at_ms in prop::array::uniform7(0u64..15_000),
        gap_ms in 1u64..20,
    ) {
        prop_assert!(!storm_with_restarts_exceeds(at_ms.map(|at| [at]), gap_ms));
    }

    #[test]
    fn retries_before_several_restarts_count(
        mut at_ms in prop::array::uniform7(prop::array::uniform6(0u64..15_000)),
        gap_ms in 1u64..20,
    ) {
        at_ms.iter_mut().for_each(|at| at.sort_unstable());
        prop_assert!(!storm_with_restarts_exceeds(at_ms, gap_ms));
    }
}

#[test]
fn restarting_all_vms_in_a_storm_does_not_renew_the_budget() {
    assert!(!storm_with_restarts_exceeds([[2_000]; 7], 2));
}

/// Guards against a VM that takes its first window for the only one cut short by a restart: each
/// of several restarts within a window gave all VMs another part of the extra.
#[test]
fn restarting_all_vms_again_and_again_does_not_renew_the_budget() {
    assert!(!storm_with_restarts_exceeds(
        [[500, 1_200, 1_900, 2_600]; 7],
        2
    ));
}

/// Number of VMs of the largest fleet.
const LARGEST_FLEET: usize = 985;
/// Extra retries per window of the largest fleet.
const LARGEST_FLEET_EXTRA: f64 = 1040.0;

#[test]
fn fractional_shares_use_most_of_the_budget_within_the_bound() {
    for (vms, seed) in [
        (LARGEST_FLEET, 1),
        (LARGEST_FLEET, 2),
        (2 * LARGEST_FLEET, 3),
    ] {
        let budget =
            |vm| SharedBudget::new(RATIO, LARGEST_FLEET_EXTRA, WINDOW).seeded(seed << 32 | vm);
        let mut budgets: Vec<SharedBudget> = (0..vms as u64).map(budget).collect();
        let mut retries = Vec::new();
        // All VMs try to retry once per second for three windows.
        for now in (10..40).map(Duration::from_secs) {
            let made = budgets
                .iter_mut()
                .filter_map(|b| b.try_retry(now, vms).then_some(now));
            retries.extend(made);
        }
        assert!(
            retries.len() > 2 * LARGEST_FLEET_EXTRA as usize,
            "{vms} VMs"
        );
        let within = |end: &Time| {
            let in_window = |t: &&Time| **t <= *end && **t + WINDOW > *end;
            retries.iter().filter(in_window).count() as f64
        };
        let most = retries.iter().map(within).fold(0.0, f64::max);
        assert!(most <= LARGEST_FLEET_EXTRA, "{vms} VMs: {most}");
    }
}

#[test]
fn fractional_shares_stay_within_the_bound_after_a_fleet_restart() {
    let budget = |seed| {
        move |vm| SharedBudget::new(RATIO, LARGEST_FLEET_EXTRA, WINDOW).seeded(seed << 32 | vm)
    };
    let spend = |seed: u64, now: Time| {
        let mut budgets: Vec<SharedBudget> = (0..LARGEST_FLEET as u64).map(budget(seed)).collect();
        budgets
            .iter_mut()
            .filter_map(|b| b.try_retry(now, LARGEST_FLEET).then_some(()))
            .count()
    };
    for seed in 0..10 {
        let before = spend(2 * seed, WINDOW);
        let after = spend(2 * seed + 1, Duration::from_secs(1));
        assert!(
            (before + after) as f64 <= LARGEST_FLEET_EXTRA,
            "seed {seed}: {before} + {after}"
        );
    }
}

/// Guards against the same where a VM's part is less than one retry: each start draws anew.
#[test]
fn fractional_shares_stay_within_the_bound_after_several_fleet_restarts() {
    for seed in 0..10 {
        let spend = |life: u64, now: Time| {
            let budget = |vm| {
                SharedBudget::new(RATIO, LARGEST_FLEET_EXTRA, WINDOW)
                    .seeded((8 * seed + life) << 32 | vm)
            };
            let mut budgets: Vec<SharedBudget> = (0..LARGEST_FLEET as u64).map(budget).collect();
            let spends = |b: &mut SharedBudget| b.try_retry(now, LARGEST_FLEET);
            budgets
                .iter_mut()
                .map(spends)
                .filter(|spent| *spent)
                .count()
        };
        let later: usize = (1..8).map(|life| spend(life, Duration::from_secs(1))).sum();
        let all = spend(0, WINDOW) + later;
        assert!(all as f64 <= LARGEST_FLEET_EXTRA, "seed {seed}: {all}");
    }
}
