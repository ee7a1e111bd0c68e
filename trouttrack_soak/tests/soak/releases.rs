//! Plans with releases of upstreams beside VMs that are all killed, and what they excuse.

use crate::check::{SECOND, broken, evidence, served};
use std::time::Instant;
use trouttrack_soak::bed::RouteName;
use trouttrack_soak::faults::Disturbance;
use trouttrack_soak::plan::Act;
use trouttrack_soak::{Plan, Size};

/// How many of these seeds' plans hold an act.
fn holding(seeds: impl Iterator<Item = u64>, act: impl Fn(Act) -> bool) -> usize {
    let holds = |seed: &u64| {
        let plan = Plan::draw(*seed, Size::default());
        plan.steps.iter().any(|step| act(step.act))
    };
    seeds.filter(holds).count()
}

fn is_new(act: Act) -> bool {
    matches!(
        act,
        Act::KillAll | Act::Release(..) | Act::Disorder(_) | Act::OddEntries
    )
}

#[test]
fn plans_hold_releases_from_a_seed_on() {
    let before = (1..400).chain(4000..4400).chain(6600..7000);
    assert_eq!(holding(before, is_new), 0);
    let seeds = || 7000..7100;
    assert_eq!(holding(seeds(), |act| act == Act::KillAll), 100);
    let others: [fn(Act) -> bool; 6] = [
        |act| matches!(act, Act::Release(..)),
        |act| matches!(act, Act::Disorder(_)),
        |act| matches!(act, Act::OddEntries),
        |act| matches!(act, Act::Leave(_) | Act::LeaveUnsaid(_)),
        |act| matches!(act, Act::Pause(_) | Act::Link(..)),
        |act| matches!(act, Act::Burst | Act::CrowdEngines),
    ];
    for other in others {
        assert!(holding(seeds(), other) > 30);
    }
}

#[test]
fn upstreams_answer_without_end_from_a_seed_on() {
    let is_endless = |act| matches!(act, Act::AnswerEndlessly(_));
    assert_eq!(holding(7000..7400, is_endless), 0);
    assert_eq!(holding(7400..7450, is_endless), 50);
}

/// Upstreams have one version at first, or several.
#[test]
fn some_plans_begin_with_one_version() {
    let versions: Vec<usize> = (7000..7100)
        .map(|seed| Plan::draw(seed, Size::default()).versions)
        .collect();
    assert!(versions.iter().filter(|v| **v == 1).count() > 50);
    assert!(versions.iter().filter(|v| **v == 2).count() > 10);
}

#[test]
fn every_name_is_of_a_size() {
    for name in Size::NAMES {
        let size = Size::named(name).expect(name);
        assert!(!Plan::draw(7000, size).steps.is_empty());
    }
}

/// Requests to an upstream that has left are judged by whether their VM was left alone.
#[test]
fn no_vm_is_left_alone_when_all_are_killed() {
    let now = Instant::now();
    let (late, ran) = served("a", RouteName::Many, now + 9 * SECOND);
    let mut seen = evidence(vec![late], vec![ran]);
    seen.left.insert("u1".to_owned(), now);
    let promise = "a leaving upstream gets no new work after a few seconds";
    assert_eq!(broken(&seen), [promise]);
    seen.history.all.push(Disturbance {
        act: Act::KillAll,
        from: now + 6 * SECOND,
        until: Some(now + 8 * SECOND),
    });
    assert!(broken(&seen).is_empty());
}
