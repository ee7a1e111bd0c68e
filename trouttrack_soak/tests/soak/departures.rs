//! Upstreams that leave while the store turns a VM away, and plans that hold that.

use crate::check::{SECOND, broken, evidence, served};
use std::time::Instant;
use trouttrack_soak::bed::RouteName;
use trouttrack_soak::check::Evidence;
use trouttrack_soak::faults::Disturbance;
use trouttrack_soak::plan::{Act, LinkFault, Place, StoreFailure};
use trouttrack_soak::vm::EndedBy;
use trouttrack_soak::{Plan, Size};

const NO_NEW_WORK: &str = "a leaving upstream gets no new work after a few seconds";

/// A request that reaches an upstream 3.5 s after the store has served its VM again, and 4 s after
/// the upstream has left.
fn late_send() -> (Evidence, Instant) {
    let now = Instant::now();
    let (late, ran) = served("a", RouteName::Many, now + 4 * SECOND);
    let mut evidence = evidence(vec![late], vec![ran]);
    evidence.left.insert("u1".to_owned(), now);
    let vms = ["front-1", "front-2"].map(|name| (name.to_owned(), Vec::<EndedBy>::new()));
    evidence.lives = vms.into();
    disturb(&mut evidence, Act::TurnVmAway(0, StoreFailure::Silent), now);
    (evidence, now)
}

fn disturb(evidence: &mut Evidence, act: Act, now: Instant) {
    evidence.history.all.push(Disturbance {
        act,
        from: now,
        until: Some(now + SECOND / 2),
    });
}

#[test]
fn a_vm_in_touch_again_is_bound_by_what_other_vms_know() {
    let (evidence, _) = late_send();
    assert_eq!(broken(&evidence), [NO_NEW_WORK]);
}

#[test]
fn a_vm_in_touch_again_is_not_bound_if_no_other_vm_was_in_touch() {
    for act in [
        Act::Store(StoreFailure::Lapse),
        Act::Link(Place::Store(1), LinkFault::Refuse),
        Act::TurnVmAway(1, StoreFailure::Reset),
        Act::Kill(1),
    ] {
        let (mut evidence, now) = late_send();
        disturb(&mut evidence, act, now);
        assert!(broken(&evidence).is_empty(), "{act:?}");
    }
}

#[test]
fn plans_hold_departures_from_a_seed_on() {
    let holds = |seed| {
        let plan = Plan::draw(seed, Size::default());
        let is_late = |act| matches!(act, Act::AskLate(_) | Act::LeaveUnsaidSlowly(_));
        plan.steps.iter().any(|step| is_late(step.act))
    };
    assert!(!(1..400).chain(5000..5400).any(holds));
    assert!((6000..6100).filter(|seed| holds(*seed)).count() > 50);
}

/// A crowded engine's stream outlasts the notice of one that leaves, which then breaks it off.
#[test]
fn no_engine_leaves_with_notice_while_engines_are_crowded() {
    for seed in 6000..6400 {
        let plan = Plan::draw(seed, Size::default());
        let holds = |f: fn(&Act) -> bool| plan.steps.iter().any(|s| f(&s.act));
        let crowds = holds(|act| *act == Act::CrowdEngines);
        assert!(
            !crowds || !holds(|act| act.is_announced_departure()),
            "{seed}"
        );
    }
}
