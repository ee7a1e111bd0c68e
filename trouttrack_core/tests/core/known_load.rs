//! What a VM knows of the load that others put on upstreams, and tells of its own.

use crate::support::{placed, spec, submission, world};
use std::time::Duration;
use trouttrack_core::membership::UpstreamUse;
use trouttrack_core::world::World;

const NOW: Duration = Duration::from_secs(1);
const HOME: &str = "a";
const OTHER: &str = "b";

fn use_of(upstream: &str, running: u32) -> UpstreamUse {
    UpstreamUse {
        upstream: upstream.to_owned(),
        running,
        peak_tokens: 1_000 * u64::from(running),
        held_tokens: 1_000 * u64::from(running),
        loading_tokens: 3_000,
        lost_ms: None,
        handovers: 0,
        recent_handovers: 0,
    }
}

fn running(world: &World, upstream: &str) -> usize {
    let row = world.upstreams.get_by_id(upstream).expect("a row");
    row.estimated_running()
}

fn two_domains() -> World {
    let specs = vec![spec("e1", HOME, 9_000, 9), spec("e2", OTHER, 9_000, 9)];
    world("trouttrack", specs)
}

#[test]
fn a_prompt_counts_until_the_first_token_comes() {
    let mut world = two_domains();
    world.submit(NOW, submission("r", "o", 1));
    let [(key, upstream)] = &placed(&world.tick(NOW))[..] else {
        panic!("placed");
    };
    let told = |world: &World, at| {
        let uses = world.own_uses(at);
        uses.iter().map(|u| u.loading_tokens).sum::<u64>()
    };
    // However long it takes: an engine that is slow is not thought to be free.
    for seconds in [1, 5, 30] {
        let at = NOW + Duration::from_secs(seconds);
        assert_eq!(told(&world, at), 100);
        let row = world.upstreams.get_by_id(upstream).expect("a row");
        assert!(row.loading_seconds(at) > 0.0);
    }
    assert!(world.progress(*key, 1), "its first token");
    assert!(!world.progress(*key, 2), "not its first token");
    assert_eq!(told(&world, NOW), 0);
}

#[test]
fn a_prompt_of_a_moved_generation_is_loaded() {
    let mut world = two_domains();
    world.submit(NOW, submission("r", "o", 1));
    let [(key, upstream)] = &placed(&world.tick(NOW))[..] else {
        panic!("placed");
    };
    let target = if upstream == "e1" { "e2" } else { "e1" };
    world.relocate(NOW, *key, target);
    assert_eq!(world.own_uses(NOW)[0].loading_tokens, 0);
}

#[test]
fn a_peers_prompt_that_nobody_tells_of_again_is_taken_for_loaded_in_time() {
    let mut world = two_domains();
    world.peer_uses(NOW, "p", HOME, &[use_of("e1", 1)]);
    let row = world.upstreams.get_by_id("e1").expect("a row");
    assert!(row.loading_seconds(NOW) > 0.0);
    assert!(row.loading_seconds(NOW + Duration::from_secs(2)).abs() < 1e-9);
}

#[test]
fn the_sum_over_a_failure_domain_takes_the_place_of_its_vms() {
    let mut world = two_domains();
    world.domain_uses_told(NOW, OTHER, &[use_of("e2", 7), use_of("e1", 5)]);
    // The sum is of upstreams there; what its VMs use here each tells itself.
    assert_eq!((running(&world, "e1"), running(&world, "e2")), (0, 7));
    let told = [use_of("e1", 2), use_of("e2", 3)];
    world.peer_uses(NOW, "far", OTHER, &told);
    assert_eq!((running(&world, "e1"), running(&world, "e2")), (2, 7));
    // A newer sum replaces the last one.
    world.domain_uses_told(NOW, OTHER, &[use_of("e2", 1)]);
    assert_eq!(running(&world, "e2"), 1);
}

#[test]
fn what_is_told_of_the_own_domain_is_by_its_vms_alone() {
    let mut world = two_domains();
    world.peer_uses(NOW, "near", HOME, &[use_of("e1", 2), use_of("e2", 1)]);
    world.peer_uses(NOW, "far", OTHER, &[use_of("e1", 4)]);
    let sum = world.domain_uses(NOW);
    let told: Vec<_> = sum
        .iter()
        .map(|u| (u.upstream.as_str(), u.running))
        .collect();
    assert_eq!(told, [("e1", 2)]);
}

#[test]
fn a_sum_that_is_not_renewed_is_forgotten() {
    let mut world = two_domains();
    world.domain_uses_told(NOW, OTHER, &[use_of("e2", 7)]);
    let later = NOW + Duration::from_secs(8);
    world.peer_uses(later, "near", HOME, &[]);
    assert_eq!(running(&world, "e2"), 0);
}

#[test]
fn the_age_of_the_oldest_word_on_an_upstream_is_known() {
    let mut world = two_domains();
    world.peer_uses(NOW, "p", HOME, &[use_of("e1", 1)]);
    world.peer_uses(2 * NOW, "q", HOME, &[use_of("e1", 1)]);
    let row = world.upstreams.get_by_id("e1").expect("a row");
    assert_eq!(row.oldest_word(3 * NOW), Some(2 * NOW));
    let unused = world.upstreams.get_by_id("e2").expect("a row");
    assert_eq!(unused.oldest_word(3 * NOW), None);
}

#[test]
fn the_end_of_a_generation_is_news_and_that_of_a_lookup_is_not() {
    let mut world = two_domains();
    let end = |world: &mut World, prompt_tokens| {
        let mut wanted = submission("r", "o", 1);
        wanted.prompt_tokens = prompt_tokens;
        let key = world.submit(NOW, wanted);
        assert_eq!(placed(&world.tick(NOW)).len(), 1);
        world.ended(NOW, key, false, Some(10))
    };
    assert!(end(&mut world, 100));
    assert!(!end(&mut world, 0));
}

#[test]
fn what_peers_hold_is_counted_whole_and_their_growth_in_part() {
    let mut world = two_domains();
    let told = UpstreamUse {
        peak_tokens: 9_000,
        held_tokens: 8_000,
        ..use_of("e1", 3)
    };
    world.peer_uses(NOW, "p", HOME, &[told]);
    let row = world.upstreams.get_by_id("e1").expect("a row");
    assert!((row.peak_tokens(None) - 8_750.0).abs() < 1e-9);
}

/// Long after a lookup of some 30 ms, and before its VM says anything again.
const LOOKUP_IS_OVER: Duration = Duration::from_millis(200);

#[test]
fn lookups_told_from_elsewhere_do_not_keep_an_upstream_closed() {
    let slots = 6;
    let mut world = world("trouttrack", vec![spec("p", HOME, 0, slots)]);
    let lookups = UpstreamUse {
        peak_tokens: 0,
        held_tokens: 0,
        loading_tokens: 0,
        ..use_of("p", slots as u32)
    };
    world.peer_uses(NOW, "far", OTHER, &[lookups]);
    let later = NOW + LOOKUP_IS_OVER;
    let mut wanted = submission("r", "o", 2);
    wanted.prompt_tokens = 0;
    world.submit(later, wanted);
    assert_eq!(placed(&world.tick(later)).len(), 1);
}

/// Guards against: what a VM tells of its calls as it really does, with the tokens that its
/// forecast takes them to write, was taken for generations that last.
#[test]
fn calls_as_they_are_told_do_not_keep_an_upstream_closed() {
    let slots = 6;
    let mut teller = world("trouttrack", vec![spec("p", HOME, 0, slots)]);
    let mut listener = world("trouttrack", vec![spec("p", HOME, 0, slots)]);
    let call = |id: &str| {
        let mut wanted = submission(id, "o", 2);
        wanted.prompt_tokens = 0;
        wanted
    };
    for n in 0..slots {
        teller.submit(NOW, call(&format!("c{n}")));
    }
    assert_eq!(placed(&teller.tick(NOW)).len(), slots);
    listener.peer_uses(NOW, "teller", HOME, &teller.own_uses(NOW));
    let at_once = listener.submit(NOW, call("at once"));
    assert!(placed(&listener.tick(NOW)).is_empty(), "it is full");
    let later = NOW + LOOKUP_IS_OVER;
    assert_eq!(placed(&listener.tick(later)).len(), 1);
    listener.ended(later, at_once, false, Some(0));
}
