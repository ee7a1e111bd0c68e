//! Upstream load as known to a VM: usage reported by peers, and the usage that it reports.

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
fn prompt_counts_as_loading_until_first_token() {
    let mut world = two_domains();
    world.submit(NOW, submission("r", "o", 1));
    let [(key, upstream)] = &placed(&world.tick(NOW))[..] else {
        panic!("placed");
    };
    let reported = |world: &World, at| {
        let uses = world.local_uses(at);
        uses.iter().map(|u| u.loading_tokens).sum::<u64>()
    };
    // Regardless of the time it takes, so that a slow engine is not taken for an idle one.
    for seconds in [1, 5, 30] {
        let at = NOW + Duration::from_secs(seconds);
        assert_eq!(reported(&world, at), 100);
        let row = world.upstreams.get_by_id(upstream).expect("a row");
        assert!(row.prefill_seconds(at) > 0.0);
    }
    assert!(world.progress(*key, 1), "its first token");
    assert!(!world.progress(*key, 2), "not its first token");
    assert_eq!(reported(&world, NOW), 0);
}

#[test]
fn prompt_of_relocated_generation_counts_as_loaded() {
    let mut world = two_domains();
    world.submit(NOW, submission("r", "o", 1));
    let [(key, upstream)] = &placed(&world.tick(NOW))[..] else {
        panic!("placed");
    };
    let target = if upstream == "e1" { "e2" } else { "e1" };
    world.relocate(NOW, *key, target);
    assert_eq!(world.local_uses(NOW)[0].loading_tokens, 0);
}

#[test]
fn loading_prompt_of_peer_expires_without_further_reports() {
    let mut world = two_domains();
    world.record_peer_uses(NOW, "p", HOME, &[use_of("e1", 1)]);
    let row = world.upstreams.get_by_id("e1").expect("a row");
    assert!(row.prefill_seconds(NOW) > 0.0);
    assert!(row.prefill_seconds(NOW + Duration::from_secs(2)).abs() < 1e-9);
}

#[test]
fn domain_total_replaces_reports_of_its_vms() {
    let mut world = two_domains();
    world.record_domain_uses(NOW, OTHER, &[use_of("e2", 7), use_of("e1", 5)]);
    // A domain total covers the upstreams in that domain. Its VMs report their use of upstreams
    // in other domains individually.
    assert_eq!((running(&world, "e1"), running(&world, "e2")), (0, 7));
    let reported = [use_of("e1", 2), use_of("e2", 3)];
    world.record_peer_uses(NOW, "far", OTHER, &reported);
    assert_eq!((running(&world, "e1"), running(&world, "e2")), (2, 7));
    // A newer total replaces the previous one.
    world.record_domain_uses(NOW, OTHER, &[use_of("e2", 1)]);
    assert_eq!(running(&world, "e2"), 1);
}

#[test]
fn own_domain_total_includes_only_its_vms() {
    let mut world = two_domains();
    world.record_peer_uses(NOW, "near", HOME, &[use_of("e1", 2), use_of("e2", 1)]);
    world.record_peer_uses(NOW, "far", OTHER, &[use_of("e1", 4)]);
    let sum = world.domain_uses(NOW);
    let reported: Vec<_> = sum
        .iter()
        .map(|u| (u.upstream.as_str(), u.running))
        .collect();
    assert_eq!(reported, [("e1", 2)]);
}

#[test]
fn domain_total_expires_without_renewal() {
    let mut world = two_domains();
    world.record_domain_uses(NOW, OTHER, &[use_of("e2", 7)]);
    let later = NOW + Duration::from_secs(8);
    world.record_peer_uses(later, "near", HOME, &[]);
    assert_eq!(running(&world, "e2"), 0);
}

#[test]
fn oldest_report_age_is_known_for_used_upstreams() {
    let mut world = two_domains();
    world.record_peer_uses(NOW, "p", HOME, &[use_of("e1", 1)]);
    world.record_peer_uses(2 * NOW, "q", HOME, &[use_of("e1", 1)]);
    let row = world.upstreams.get_by_id("e1").expect("a row");
    assert_eq!(row.oldest_report_age(3 * NOW), Some(2 * NOW));
    let unused = world.upstreams.get_by_id("e2").expect("a row");
    assert_eq!(unused.oldest_report_age(3 * NOW), None);
}

#[test]
fn only_end_of_generation_is_reported_to_peers_immediately() {
    let mut world = two_domains();
    let end = |world: &mut World, prompt_tokens| {
        let mut wanted = submission("r", "o", 1);
        wanted.prompt_tokens = prompt_tokens;
        let key = world.submit(NOW, wanted);
        assert_eq!(placed(&world.tick(NOW)).len(), 1);
        world.record_end(NOW, key, false, Some(10))
    };
    assert!(end(&mut world, 100));
    assert!(!end(&mut world, 0));
}

#[test]
fn held_tokens_of_peers_count_fully_and_growth_partially() {
    let mut world = two_domains();
    let reported = UpstreamUse {
        peak_tokens: 9_000,
        held_tokens: 8_000,
        ..use_of("e1", 3)
    };
    world.record_peer_uses(NOW, "p", HOME, &[reported]);
    let row = world.upstreams.get_by_id("e1").expect("a row");
    assert!((row.peak_tokens(None) - 8_750.0).abs() < 1e-9);
}

/// Well after the end of a lookup, which takes about 30 ms, and before the next report of its
/// VM.
const LOOKUP_FINISHED: Duration = Duration::from_millis(200);

#[test]
fn lookups_reported_by_another_domain_do_not_keep_upstream_full() {
    let max_running = 6;
    let mut world = world("trouttrack", vec![spec("p", HOME, 0, max_running)]);
    let lookups = UpstreamUse {
        peak_tokens: 0,
        held_tokens: 0,
        loading_tokens: 0,
        ..use_of("p", max_running as u32)
    };
    world.record_peer_uses(NOW, "far", OTHER, &[lookups]);
    let later = NOW + LOOKUP_FINISHED;
    let mut wanted = submission("r", "o", 2);
    wanted.prompt_tokens = 0;
    world.submit(later, wanted);
    assert_eq!(placed(&world.tick(later)).len(), 1);
}

/// Regression test: calls, which a VM reports with the tokens that they are forecast to
/// generate, were mistaken for long-running generations.
#[test]
fn calls_reported_with_forecast_tokens_do_not_keep_upstream_full() {
    let max_running = 6;
    let mut sender = world("trouttrack", vec![spec("p", HOME, 0, max_running)]);
    let mut receiver = world("trouttrack", vec![spec("p", HOME, 0, max_running)]);
    let call = |id: &str| {
        let mut wanted = submission(id, "o", 2);
        wanted.prompt_tokens = 0;
        wanted
    };
    for n in 0..max_running {
        sender.submit(NOW, call(&format!("c{n}")));
    }
    assert_eq!(placed(&sender.tick(NOW)).len(), max_running);
    receiver.record_peer_uses(NOW, "sender", HOME, &sender.local_uses(NOW));
    let immediate = receiver.submit(NOW, call("at once"));
    assert!(
        placed(&receiver.tick(NOW)).is_empty(),
        "the upstream is full"
    );
    let later = NOW + LOOKUP_FINISHED;
    assert_eq!(placed(&receiver.tick(later)).len(), 1);
    receiver.record_end(later, immediate, false, Some(0));
}
