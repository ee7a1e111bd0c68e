//! Notices from upstreams about their availability, and their effect on placement.

use crate::support::{SERVICE, placed, spec, submission, world};
use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::upstream::{Incarnation, MAX_PAUSE, UpstreamNotice, UpstreamNotices};
use trouttrack_core::world::{Decision, NotRunReason, World};

const NOW: Time = Duration::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);

fn incarnation(born: u64) -> Incarnation {
    Incarnation::new("e1", born)
}

/// Creates a world with two upstreams, the first in the incarnation that started at `born`.
fn world_with_two_upstreams(born: u64) -> World {
    let mut first = spec("e1", "a", 0, 8);
    first.born = born;
    world("trouttrack", vec![first, spec("e2", "b", 0, 8)])
}

/// Submits a request at `now` and returns the upstream that it is placed at.
fn place_request(world: &mut World, now: Time) -> Option<String> {
    let mut new = submission("r", "o", 1);
    new.deadline = now + SECOND;
    let key = world.submit(now, new);
    let placed = placed(&world.tick(now));
    world.record_end(now, key, false, None);
    placed.into_iter().next().map(|(_, upstream)| upstream)
}

#[test]
fn no_requests_are_placed_at_paused_or_leaving_upstream() {
    let mut world = world_with_two_upstreams(0);
    // The local upstream is preferred while nothing is running.
    assert_eq!(place_request(&mut world, NOW).as_deref(), Some("e1"));
    assert!(world.receive_notice(NOW, &incarnation(0), UpstreamNotice::Pause(3 * SECOND)));
    for ms in [0, 500, 2_999] {
        let at = NOW + Duration::from_millis(ms);
        assert_eq!(
            place_request(&mut world, at).as_deref(),
            Some("e2"),
            "{ms} ms"
        );
    }
    assert_eq!(
        place_request(&mut world, NOW + 3 * SECOND).as_deref(),
        Some("e1")
    );
    world.receive_notice(NOW, &incarnation(0), UpstreamNotice::Leaving);
    for seconds in [0, 10, 10_000] {
        let at = NOW + SECOND * seconds;
        assert_eq!(place_request(&mut world, at).as_deref(), Some("e2"));
    }
}

#[test]
fn shorter_pause_does_not_end_longer_pause() {
    let mut notices = UpstreamNotices::default();
    assert!(notices.receive(NOW, &incarnation(1), UpstreamNotice::Pause(3 * SECOND)));
    assert!(!notices.receive(NOW + SECOND, &incarnation(1), UpstreamNotice::Pause(SECOND)));
    assert!(
        !notices
            .availability(&incarnation(1))
            .accepts_requests(NOW + 2 * SECOND)
    );
    assert!(notices.receive(
        NOW + SECOND,
        &incarnation(1),
        UpstreamNotice::Pause(5 * SECOND)
    ));
    assert!(
        !notices
            .availability(&incarnation(1))
            .accepts_requests(NOW + 5 * SECOND)
    );
    assert!(
        notices
            .availability(&incarnation(1))
            .accepts_requests(NOW + 6 * SECOND)
    );
}

#[test]
fn pause_is_capped() {
    let mut notices = UpstreamNotices::default();
    notices.receive(NOW, &incarnation(1), UpstreamNotice::Pause(Duration::MAX));
    assert!(
        notices
            .availability(&incarnation(1))
            .accepts_requests(NOW + MAX_PAUSE)
    );
}

#[test]
fn notices_of_earlier_incarnation_do_not_apply_to_next() {
    let mut world = world_with_two_upstreams(2);
    world.receive_notice(NOW, &incarnation(1), UpstreamNotice::Leaving);
    assert_eq!(place_request(&mut world, NOW).as_deref(), Some("e1"));
    world.receive_notice(NOW, &incarnation(2), UpstreamNotice::Pause(SECOND));
    world.receive_notice(NOW, &incarnation(1), UpstreamNotice::Leaving);
    assert_eq!(
        place_request(&mut world, NOW + SECOND).as_deref(),
        Some("e1")
    );
}

#[test]
fn recreated_row_keeps_notices() {
    let mut world = world_with_two_upstreams(1);
    world.receive_notice(NOW, &incarnation(1), UpstreamNotice::Leaving);
    let first = || {
        let mut first = spec("e1", "a", 0, 8);
        first.born = 1;
        first
    };
    world.configure(vec![first(), spec("e2", "b", 0, 8)]);
    assert_eq!(place_request(&mut world, NOW).as_deref(), Some("e2"));
    world.remove_upstream("e1");
    world.put_upstream(first());
    assert_eq!(place_request(&mut world, NOW).as_deref(), Some("e2"));
    let mut next = first();
    next.born = 2;
    world.remove_upstream("e1");
    world.put_upstream(next);
    assert_eq!(place_request(&mut world, NOW).as_deref(), Some("e1"));
}

#[test]
fn request_that_cannot_wait_for_end_of_pause_is_refused_with_retry_time() {
    let mut world = world_with_two_upstreams(0);
    let incarnations = [incarnation(0), Incarnation::new("e2", 0)];
    for (n, incarnation) in incarnations.iter().enumerate() {
        world.receive_notice(
            NOW,
            incarnation,
            UpstreamNotice::Pause(SECOND * (n as u32 + 2)),
        );
    }
    let mut short_deadline = submission("short_deadline", "o", 1);
    short_deadline.deadline = NOW + SECOND;
    let short_deadline = world.submit(NOW, short_deadline);
    let mut long_deadline = submission("long_deadline", "o", 1);
    long_deadline.deadline = NOW + 3 * SECOND;
    let long_deadline = world.submit(NOW, long_deadline);
    let refused = Decision::Refuse {
        request: short_deadline,
        reason: NotRunReason::UpstreamPaused,
        retry_after: 2 * SECOND,
    };
    assert_eq!(world.tick(NOW), [refused]);
    let placed = placed(&world.tick(NOW + 2 * SECOND));
    assert_eq!(placed, [(long_deadline, "e1".to_owned())]);
}

#[test]
fn old_notices_of_unlisted_upstreams_are_removed() {
    let mut notices = UpstreamNotices::default();
    for n in 0..100 {
        notices.receive(
            NOW,
            &Incarnation::new(&format!("e{n}"), 1),
            UpstreamNotice::Leaving,
        );
    }
    let listed = |incarnation: &Incarnation| incarnation.id == "e7";
    notices.forget(NOW + SECOND, listed);
    assert_eq!(notices.len(), 100);
    notices.forget(NOW + MAX_PAUSE, listed);
    assert_eq!(notices.len(), 1);
    assert!(
        notices
            .availability(&Incarnation::new("e7", 1))
            .is_leaving()
    );
}

/// A randomly generated event of an upstream.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The incarnation with this number sends a notice, possibly late or repeated.
    Notice(u64, UpstreamNotice),
    /// The store lists this incarnation, possibly again.
    Listed(u64),
    /// It is no longer listed.
    Gone,
    /// A new configuration is applied.
    Configured,
    /// This many milliseconds pass.
    Elapsed(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let notice = prop_oneof![
        Just(UpstreamNotice::Leaving),
        (1u64..4_000).prop_map(|ms| UpstreamNotice::Pause(Duration::from_millis(ms))),
    ];
    prop_oneof![
        (1u64..4, notice).prop_map(|(incarnation, notice)| Step::Notice(incarnation, notice)),
        (1u64..4).prop_map(Step::Listed),
        Just(Step::Gone),
        Just(Step::Configured),
        (1u64..3_000).prop_map(Step::Elapsed),
    ]
}

/// Reference model of when an incarnation gets no requests.
#[derive(Clone, Copy, Default)]
struct AvailabilityModel {
    leaves: bool,
    rests_until: Time,
}

proptest! {
    /// An incarnation gets no requests after announcing its shutdown or during a pause that it
    /// requested, and gets requests otherwise. This holds for notices in any order, repeated,
    /// late or from earlier incarnations, and whatever happens to the row.
    #[test]
    fn notices_hold_in_any_order_of_events(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        let mut world = world_with_two_upstreams(1);
        let mut listed = Some(1);
        let mut models = [AvailabilityModel::default(); 4];
        let mut now = NOW;
        for step in steps {
            match step {
                Step::Notice(born, notice) => {
                    world.receive_notice(now, &incarnation(born), notice);
                    let model = &mut models[born as usize];
                    match notice {
                        UpstreamNotice::Leaving => model.leaves = true,
                        UpstreamNotice::Pause(pause) => {
                            model.rests_until = model.rests_until.max(now + pause);
                        }
                        // Rate limits do not stop requests for good; see `rate_limits`.
                        UpstreamNotice::RateLimit(_) => {}
                    }
                }
                Step::Listed(born) => {
                    if listed != Some(born) {
                        world.remove_upstream("e1");
                    }
                    let mut first = spec("e1", "a", 0, 8);
                    first.born = born;
                    world.put_upstream(first);
                    listed = Some(born);
                }
                Step::Gone => {
                    world.remove_upstream("e1");
                    listed = None;
                }
                Step::Configured => {
                    let mut specs = vec![spec("e2", "b", 0, 8)];
                    if let Some(born) = listed {
                        let mut first = spec("e1", "a", 0, 8);
                        first.born = born;
                        specs.push(first);
                    }
                    world.configure(specs);
                }
                Step::Elapsed(ms) => now += Duration::from_millis(ms),
            }
            let wants = listed.is_some_and(|born| {
                let model = models[born as usize];
                !model.leaves && now >= model.rests_until
            });
            let expected = if wants { "e1" } else { "e2" };
            prop_assert_eq!(place_request(&mut world, now), Some(expected.to_owned()));
            let serving = world.upstreams.serving(SERVICE).expect("e2 serves");
            prop_assert_eq!(serving.keys.len(), 1 + usize::from(listed.is_some()));
        }
    }
}
