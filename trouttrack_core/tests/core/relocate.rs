//! Where a running generation is moved to.

use crate::support::{placed, spec, submission, world};
use std::time::Duration;
use trouttrack_core::fleet::EngineSpec;
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::Spec;
use trouttrack_core::world::{RequestKey, World};

const NOW: Duration = Duration::from_secs(1);

fn engine(id: &str, failure_domain: &str, capacity_tokens: u64) -> Spec {
    spec(id, failure_domain, capacity_tokens, 8)
}

/// A request that runs at the only engine of the failure domain `a`.
fn running() -> (World, RequestKey) {
    let mut world = world("trouttrack", vec![engine("source", "a", 50_000)]);
    let key = world.submit(NOW, submission("r1", "alpha", 1));
    let decided = world.tick(NOW);
    assert_eq!(placed(&decided), [(key, "source".to_owned())]);
    (world, key)
}

#[test]
fn the_own_failure_domain_comes_first_while_there_is_room() {
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
        let target = world.target(NOW, key, "a", avoid);
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
fn a_moved_request_counts_where_it_went() {
    let (mut world, key) = running();
    world.configure(vec![
        engine("source", "a", 50_000),
        engine("other", "a", 50_000),
    ]);
    world.relocate(NOW, key, "other");
    let uses = world.own_uses(NOW);
    let [used] = uses.as_slice() else {
        panic!("{uses:?}");
    };
    assert_eq!((used.upstream.as_str(), used.running), ("other", 1));
    // The source may be gone by then; the request ends all the same.
    world.configure(vec![engine("other", "a", 50_000)]);
    world.ended(NOW, key, false, Some(10));
    assert!(world.own_uses(NOW).is_empty());
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An engine of which a thousand tokens take 100 ms.
fn link() -> EngineSpec {
    EngineSpec {
        memory_tokens: 34_000,
        bytes_per_token: 100_000.0,
        link_bytes_per_second: 1e9,
        moves: true,
        backups: true,
        tokens_per_event: 4,
    }
}

/// A departure noticed at one second with the last call at `last_call`.
fn departure(last_call: u64, near_room: f64) -> Departure {
    let mut departure = Departure::noticed(ms(1000));
    departure.leaves_in(ms(1000), ms(1000));
    let before_end = ms(2000) - departure.last_call();
    departure.leaves_in(ms(1000), ms(last_call) + before_end - ms(1000));
    let held = [("large", 8000), ("small", 2000), ("mid", 4000)];
    let held = held.map(|(id, tokens)| (id.to_owned(), tokens));
    departure.holds(ms(1000), held.to_vec(), &link(), near_room);
    departure
}

#[test]
fn before_it_has_said_what_it_holds_everything_is_tried() {
    let departure = Departure::noticed(ms(1000));
    assert!(departure.fits(ms(1000), "any", 9e9));
    assert!(!departure.fits(ms(9000), "any", 1.0));
}

#[test]
fn what_the_link_cannot_carry_in_time_is_not_asked_for() {
    // 200 and 400 ms and a little more.
    let one = departure(1700, 1e9);
    assert!(one.fits(ms(1000), "small", 2000.0));
    assert!(one.fits(ms(1000), "mid", 4000.0));
    assert!(!one.fits(ms(1000), "large", 8000.0));
    // One that is not in the report comes last.
    assert!(!one.fits(ms(1000), "new", 100.0));
    // Its turn has passed and the time with it.
    assert!(!one.fits(ms(1600), "small", 2000.0));
    let more = departure(3000, 1e9);
    assert!(more.fits(ms(1000), "large", 8000.0));
}

#[test]
fn copies_take_turns_so_that_no_last_part_waits_for_the_next_copy() {
    let mut departure = departure(3000, 1e9);
    assert_eq!(departure.begins_at("small"), ms(1000));
    // The small one takes 200 ms and a little more, and then its last part.
    let mid = departure.begins_at("mid");
    assert!((ms(1230)..ms(1300)).contains(&mid), "{mid:?}");
    let large = departure.begins_at("large");
    assert!((ms(1660)..ms(1800)).contains(&large), "{large:?}");
    // A second report changes what is there, not when the turns began.
    let left = vec![("mid".to_owned(), 4000), ("large".to_owned(), 8000)];
    departure.holds(ms(1600), left, &link(), 1e9);
    assert_eq!(departure.begins_at("mid"), ms(1000));
}

#[test]
fn before_it_has_said_what_it_holds_nothing_waits() {
    assert_eq!(Departure::noticed(ms(1000)).begins_at("any"), ms(1000));
}

#[test]
fn without_room_nearby_copies_take_twice_as_long() {
    // Room for the smallest alone; the next takes 800 ms.
    assert!(!departure(1900, 3000.0).fits(ms(1000), "mid", 4000.0));
    assert!(departure(2200, 3000.0).fits(ms(1000), "mid", 4000.0));
    assert!(!departure(1300, 0.0).fits(ms(1000), "small", 2000.0));
}

#[test]
fn room_is_that_of_open_engines_of_the_failure_domain() {
    let (mut world, _) = running();
    world.configure(vec![engine("one", "a", 5000), engine("two", "b", 7000)]);
    assert_eq!(world.room_near(NOW, crate::support::SERVICE, "a"), 5000.0);
    world.set_leaving("one", true);
    assert_eq!(world.room_near(NOW, crate::support::SERVICE, "a"), 0.0);
    assert_eq!(world.room_near(NOW, "other", "b"), 0.0);
}
