//! Choice of the target of a running generation, and the copy schedule of a departing engine.

use crate::support::{placed, spec, submission, world};
use std::time::Duration;
use trouttrack_core::fleet::EngineSpec;
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::UpstreamSpec;
use trouttrack_core::world::{RequestKey, World};

const NOW: Duration = Duration::from_secs(1);

fn engine(id: &str, failure_domain: &str, capacity_tokens: u64) -> UpstreamSpec {
    spec(id, failure_domain, capacity_tokens, 8)
}

/// A request running on the only engine, in failure domain `a`.
fn running() -> (World, RequestKey) {
    let mut world = world("trouttrack", vec![engine("source", "a", 50_000)]);
    let key = world.submit(NOW, submission("r1", "alpha", 1));
    let decided = world.tick(NOW);
    assert_eq!(placed(&decided), [(key, "source".to_owned())]);
    (world, key)
}

#[test]
fn targets_in_the_same_failure_domain_are_preferred() {
    let (mut world, key) = running();
    let all = |near| {
        vec![
            engine("source", "a", 50_000),
            engine("near", "a", near),
            engine("far", "b", 50_000),
        ]
    };
    world.configure(all(50_000));
    let target = |world: &World, avoid: &[String]| {
        let target = world.move_target(NOW, key, "a", "", avoid);
        target.map(|t| t.upstream)
    };
    assert_eq!(target(&world, &[]).as_deref(), Some("near"));
    assert_eq!(target(&world, &["near".to_owned()]).as_deref(), Some("far"));
    // Too small for the request.
    world.configure(all(10));
    assert_eq!(target(&world, &[]).as_deref(), Some("far"));
    world.set_leaving("far", true);
    assert_eq!(target(&world, &[]), None);
}

#[test]
fn a_moved_request_counts_at_its_target() {
    let (mut world, key) = running();
    world.configure(vec![
        engine("source", "a", 50_000),
        engine("other", "a", 50_000),
    ]);
    world.relocate(NOW, key, "other");
    let uses = world.local_uses(NOW);
    let [used] = uses.as_slice() else {
        panic!("{uses:?}");
    };
    assert_eq!((used.upstream.as_str(), used.running), ("other", 1));
    // The request also ends if the source has been removed in the meantime.
    world.configure(vec![engine("other", "a", 50_000)]);
    world.record_end(NOW, key, false, Some(10));
    assert!(world.local_uses(NOW).is_empty());
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An engine whose link copies 1,000 tokens in 100 ms.
fn engine_spec() -> EngineSpec {
    EngineSpec {
        memory_tokens: 34_000,
        bytes_per_token: 100_000.0,
        link_bytes_per_second: 1e9,
        moves: true,
        backups: true,
        tokens_per_event: 4,
    }
}

/// A departure noticed at 1 s whose final parts are requested by `stop_and_copy_deadline` ms.
fn departure(stop_and_copy_deadline: u64, near_room: f64) -> Departure {
    let mut departure = Departure::from_notice(ms(1000));
    departure.set_remaining(ms(1000), ms(1000));
    let before_end = ms(2000) - departure.stop_and_copy_deadline();
    departure.set_remaining(ms(1000), ms(stop_and_copy_deadline) + before_end - ms(1000));
    let held = [("large", 8000), ("small", 2000), ("mid", 4000)];
    let held = held.map(|(id, tokens)| (id.to_owned(), tokens));
    departure.set_generations(ms(1000), held.to_vec(), &engine_spec(), near_room);
    departure
}

#[test]
fn every_copy_fits_before_the_first_report() {
    let departure = Departure::from_notice(ms(1000));
    assert!(departure.can_complete(ms(1000), "any", 9e9));
    assert!(!departure.can_complete(ms(9000), "any", 1.0));
}

#[test]
fn a_copy_that_takes_too_long_does_not_fit() {
    // The copies take slightly more than 200 and 400 ms.
    let one = departure(1700, 1e9);
    assert!(one.can_complete(ms(1000), "small", 2000.0));
    assert!(one.can_complete(ms(1000), "mid", 4000.0));
    assert!(!one.can_complete(ms(1000), "large", 8000.0));
    // A request missing in the report comes last.
    assert!(!one.can_complete(ms(1000), "new", 100.0));
    // Its turn has passed, and too little time is left.
    assert!(!one.can_complete(ms(1600), "small", 2000.0));
    let more = departure(3000, 1e9);
    assert!(more.can_complete(ms(1000), "large", 8000.0));
}

#[test]
fn copies_are_scheduled_one_after_another() {
    let mut departure = departure(3000, 1e9);
    assert_eq!(departure.pre_copy_at("small"), ms(1000));
    // The copy of `small` takes slightly more than 200 ms, followed by its final part, which
    // must not wait for the next copy.
    let mid = departure.pre_copy_at("mid");
    assert!((ms(1230)..ms(1300)).contains(&mid), "{mid:?}");
    let large = departure.pre_copy_at("large");
    assert!((ms(1660)..ms(1800)).contains(&large), "{large:?}");
    // A second report changes the list of requests, not the start of the schedule.
    let left = vec![("mid".to_owned(), 4000), ("large".to_owned(), 8000)];
    departure.set_generations(ms(1600), left, &engine_spec(), 1e9);
    assert_eq!(departure.pre_copy_at("mid"), ms(1000));
}

#[test]
fn copies_start_at_once_before_the_first_report() {
    assert_eq!(
        Departure::from_notice(ms(1000)).pre_copy_at("any"),
        ms(1000)
    );
}

#[test]
fn copies_to_another_failure_domain_take_twice_as_long() {
    // There is room for `small` only, so `mid` takes 800 ms.
    assert!(!departure(1900, 3000.0).can_complete(ms(1000), "mid", 4000.0));
    assert!(departure(2200, 3000.0).can_complete(ms(1000), "mid", 4000.0));
    assert!(!departure(1300, 0.0).can_complete(ms(1000), "small", 2000.0));
}

#[test]
fn room_counts_open_engines_of_the_failure_domain() {
    let (mut world, _) = running();
    world.configure(vec![engine("one", "a", 5000), engine("two", "b", 7000)]);
    assert_eq!(
        world.free_tokens_in_domain(NOW, crate::support::SERVICE, "a"),
        5000.0
    );
    world.set_leaving("one", true);
    assert_eq!(
        world.free_tokens_in_domain(NOW, crate::support::SERVICE, "a"),
        0.0
    );
    assert_eq!(world.free_tokens_in_domain(NOW, "other", "b"), 0.0);
}
