//! Numbers at the ends of their ranges, as reports, datagrams and callers may carry them.

use crate::support::{SERVICE, placed, spec, submission, world};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;
use trouttrack_core::fleet::EngineSpec;
use trouttrack_core::membership::{
    Conditions, Entries, Removal, ReportedDemand, ReportedReachable, ReportedUnreachable, Revision,
    UpstreamUse,
};
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::{
    BrittleStatement, Incarnation, MemoryReport, RateLimit, RateStatement, ReportedMean,
    ReportedRate, UpstreamNotice, incarnation_hash,
};
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

/// Guards against an epoch in a datagram that no store reaches: no answer of the store was current
/// after it.
#[test]
fn a_revision_of_an_epoch_out_of_range_is_not_decoded() {
    let decoded = |epoch: u64| {
        let bytes = postcard::to_extend(&(epoch, 7_u64), Vec::new()).unwrap();
        postcard::from_bytes::<Revision>(&bytes)
    };
    let highest = Revision::MAX_EPOCH;
    assert_eq!(decoded(highest), Ok(Revision::new(highest, 7)));
    assert!(decoded(highest + 1).is_err());
    assert!(decoded(u64::MAX).is_err());
}

/// Numbers at and near the ends of the ranges of a type.
fn extreme() -> impl Strategy<Value = u64> {
    let sizes = (0..64_u32).prop_map(|bits| 1 << bits);
    prop_oneof![Just(0), Just(u64::MAX), sizes, any::<u64>()]
}

fn rate() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0), Just(f64::MAX), Just(f64::MIN_POSITIVE), 0.0..1e3]
}

fn any_use() -> impl Strategy<Value = UpstreamUse> {
    let numbers = (
        extreme(),
        extreme(),
        extreme(),
        extreme(),
        extreme(),
        extreme(),
    );
    let upstream = prop::sample::select(vec!["e1", "e2", "p1", "none"]);
    (upstream, numbers, any::<bool>()).prop_map(|(upstream, n, is_small)| UpstreamUse {
        upstream: upstream.to_owned(),
        running: if is_small { n.0 as u32 % 8 } else { n.0 as u32 },
        peak_tokens: n.1,
        held_tokens: n.2,
        loading_tokens: n.3,
        lost_ms: is_small.then_some(n.4),
        handovers: n.5 as u32,
        recent_handovers: n.4 as u32,
    })
}

fn any_conditions() -> impl Strategy<Value = Conditions> {
    let life = Incarnation::new("e1", 0);
    let mean =
        (any::<u8>(), any::<u16>()).prop_map(|(weight, log_us)| ReportedMean { weight, log_us });
    let rates = (mean.clone(), mean.clone(), mean).prop_map({
        let upstream = incarnation_hash(&life);
        move |(event_gap, prefill, call)| ReportedRate {
            upstream,
            event_gap,
            prefill,
            call,
        }
    });
    let numbers = (
        any::<u8>(),
        any::<u16>(),
        any::<u32>(),
        any::<u32>(),
        any::<u32>(),
    );
    (rates, numbers).prop_map(move |(rate, n)| Conditions {
        rates: vec![rate],
        unreachable: vec![ReportedUnreachable {
            upstream: life.clone(),
            age_ms: n.2,
        }],
        demand: vec![ReportedDemand {
            service: SERVICE.to_owned(),
            class: n.0,
            requests: n.1,
            tokens: n.3,
            objective_ms: n.4,
        }],
        reachable: vec![ReportedReachable {
            upstream: life.clone(),
            age_ms: n.2,
        }],
        ..Conditions::default()
    })
}

fn config() -> ProptestConfig {
    let long = std::env::var_os("TROUTTRACK_LONG").is_some();
    ProptestConfig {
        cases: if long { 50_000 } else { 500 },
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_205),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against numbers of peers, upstreams and callers that end the task which places
    /// requests.
    #[test]
    fn any_numbers_leave_requests_decided(
        uses in prop::collection::vec(any_use(), 0..6),
        conditions in any_conditions(),
        memory in (extreme(), extreme()),
        rates in (rate(), rate()),
        prompts in prop::collection::vec((extreme(), extreme()), 1..8),
        slots in extreme(),
    ) {
        let slots = usize::try_from(slots).unwrap_or(usize::MAX).max(1);
        let engines = ["e1", "e2"].map(|id| spec(id, "a", MEMORY, slots));
        let mut world = world("trouttrack", [&engines[..], &[spec("p1", "b", 0, slots)]].concat());
        let life = Incarnation::new("e1", 0);
        for (n, (prompt, output)) in prompts.into_iter().enumerate() {
            let now = s(1) + Duration::from_millis(300 * n as u64);
            world.record_peer_uses(now, "front-2", "a", &uses);
            world.record_domain_uses(now, "b", &uses);
            world.record_peer_conditions(now, "front-2", n % 2 == 0, &conditions);
            let (used_tokens, listed_tokens) = memory;
            world.record_memory(now, &life, MemoryReport { used_tokens, listed_tokens });
            let limit = RateStatement::new(RateLimit::PerSecond(rates.0), now, now);
            world.receive_notice(now, &life, UpstreamNotice::RateLimit(limit));
            if n > 3 {
                world.set_brittle(SERVICE, BrittleStatement::new(Some(rates.1), now, now));
            }
            let mut request = submission(&format!("r{n}"), "o", n as u8);
            (request.prompt_tokens, request.guessed_tokens) = (prompt, Some(output));
            request.deadline = now + s(2);
            world.submit(now, request);
            for (key, _) in placed(&world.tick(now)) {
                world.progress(key, output);
                if n % 2 == 0 {
                    world.record_end(now, key, false, Some(output));
                } else {
                    world.record_refusal(now, key);
                }
            }
            let _ = (world.local_uses(now), world.domain_uses(now), world.domain_rates(now));
        }
        world.tick(s(60));
        prop_assert_eq!(world.queued(), 0);
    }
}
