//! Numbers at the ends of their ranges, as reports, datagrams and callers may carry them.

use std::time::Duration;
use trouttrack_core::fleet::EngineSpec;
use trouttrack_core::membership::{Entries, Removal};
use trouttrack_core::rescue::Departure;

/// Time by which a lapsed entry has been written again if its upstream lives.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_secs(3);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
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
