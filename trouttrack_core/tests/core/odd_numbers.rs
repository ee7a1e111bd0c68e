//! Numbers at the ends of their ranges, as reports, datagrams and callers may carry them.

use crate::support::{SERVICE, placed, spec, submission, world};
use std::time::Duration;
use trouttrack_core::fleet::EngineSpec;
use trouttrack_core::membership::{Entries, Removal, UpstreamUse};
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::{BrittleStatement, Incarnation, MemoryReport};
use trouttrack_core::world::World;

/// Token memory of an engine.
const MEMORY: u64 = 34_000;
/// Time by which a lapsed entry has been written again if its upstream lives.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_secs(3);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn largest_use(upstream: &str) -> UpstreamUse {
    UpstreamUse {
        upstream: upstream.into(),
        running: u32::MAX,
        peak_tokens: u64::MAX,
        held_tokens: u64::MAX,
        loading_tokens: u64::MAX,
        lost_ms: Some(u64::MAX),
        handovers: u32::MAX,
        recent_handovers: u32::MAX,
    }
}

fn engines() -> World {
    let specs = ["e1", "e2"].map(|id| spec(id, "a", MEMORY, usize::MAX));
    world("trouttrack", specs.to_vec())
}

/// Guards against a removal that a peer calls a lapse for longer than a clock counts: the task
/// that receives datagrams ended, and the upstream was kept for good.
#[test]
fn a_lapse_ends_however_long_it_is_said_to_last() {
    let mut entries = Entries::default();
    entries.listed("u1");
    assert!(!entries.removed(s(1), "u1", Some(Removal::Lapse(Duration::MAX))));
    assert!(entries.is_lapsed("u1"));
    assert_eq!(entries.take_expired(s(1) + WRITTEN_AGAIN_AFTER), ["u1"]);
}

/// Guards against memory in proportion to the number of requests that a peer reports.
#[test]
fn the_largest_use_of_a_peer_only_fills_the_engine() {
    let mut world = engines();
    for peer in ["front-2", "front-3"] {
        world.record_peer_uses(s(1), peer, "a", &[largest_use("e1")]);
        world.record_domain_uses(s(1), "b", &[largest_use("e1")]);
    }
    world.submit(s(1), submission("r1", "o", 0));
    let placed = placed(&world.tick(s(1)));
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].1, "e2");
}

/// Guards against sums of tokens that overflow: the largest prompt ended the task that placed it,
/// and the order of later requests no longer depended on their organisations.
#[test]
fn the_largest_prompt_is_placed_and_ends() {
    let mut world = engines();
    let mut largest = submission("r1", "o", 0);
    largest.prompt_tokens = u64::MAX;
    largest.guessed_tokens = Some(u64::MAX);
    world.submit(s(1), largest);
    for (key, _) in placed(&world.tick(s(1))) {
        world.progress(key, u64::MAX);
        world.record_end(s(3), key, false, Some(u64::MAX));
    }
    world.submit(s(4), submission("r2", "o", 0));
    assert!(!world.tick(s(4)).is_empty());
}

/// Guards against places that overflow when they are counted.
#[test]
fn a_brittle_upstream_may_have_any_number_of_places() {
    let mut world = world("trouttrack", vec![spec("u1", "a", 0, usize::MAX)]);
    let statement = BrittleStatement::new(Some(f64::MAX), s(1), s(1));
    world.set_brittle(SERVICE, statement);
    world.submit(s(2), submission("r1", "o", 0));
    assert_eq!(placed(&world.tick(s(2))).len(), 1);
}

/// Guards against copies that are scheduled later than a clock counts: the moves of all other
/// generations of the engine ended.
#[test]
fn a_generation_of_any_size_leaves_the_smaller_ones_their_turn() {
    for (bytes_per_token, link_bytes_per_second) in [(131_072.0, 2.4e9), (1e300, 0.0), (0.0, 0.0)] {
        let engine = EngineSpec {
            memory_tokens: u64::MAX,
            bytes_per_token,
            link_bytes_per_second,
            moves: true,
            backups: true,
            tokens_per_event: u64::MAX,
        };
        let mut departure = Departure::from_notice(s(1));
        departure.set_remaining(s(1), Duration::MAX);
        let mut generations = vec![("small".to_owned(), 0)];
        generations.extend((0..20_000).map(|n| (format!("g{n}"), u64::MAX)));
        departure.set_generations(s(1), generations, &engine, f64::MAX);
        assert_eq!(departure.pre_copy_at("small"), s(1));
        assert!(departure.can_complete(s(1), "small", 0.0));
        for id in ["g0", "g19999", "unknown"] {
            assert!(departure.pre_copy_at(id) >= s(1), "{id}");
            let _ = departure.can_complete(s(1), id, f64::MAX);
        }
    }
}

/// Guards against a report of memory beyond any engine's that keeps requests from it for good.
#[test]
fn the_largest_report_of_memory_counts_until_it_is_out_of_date() {
    let mut world = engines();
    let life = Incarnation::new("e1", 0);
    let report = MemoryReport {
        used_tokens: u64::MAX,
        listed_tokens: 0,
    };
    world.record_memory(s(1), &life, report);
    world.submit(s(1), submission("r1", "o", 0));
    assert_eq!(placed(&world.tick(s(1)))[0].1, "e2");
}
