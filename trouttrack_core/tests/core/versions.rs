//! Requests that continue a stream are placed and moved only on the software version that began it.

use crate::support::{placed, settings, spec, submission};
use std::collections::BTreeSet;
use std::time::Duration;
use trouttrack_core::upstream::UpstreamSpec;
use trouttrack_core::world::{Decision, NotRunReason, RequestKey, Submission, World};

const NOW: Duration = Duration::from_secs(1);
/// More upstreams than a sample of them holds.
const LARGE: usize = 400;
const CAPACITY: u64 = 10_000;
/// Output of a request that leaves room for many more.
const FEW_TOKENS: u64 = 10;

fn upstream(n: usize, version: &str) -> UpstreamSpec {
    UpstreamSpec {
        version: version.to_owned(),
        ..spec(&format!("u{n}"), "a", CAPACITY, 64)
    }
}

fn world(specs: Vec<UpstreamSpec>) -> World {
    let mut world = World::new(settings("trouttrack"));
    world.configure(specs);
    world
}

fn continuing(id: &str, version: &str) -> Submission {
    Submission {
        version: Some(version.to_owned()),
        ..beginning(id)
    }
}

fn beginning(id: &str) -> Submission {
    Submission {
        known_tokens: Some(FEW_TOKENS),
        ..submission(id, "o", 1)
    }
}

fn submit(world: &mut World, s: Submission) -> (RequestKey, Vec<Decision>) {
    let key = world.submit(NOW, s);
    (key, world.tick(NOW))
}

#[test]
fn a_continued_stream_is_placed_only_on_its_version() {
    for count in [4, LARGE] {
        // Few upstreams of a large fleet are of the old version.
        let version = |n| if n < count / 100 + 2 { "old" } else { "new" };
        let mut world = world((0..count).map(|n| upstream(n, version(n))).collect());
        for n in 0..20 {
            let (_, decisions) = submit(&mut world, continuing(&format!("r{n}"), "old"));
            let (_, at) = &placed(&decisions)[0];
            let index: usize = at[1..].parse().expect("an index");
            assert_eq!(version(index), "old", "{count}: {at}");
        }
    }
}

/// An upstream to avoid is better than none, but not one of another version.
#[test]
fn another_version_is_no_last_resort() {
    let mut world = world(vec![upstream(0, "old"), upstream(1, "new")]);
    let mut s = continuing("r", "old");
    s.avoid = vec!["u0".to_owned()];
    let (_, decisions) = submit(&mut world, s);
    assert_eq!(placed(&decisions)[0].1, "u0");
}

#[test]
fn a_stream_whose_version_is_gone_or_unknown_is_refused_at_once() {
    for version in ["gone", ""] {
        let mut world = world(vec![upstream(0, "old"), upstream(1, "")]);
        let (key, decisions) = submit(&mut world, continuing("r", version));
        assert!(
            matches!(
                &decisions[..],
                [Decision::Refuse { request, reason: NotRunReason::Unreachable, .. }]
                    if *request == key
            ),
            "{version:?}: {decisions:?}"
        );
    }
}

#[test]
fn a_new_stream_begins_at_any_version() {
    let mut world = world((0..4).map(|n| upstream(n, &format!("v{n}"))).collect());
    let mut used = BTreeSet::new();
    for n in 0..40 {
        let (_, decisions) = submit(&mut world, beginning(&format!("r{n}")));
        used.insert(placed(&decisions)[0].1.clone());
    }
    assert_eq!(used.len(), 4);
}

#[test]
fn a_generation_is_moved_only_to_its_version() {
    let mut world = world(vec![upstream(0, "old"), upstream(1, "new")]);
    let (key, _) = submit(&mut world, continuing("r", "old"));
    assert_eq!(world.move_target(NOW, key, "a", "old", &[]), None);
    world.put_upstream(upstream(2, "old"));
    let target = world.move_target(NOW, key, "a", "old", &[]);
    assert_eq!(target.map(|t| t.upstream), Some("u2".to_owned()));
}

/// Memory that is kept free for more urgent work is there for streams that have begun, because
/// what they have done would be lost.
#[test]
fn a_continued_stream_may_use_the_reserve() {
    let is_placed = |version: Option<&str>| {
        let mut world = world(vec![upstream(0, "old")]);
        let full = Submission {
            prompt_tokens: 6_400,
            known_tokens: Some(512),
            ..submission("first", "o", 1)
        };
        submit(&mut world, full);
        let s = Submission {
            prompt_tokens: 1_800,
            known_tokens: Some(512),
            version: version.map(str::to_owned),
            ..submission("next", "o", 1)
        };
        let (_, decisions) = submit(&mut world, s);
        !placed(&decisions).is_empty()
    };
    assert!(is_placed(Some("old")));
    assert!(!is_placed(None));
}

/// Two upstreams of the old version are left of nine, and more arrives than fits. Returning streams
/// have few upstreams, and still at least half the chance of new ones.
#[test]
fn returning_streams_find_room_beside_new_ones() {
    let version = |n| if n < 2 { "old" } else { "new" };
    let mut world = world((0..9).map(|n| upstream(n, version(n))).collect());
    let stream = |id: String| Submission {
        prompt_tokens: 800,
        known_tokens: Some(512),
        ..submission(&id, "o", 1)
    };
    let share = |world: &mut World, count: usize, of: &dyn Fn(usize) -> Submission| {
        let mut begun = 0;
        for n in 0..count {
            let (_, decisions) = submit(world, of(n));
            begun += placed(&decisions).len();
        }
        begun as f64 / count as f64
    };
    let new = share(&mut world, 90, &|n| stream(format!("new-{n}")));
    let returning = share(&mut world, 12, &|n| Submission {
        version: Some("old".to_owned()),
        ..stream(format!("returns-{n}"))
    });
    assert!(new < 1.0, "more arrives than fits: {new}");
    assert!(
        returning >= new / 2.0,
        "{returning} of those returning, {new} of the new ones"
    );
}
