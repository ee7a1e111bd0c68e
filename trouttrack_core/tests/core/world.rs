//! The systems over the tables.

use crate::support::{placed, report, settings, spec, submission, world};
use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::membership::UpstreamUse;
use trouttrack_core::world::{Decision, NotRunReason, World};

const SECOND: Duration = Duration::from_secs(1);

fn refusals(decisions: &[Decision]) -> Vec<NotRunReason> {
    let reason = |d: &Decision| match d {
        Decision::Refuse { reason, .. } => Some(*reason),
        Decision::Place { .. } => None,
    };
    decisions.iter().filter_map(reason).collect()
}

#[test]
fn a_request_is_placed_in_its_own_failure_domain_when_all_are_idle() {
    let specs = vec![spec("far", "b", 10_000, 8), spec("near", "a", 10_000, 8)];
    let mut world = world("trouttrack", specs);
    world.submit(SECOND, submission("r", "o", 1));
    assert_eq!(placed(&world.tick(SECOND))[0].1, "near");
}

#[test]
fn an_upstream_that_has_just_started_gets_work_when_it_is_warm() {
    let warm = spec("a-warm", "a", 10_000, 8);
    let mut cold = spec("b-cold", "a", 10_000, 8);
    cold.warm_at = 5 * SECOND;
    let mut world = world("trouttrack", vec![warm, cold]);
    let mut placed_at = |now: Duration| {
        let request = world.submit(now, submission("r", "o", 1));
        let placed = placed(&world.tick(now));
        world.ended(now, request, false, None);
        placed[0].1.clone()
    };
    // Far enough apart for each prompt to be loaded before the next.
    let times = |from: Duration| (0..40).map(move |n| from + n * SECOND / 20);
    for now in times(SECOND) {
        assert_eq!(placed_at(now), "a-warm");
    }
    let warm = times(6 * SECOND).map(&mut placed_at);
    assert!(warm.into_iter().any(|id| id == "b-cold"));
}

#[test]
fn work_spills_over_when_its_own_failure_domain_is_full() {
    let specs = vec![spec("far", "b", 10_000, 8), spec("near", "a", 10_000, 8)];
    let mut world = world("trouttrack", specs);
    for i in 0..16 {
        world.submit(SECOND, submission(&format!("r{i}"), "o", 0));
    }
    let placed = placed(&world.tick(SECOND));
    assert_eq!(placed.len(), 16);
    assert_eq!(placed.iter().filter(|(_, u)| u == "far").count(), 8);
}

#[test]
fn memory_is_kept_for_growth_and_for_the_urgent() {
    let mut world = world("trouttrack", vec![spec("e", "a", 4_000, 64)]);
    // Each is forecast at 100 of prompt and 256 of unknown output, and leaves
    // half of the reserve of a fifth, because it grows half of the look-ahead.
    for i in 0..20 {
        world.submit(SECOND, submission(&format!("low{i}"), "o", 2));
    }
    let low = placed(&world.tick(SECOND)).len();
    assert!(
        (8..=10).contains(&low),
        "{low} ordinary requests were placed"
    );
    world.submit(SECOND, submission("urgent", "o", 0));
    assert_eq!(
        placed(&world.tick(SECOND)).len(),
        1,
        "the reserve is for the urgent"
    );
}

#[test]
fn baselines_fill_an_engine_without_looking_at_its_memory() {
    let mut world = world("two-choices", vec![spec("e", "a", 4_000, 64)]);
    for i in 0..20 {
        world.submit(SECOND, submission(&format!("r{i}"), "o", 2));
    }
    assert_eq!(placed(&world.tick(SECOND)).len(), 20);
}

#[test]
fn a_request_that_cannot_be_placed_is_refused_at_its_deadline_and_not_before() {
    let mut world = world("trouttrack", vec![spec("e", "a", 4_000, 1)]);
    world.submit(SECOND, submission("first", "o", 1));
    let mut second = submission("second", "o", 1);
    second.deadline = SECOND * 3;
    world.submit(SECOND, second);
    assert_eq!(placed(&world.tick(SECOND)).len(), 1);
    assert!(world.tick(SECOND * 2).is_empty());
    assert_eq!(refusals(&world.tick(SECOND * 3)), [NotRunReason::Deadline]);
    assert_eq!(world.queued(), 0);
}

#[test]
fn a_full_queue_refuses_at_once_and_says_when_to_come_back() {
    let mut small = settings("trouttrack");
    small.max_queued = 2;
    let mut world = World::new(small);
    world.configure(vec![spec("e", "a", 4_000, 1)]);
    for i in 0..5 {
        world.submit(SECOND, submission(&format!("r{i}"), "o", 1));
    }
    let decisions = world.tick(SECOND);
    assert_eq!(refusals(&decisions), [NotRunReason::QueueFull; 3]);
    for d in decisions {
        if let Decision::Refuse { retry_after, .. } = d {
            assert!(retry_after >= SECOND);
        }
    }
}

#[test]
fn no_upstream_for_a_service_is_said_at_once() {
    let mut world = world("trouttrack", vec![]);
    world.submit(SECOND, submission("r", "o", 1));
    assert_eq!(refusals(&world.tick(SECOND)), [NotRunReason::NoUpstream]);
}

#[test]
fn an_organisation_at_its_limit_does_not_hold_up_others() {
    let mut world = world("trouttrack", vec![spec("e", "a", 40_000, 64)]);
    for i in 0..4 {
        let mut s = submission(&format!("r{i}"), "limited", 1);
        s.max_running = Some(2);
        world.submit(SECOND, s);
    }
    world.submit(SECOND, submission("other", "free", 1));
    let first = placed(&world.tick(SECOND));
    assert_eq!(first.len(), 3);
    let key = first[0].0;
    world.ended(SECOND, key, false, Some(10));
    assert_eq!(placed(&world.tick(SECOND)).len(), 1);
}

#[test]
fn a_leaving_upstream_gets_nothing_and_a_failing_one_is_paused() {
    let specs = vec![spec("e1", "a", 10_000, 8), spec("e2", "a", 10_000, 8)];
    let mut world = world("trouttrack", specs);
    world.set_leaving("e1", true);
    for i in 0..5 {
        let key = world.submit(SECOND, submission(&format!("r{i}"), "o", 1));
        assert_eq!(placed(&world.tick(SECOND))[0].1, "e2");
        world.ended(SECOND, key, true, None);
    }
    // Five failures in a row opened the circuit of the only one left.
    world.submit(SECOND, submission("waits", "o", 1));
    assert!(placed(&world.tick(SECOND)).is_empty());
    assert_eq!(
        placed(&world.tick(SECOND * 3)).len(),
        1,
        "a trial after the pause"
    );
}

#[test]
fn a_lagging_report_does_not_hide_own_hand_overs() {
    let specs = vec![spec("e1", "a", 100_000, 64), spec("e2", "a", 100_000, 64)];
    let mut world = world("least-outstanding", specs);
    world.report("e1", report(Duration::ZERO, 0, 0));
    world.report("e2", report(Duration::ZERO, 3, 0));
    for i in 0..8 {
        world.submit(SECOND, submission(&format!("r{i}"), "o", 1));
    }
    let placed = placed(&world.tick(SECOND));
    let e1 = placed.iter().filter(|(_, u)| u == "e1").count();
    assert!(
        (5..=6).contains(&e1),
        "{e1} of 8 went to the one that was idle"
    );
}

#[test]
fn explanations_name_the_choice_and_are_bounded() {
    let mut large = settings("trouttrack");
    large.max_queued = 10_000;
    let mut world = World::new(large);
    world.configure(vec![spec("e", "a", 10_000_000, 10_000)]);
    for i in 0..5000 {
        world.submit(SECOND, submission(&format!("r{i}"), "o", 1));
    }
    world.tick(SECOND);
    assert!(
        world.explanations.of("r0").is_empty(),
        "the oldest is forgotten"
    );
    let kept = world.explanations.of("r4999");
    assert_eq!(kept[0].chosen.as_deref(), Some("e"));
    assert_eq!(kept[0].candidates.len(), 1);
}

/// Weighted shares: with both always waiting, an organisation of weight three
/// is served three times as often.
#[test]
fn organisations_share_by_weight() {
    let mut world = world("trouttrack", vec![spec("e", "a", 1_000_000, 1)]);
    for i in 0..200 {
        for (organisation, weight) in [("heavy", 3.0), ("light", 1.0)] {
            let mut s = submission(&format!("{organisation}{i}"), organisation, 1);
            s.weight = weight;
            world.submit(SECOND, s);
        }
    }
    let mut heavy = 0;
    for _ in 0..100 {
        let (key, _) = placed(&world.tick(SECOND))[0].clone();
        let row = world.requests().find(|(k, _)| *k == key).unwrap().1;
        heavy += usize::from(row.submission.organisation == "heavy");
        world.ended(SECOND, key, false, None);
    }
    assert!((70..=80).contains(&heavy), "{heavy} of 100");
}

/// A flood of more urgent requests than can be served holds up the lowest
/// class for `max_wait` and no longer.
#[test]
fn no_class_starves() {
    let mut world = world("trouttrack", vec![spec("e", "a", 1_000_000, 1)]);
    let low = world.submit(Duration::ZERO, submission("low", "o", 3));
    let mut running = None;
    for second in 0..40u32 {
        let now = SECOND * second;
        for i in 0..3 {
            world.submit(now, submission(&format!("u{second}-{i}"), "flood", 0));
        }
        if let Some(key) = running.take() {
            world.ended(now, key, false, None);
        }
        running = placed(&world.tick(now)).first().map(|(k, _)| *k);
        if running == Some(low) {
            assert!(second <= 30, "served after {second} s");
            return;
        }
    }
    panic!("the low request was never served");
}

#[derive(Clone, Debug)]
enum Act {
    Submit {
        organisation: u8,
        priority: u8,
    },
    End {
        which: prop::sample::Index,
        fault: bool,
    },
    Report {
        upstream: u8,
        running: u8,
    },
    Leave {
        upstream: u8,
        leaving: bool,
    },
    Wait,
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        4 => (0u8..4, 0u8..4).prop_map(|(organisation, priority)| Act::Submit { organisation, priority }),
        3 => (any::<prop::sample::Index>(), any::<bool>()).prop_map(|(which, fault)| Act::End { which, fault }),
        1 => (0u8..3, 0u8..8).prop_map(|(upstream, running)| Act::Report { upstream, running }),
        1 => (0u8..3, any::<bool>()).prop_map(|(upstream, leaving)| Act::Leave { upstream, leaving }),
        2 => Just(Act::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    /// Whatever happens, each request is decided on once, and counts come
    /// back to nothing.
    #[test]
    fn every_request_is_decided_once(acts in prop::collection::vec(act(), 1..120)) {
        let specs = (0..3).map(|i| spec(&format!("e{i}"), "a", 3_000, 4)).collect();
        let mut world = world("trouttrack", specs);
        let mut now = SECOND;
        let (mut submitted, mut refused) = (0, 0);
        let mut running = Vec::new();
        for act in acts {
            match act {
                Act::Submit { organisation, priority } => {
                    let mut s = submission(&format!("r{submitted}"), &format!("o{organisation}"), priority);
                    s.deadline = now + SECOND * 20;
                    world.submit(now, s);
                    submitted += 1;
                }
                Act::End { which, fault } if !running.is_empty() => {
                    let key = running.swap_remove(which.index(running.len()));
                    world.ended(now, key, fault, Some(50));
                }
                Act::End { .. } => {}
                Act::Report { upstream, running } => {
                    let name = format!("e{upstream}");
                    world.report(&name, report(now, usize::from(running), 0));
                }
                Act::Leave { upstream, leaving } => world.set_leaving(&format!("e{upstream}"), leaving),
                Act::Wait => now += SECOND,
            }
            for d in world.tick(now) {
                match d {
                    Decision::Place { request, .. } => {
                        prop_assert!(!running.contains(&request));
                        running.push(request);
                    }
                    Decision::Refuse { request, .. } => {
                        prop_assert!(!running.contains(&request));
                        refused += 1;
                        world.ended(now, request, false, None);
                    }
                }
            }
            let known = world.requests().count();
            prop_assert_eq!(known, world.queued() + running.len());
        }
        for key in running.drain(..) {
            world.ended(now, key, false, Some(50));
        }
        let own: usize = world.upstreams.iter().map(|(_, u)| u.own_running).sum();
        prop_assert_eq!(own, 0);
        prop_assert!(refused <= submitted);
    }
}

#[test]
fn an_engine_that_loads_peers_prompts_is_left_alone_until_they_are_loaded() {
    let specs = || vec![spec("e1", "a", 50_000, 8), spec("e2", "a", 50_000, 8)];
    let placed_after = |loaded_for: Duration| {
        let mut idle = world("trouttrack", specs());
        idle.submit(Duration::ZERO, submission("r1", "alpha", 1));
        let first = placed(&idle.tick(Duration::ZERO))[0].1.clone();
        let mut world = world("trouttrack", specs());
        // A peer has just given 9,000 tokens to the one that would be chosen.
        let uses = [UpstreamUse {
            upstream: first.clone(),
            running: 0,
            peak_tokens: 0,
            held_tokens: 0,
            loading_tokens: 9000,
            lost_ms: None,
            handovers: 0,
            recent_handovers: 0,
        }];
        world.peer_uses(Duration::ZERO, "g2", "a", &uses);
        world.submit(loaded_for, submission("r1", "alpha", 1));
        (first, placed(&world.tick(loaded_for))[0].1.clone())
    };
    let (first, chosen) = placed_after(Duration::ZERO);
    assert_ne!(first, chosen);
    let (first, chosen) = placed_after(Duration::from_secs(2));
    assert_eq!(first, chosen);
}

#[test]
fn what_no_upstream_will_take_in_time_is_refused_at_once_with_the_time_to_come_back() {
    let ms = Duration::from_millis;
    let mut world = world("trouttrack", vec![spec("e", "a", 10_000, 8)]);
    let submit = |world: &mut World, deadline: Duration| {
        let mut wanted = submission("r", "o", 1);
        wanted.deadline = deadline;
        world.submit(SECOND, wanted)
    };
    // Nobody is there: its circuit opens for half a second.
    let lost = submit(&mut world, 2 * SECOND);
    world.tick(SECOND);
    world.unreachable(SECOND, lost);
    let hasty = submit(&mut world, SECOND + ms(90));
    let patient = submit(&mut world, SECOND + ms(900));
    let decisions = world.tick(SECOND);
    let [
        Decision::Refuse {
            request,
            reason,
            retry_after,
        },
    ] = decisions.as_slice()
    else {
        panic!("{decisions:?}");
    };
    assert_eq!((*request, *reason), (hasty, NotRunReason::Unreachable));
    assert_eq!(*retry_after, ms(500));
    // The other one is placed when the circuit lets a trial through.
    world.ended(SECOND + ms(400), lost, false, None);
    assert_eq!(placed(&world.tick(SECOND + ms(600)))[0].0, patient);
}

#[test]
fn with_every_upstream_leaving_nothing_waits() {
    let mut world = world("trouttrack", vec![spec("e", "a", 10_000, 8)]);
    world.set_leaving("e", true);
    world.submit(SECOND, submission("r", "o", 1));
    assert_eq!(refusals(&world.tick(SECOND)), [NotRunReason::Unreachable]);
}

/// A caller that leaves before any answer has learned nothing of the upstream: that is no
/// good end that clears its failures.
#[test]
fn an_end_without_news_clears_nothing() {
    let mut world = world("trouttrack", vec![spec("e1", "a", 0, 8)]);
    let failing = |world: &mut World, fault, tokens| {
        let key = world.submit(SECOND, submission("r", "o", 1));
        world.tick(SECOND);
        world.ended(SECOND, key, fault, tokens);
    };
    for _ in 0..4 {
        failing(&mut world, true, None);
    }
    failing(&mut world, false, None);
    failing(&mut world, true, None);
    let open = |world: &World| {
        let row = world.upstreams.get_by_id("e1").expect("a row");
        row.open(SECOND)
    };
    assert!(!open(&world), "five in a row, and an end without news");
    let mut other = crate::support::world("trouttrack", vec![spec("e1", "a", 0, 8)]);
    for _ in 0..4 {
        failing(&mut other, true, None);
    }
    failing(&mut other, false, Some(3));
    failing(&mut other, true, None);
    assert!(open(&other), "a whole answer clears them");
}
