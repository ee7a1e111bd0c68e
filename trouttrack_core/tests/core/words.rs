//! What upstreams say of themselves, and what is placed by it.

use crate::support::{SERVICE, placed, spec, submission, world};
use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::upstream::{Incarnation, LONGEST_PAUSE, Said, Words};
use trouttrack_core::world::{Decision, NotRunReason, World};

const NOW: Time = Duration::from_secs(100);
const SECOND: Duration = Duration::from_secs(1);

fn life(born: u64) -> Incarnation {
    Incarnation::new("e1", born)
}

/// Two upstreams, of which the first is in the life that began at `born`.
fn two(born: u64) -> World {
    let mut first = spec("e1", "a", 0, 8);
    first.born = born;
    world("trouttrack", vec![first, spec("e2", "b", 0, 8)])
}

/// Where a request goes now.
fn goes_to(world: &mut World, now: Time) -> Option<String> {
    let mut new = submission("r", "o", 1);
    new.deadline = now + SECOND;
    let key = world.submit(now, new);
    let placed = placed(&world.tick(now));
    world.ended(now, key, false, None);
    placed.into_iter().next().map(|(_, upstream)| upstream)
}

#[test]
fn nothing_is_placed_where_nothing_is_wanted() {
    let mut world = two(0);
    // The near one, with nothing running, is the better one.
    assert_eq!(goes_to(&mut world, NOW).as_deref(), Some("e1"));
    assert!(world.hear(NOW, &life(0), Said::Rests(3 * SECOND)));
    for ms in [0, 500, 2_999] {
        let at = NOW + Duration::from_millis(ms);
        assert_eq!(goes_to(&mut world, at).as_deref(), Some("e2"), "{ms} ms");
    }
    assert_eq!(goes_to(&mut world, NOW + 3 * SECOND).as_deref(), Some("e1"));
    world.hear(NOW, &life(0), Said::Leaves);
    for seconds in [0, 10, 10_000] {
        let at = NOW + SECOND * seconds;
        assert_eq!(goes_to(&mut world, at).as_deref(), Some("e2"));
    }
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let mut words = Words::default();
    assert!(words.hear(NOW, &life(1), Said::Rests(3 * SECOND)));
    assert!(!words.hear(NOW + SECOND, &life(1), Said::Rests(SECOND)));
    assert!(!words.of(&life(1)).wants_work(NOW + 2 * SECOND));
    assert!(words.hear(NOW + SECOND, &life(1), Said::Rests(5 * SECOND)));
    assert!(!words.of(&life(1)).wants_work(NOW + 5 * SECOND));
    assert!(words.of(&life(1)).wants_work(NOW + 6 * SECOND));
}

#[test]
fn a_pause_has_a_bound() {
    let mut words = Words::default();
    words.hear(NOW, &life(1), Said::Rests(Duration::MAX));
    assert!(words.of(&life(1)).wants_work(NOW + LONGEST_PAUSE));
}

#[test]
fn words_of_a_former_life_say_nothing_of_the_next() {
    let mut world = two(2);
    world.hear(NOW, &life(1), Said::Leaves);
    assert_eq!(goes_to(&mut world, NOW).as_deref(), Some("e1"));
    world.hear(NOW, &life(2), Said::Rests(SECOND));
    world.hear(NOW, &life(1), Said::Leaves);
    assert_eq!(goes_to(&mut world, NOW + SECOND).as_deref(), Some("e1"));
}

#[test]
fn a_row_made_anew_knows_what_was_said() {
    let mut world = two(1);
    world.hear(NOW, &life(1), Said::Leaves);
    let first = || {
        let mut first = spec("e1", "a", 0, 8);
        first.born = 1;
        first
    };
    world.configure(vec![first(), spec("e2", "b", 0, 8)]);
    assert_eq!(goes_to(&mut world, NOW).as_deref(), Some("e2"));
    world.remove_upstream("e1");
    world.put_upstream(first());
    assert_eq!(goes_to(&mut world, NOW).as_deref(), Some("e2"));
    let mut next = first();
    next.born = 2;
    world.remove_upstream("e1");
    world.put_upstream(next);
    assert_eq!(goes_to(&mut world, NOW).as_deref(), Some("e1"));
}

#[test]
fn what_waits_for_the_end_of_a_pause_is_told_how_long_that_is() {
    let mut world = two(0);
    let lives = [life(0), Incarnation::new("e2", 0)];
    for (n, life) in lives.iter().enumerate() {
        world.hear(NOW, life, Said::Rests(SECOND * (n as u32 + 2)));
    }
    let mut hasty = submission("hasty", "o", 1);
    hasty.deadline = NOW + SECOND;
    let hasty = world.submit(NOW, hasty);
    let mut patient = submission("patient", "o", 1);
    patient.deadline = NOW + 3 * SECOND;
    let patient = world.submit(NOW, patient);
    let refused = Decision::Refuse {
        request: hasty,
        reason: NotRunReason::Resting,
        retry_after: 2 * SECOND,
    };
    assert_eq!(world.tick(NOW), [refused]);
    let placed = placed(&world.tick(NOW + 2 * SECOND));
    assert_eq!(placed, [(patient, "e1".to_owned())]);
}

#[test]
fn old_words_of_those_that_are_gone_are_forgotten() {
    let mut words = Words::default();
    for n in 0..100 {
        words.hear(NOW, &Incarnation::new(&format!("e{n}"), 1), Said::Leaves);
    }
    let listed = |life: &Incarnation| life.id == "e7";
    words.forget(NOW + SECOND, listed);
    assert_eq!(words.len(), 100);
    words.forget(NOW + LONGEST_PAUSE, listed);
    assert_eq!(words.len(), 1);
    assert!(words.of(&Incarnation::new("e7", 1)).leaves());
}

/// What happens to an upstream, as drawn.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It says something in the life of this number; a word may come late or twice.
    Says(u64, Said),
    /// The store lists it in this life, or again.
    Listed(u64),
    /// It is listed no more.
    Gone,
    /// A new configuration is in force.
    Configured,
    /// So many milliseconds pass.
    Passes(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let said = prop_oneof![
        Just(Said::Leaves),
        (1u64..4_000).prop_map(|ms| Said::Rests(Duration::from_millis(ms))),
    ];
    prop_oneof![
        (1u64..4, said).prop_map(|(life, said)| Step::Says(life, said)),
        (1u64..4).prop_map(Step::Listed),
        Just(Step::Gone),
        Just(Step::Configured),
        (1u64..3_000).prop_map(Step::Passes),
    ]
}

/// What one life may not be given, kept in the plainest way.
#[derive(Clone, Copy, Default)]
struct Promise {
    leaves: bool,
    rests_until: Time,
}

proptest! {
    /// Whatever is said in whatever order, doubled, late or of a former life, and whatever
    /// becomes of its row: a life gets nothing after it has said that it leaves, nor in a
    /// pause that it has asked for, and it gets work again otherwise.
    #[test]
    fn no_order_of_words_and_rows_breaks_a_promise(
        steps in proptest::collection::vec(step(), 1..60)
    ) {
        let mut world = two(1);
        let mut listed = Some(1);
        let mut promises = [Promise::default(); 4];
        let mut now = NOW;
        for step in steps {
            match step {
                Step::Says(born, said) => {
                    world.hear(now, &life(born), said);
                    let promise = &mut promises[born as usize];
                    match said {
                        Said::Leaves => promise.leaves = true,
                        Said::Rests(pause) => {
                            promise.rests_until = promise.rests_until.max(now + pause);
                        }
                        // Limits do not keep work away for good; see `rate_limits`.
                        Said::Takes(_) => {}
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
                Step::Passes(ms) => now += Duration::from_millis(ms),
            }
            let wants = listed.is_some_and(|born| {
                let promise = promises[born as usize];
                !promise.leaves && now >= promise.rests_until
            });
            let expected = if wants { "e1" } else { "e2" };
            prop_assert_eq!(goes_to(&mut world, now), Some(expected.to_owned()));
            let serving = world.upstreams.serving(SERVICE).expect("e2 serves");
            prop_assert_eq!(serving.keys.len(), 1 + usize::from(listed.is_some()));
        }
    }
}
