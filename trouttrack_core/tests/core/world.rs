//! Placement, refusal and queueing by [`World`].

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
fn a_starting_upstream_gets_work_once_warm() {
    let warm = spec("a-warm", "a", 10_000, 8);
    let mut cold = spec("b-cold", "a", 10_000, 8);
    cold.warm_up_ends_at = 5 * SECOND;
    let mut world = world("trouttrack", vec![warm, cold]);
    let mut placed_at = |now: Duration| {
        let request = world.submit(now, submission("r", "o", 1));
        let placed = placed(&world.tick(now));
        world.record_end(now, request, false, None);
        placed[0].1.clone()
    };
    // The interval is long enough for each prompt to be loaded before the next request.
    let times = |from: Duration| (0..40).map(move |n| from + n * SECOND / 20);
    for now in times(SECOND) {
        assert_eq!(placed_at(now), "a-warm");
    }
    let warm = times(6 * SECOND).map(&mut placed_at);
    assert!(warm.into_iter().any(|id| id == "b-cold"));
}

#[test]
fn requests_overflow_to_another_failure_domain_when_their_own_is_full() {
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
fn memory_is_reserved_for_growth_and_urgent_requests() {
    let mut world = world("trouttrack", vec![spec("e", "a", 4_000, 64)]);
    // Each request is forecast at 100 prompt tokens and 256 output tokens. As it grows by
    // half of the look-ahead, it leaves half of the reserve of a fifth free.
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
        "an urgent request may use the reserve"
    );
}

#[test]
fn baseline_policies_ignore_memory() {
    let mut world = world("two-choices", vec![spec("e", "a", 4_000, 64)]);
    for i in 0..20 {
        world.submit(SECOND, submission(&format!("r{i}"), "o", 2));
    }
    assert_eq!(placed(&world.tick(SECOND)).len(), 20);
}

#[test]
fn an_unplaced_request_is_refused_at_its_deadline_and_not_before() {
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
fn a_full_queue_refuses_at_once_with_a_retry_delay() {
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
fn a_service_without_upstreams_is_refused_at_once() {
    let mut world = world("trouttrack", vec![]);
    world.submit(SECOND, submission("r", "o", 1));
    assert_eq!(refusals(&world.tick(SECOND)), [NotRunReason::NoUpstream]);
}

#[test]
fn an_organisation_at_its_limit_does_not_block_others() {
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
    world.record_end(SECOND, key, false, Some(10));
    assert_eq!(placed(&world.tick(SECOND)).len(), 1);
}

#[test]
fn leaving_and_failing_upstreams_get_no_work() {
    let specs = vec![spec("e1", "a", 10_000, 8), spec("e2", "a", 10_000, 8)];
    let mut world = world("trouttrack", specs);
    world.set_leaving("e1", true);
    for i in 0..5 {
        let key = world.submit(SECOND, submission(&format!("r{i}"), "o", 1));
        assert_eq!(placed(&world.tick(SECOND))[0].1, "e2");
        world.record_end(SECOND, key, true, None);
    }
    // Five failures in a row have opened the circuit of the only remaining upstream.
    world.submit(SECOND, submission("waits", "o", 1));
    assert!(placed(&world.tick(SECOND)).is_empty());
    assert_eq!(
        placed(&world.tick(SECOND * 3)).len(),
        1,
        "one trial request after the pause"
    );
}

#[test]
fn requests_sent_after_a_report_are_counted() {
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
        "{e1} of 8 requests were placed on the idle upstream"
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
        world.explanations.decisions_for("r0").is_empty(),
        "the oldest explanation is dropped"
    );
    let kept = world.explanations.decisions_for("r4999");
    assert_eq!(kept[0].chosen.as_deref(), Some("e"));
    assert_eq!(kept[0].candidates.len(), 1);
}

/// With requests of both organisations always waiting, one of weight three is served three
/// times as often as one of weight one.
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
        world.record_end(SECOND, key, false, None);
    }
    assert!(
        (70..=80).contains(&heavy),
        "{heavy} of 100 requests were of the organisation of weight three"
    );
}

/// Urgent requests beyond the capacity delay the lowest class by at most `max_wait`.
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
            world.record_end(now, key, false, None);
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
enum Event {
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

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0u8..4, 0u8..4).prop_map(|(organisation, priority)| Event::Submit { organisation, priority }),
        3 => (any::<prop::sample::Index>(), any::<bool>()).prop_map(|(which, fault)| Event::End { which, fault }),
        1 => (0u8..3, 0u8..8).prop_map(|(upstream, running)| Event::Report { upstream, running }),
        1 => (0u8..3, any::<bool>()).prop_map(|(upstream, leaving)| Event::Leave { upstream, leaving }),
        2 => Just(Event::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    /// Under any sequence of events each request is decided on exactly once, and all
    /// counters return to zero.
    #[test]
    fn every_request_is_decided_once(events in prop::collection::vec(event(), 1..120)) {
        let specs = (0..3).map(|i| spec(&format!("e{i}"), "a", 3_000, 4)).collect();
        let mut world = world("trouttrack", specs);
        let mut now = SECOND;
        let (mut submitted, mut refused) = (0, 0);
        let mut running = Vec::new();
        for event in events {
            match event {
                Event::Submit { organisation, priority } => {
                    let mut s = submission(&format!("r{submitted}"), &format!("o{organisation}"), priority);
                    s.deadline = now + SECOND * 20;
                    world.submit(now, s);
                    submitted += 1;
                }
                Event::End { which, fault } if !running.is_empty() => {
                    let key = running.swap_remove(which.index(running.len()));
                    world.record_end(now, key, fault, Some(50));
                }
                Event::End { .. } => {}
                Event::Report { upstream, running } => {
                    let name = format!("e{upstream}");
                    world.report(&name, report(now, usize::from(running), 0));
                }
                Event::Leave { upstream, leaving } => world.set_leaving(&format!("e{upstream}"), leaving),
                Event::Wait => now += SECOND,
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
                        world.record_end(now, request, false, None);
                    }
                }
            }
            let known = world.requests().count();
            prop_assert_eq!(known, world.queued() + running.len());
        }
        for key in running.drain(..) {
            world.record_end(now, key, false, Some(50));
        }
        let own: usize = world.upstreams.iter().map(|(_, u)| u.own_running).sum();
        prop_assert_eq!(own, 0);
        prop_assert!(refused <= submitted);
    }
}

#[test]
fn an_engine_loading_prompts_of_peers_is_avoided_until_they_are_loaded() {
    let specs = || vec![spec("e1", "a", 50_000, 8), spec("e2", "a", 50_000, 8)];
    let placed_after = |loaded_for: Duration| {
        let mut idle = world("trouttrack", specs());
        idle.submit(Duration::ZERO, submission("r1", "alpha", 1));
        let first = placed(&idle.tick(Duration::ZERO))[0].1.clone();
        let mut world = world("trouttrack", specs());
        // A peer has just sent 9,000 prompt tokens to the engine that would be chosen.
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
        world.record_peer_uses(Duration::ZERO, "g2", "a", &uses);
        world.submit(loaded_for, submission("r1", "alpha", 1));
        (first, placed(&world.tick(loaded_for))[0].1.clone())
    };
    let (first, chosen) = placed_after(Duration::ZERO);
    assert_ne!(first, chosen);
    let (first, chosen) = placed_after(Duration::from_secs(2));
    assert_eq!(first, chosen);
}

#[test]
fn a_request_without_a_reachable_upstream_before_its_deadline_is_refused_at_once() {
    let ms = Duration::from_millis;
    let mut world = world("trouttrack", vec![spec("e", "a", 10_000, 8)]);
    let submit = |world: &mut World, deadline: Duration| {
        let mut wanted = submission("r", "o", 1);
        wanted.deadline = deadline;
        world.submit(SECOND, wanted)
    };
    // The upstream is unreachable, which opens its circuit for half a second.
    let lost = submit(&mut world, 2 * SECOND);
    world.tick(SECOND);
    world.record_unreachable(SECOND, lost);
    let short_deadline = submit(&mut world, SECOND + ms(90));
    let long_deadline = submit(&mut world, SECOND + ms(900));
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
    assert_eq!(
        (*request, *reason),
        (short_deadline, NotRunReason::Unreachable)
    );
    assert_eq!(*retry_after, ms(500));
    // The other request is placed when the circuit admits a trial request.
    world.record_end(SECOND + ms(400), lost, false, None);
    assert_eq!(placed(&world.tick(SECOND + ms(600)))[0].0, long_deadline);
}

#[test]
fn requests_are_refused_at_once_if_every_upstream_is_leaving() {
    let mut world = world("trouttrack", vec![spec("e", "a", 10_000, 8)]);
    world.set_leaving("e", true);
    world.submit(SECOND, submission("r", "o", 1));
    assert_eq!(refusals(&world.tick(SECOND)), [NotRunReason::Unreachable]);
}

/// A caller that disconnects before any answer gives no information about the upstream, so
/// this must not reset its failure count as a success would.
#[test]
fn a_disconnected_caller_does_not_reset_the_failure_count() {
    let mut world = world("trouttrack", vec![spec("e1", "a", 0, 8)]);
    let run_one = |world: &mut World, fault, tokens| {
        let key = world.submit(SECOND, submission("r", "o", 1));
        world.tick(SECOND);
        world.record_end(SECOND, key, fault, tokens);
    };
    for _ in 0..4 {
        run_one(&mut world, true, None);
    }
    run_one(&mut world, false, None);
    run_one(&mut world, true, None);
    let open = |world: &World| {
        let row = world.upstreams.get_by_id("e1").expect("a row");
        row.is_available(SECOND)
    };
    assert!(
        !open(&world),
        "five failures in a row, with a disconnected caller in between"
    );
    let mut other = crate::support::world("trouttrack", vec![spec("e1", "a", 0, 8)]);
    for _ in 0..4 {
        run_one(&mut other, true, None);
    }
    run_one(&mut other, false, Some(3));
    run_one(&mut other, true, None);
    assert!(open(&other), "a complete answer resets the failure count");
}
