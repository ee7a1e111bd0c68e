//! Which version began a stream: what VMs keep, and what they conclude from each other's answers.

use std::time::Duration;
use trouttrack_core::versions::{
    OriginAnswer, OriginSearch, Resolution, StreamOrigin, StreamTable, VERSION_MEMORY,
    VersionCensus,
};

const OLD: u64 = 1;
const NEW: u64 = 2;
const SERVICE: &str = "s";

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn answer(origin: Option<u64>, served: &[u64]) -> OriginAnswer {
    OriginAnswer {
        origin,
        served: served.to_vec(),
    }
}

#[test]
fn a_vm_that_knows_the_stream_decides() {
    let mut search = OriginSearch::new([NEW], 3);
    search.record(&answer(None, &[OLD, NEW]));
    assert!(!search.is_complete());
    search.record(&answer(Some(OLD), &[NEW]));
    assert!(search.is_complete());
    assert!(!search.needs_records());
    assert_eq!(search.resolution(), Resolution::Known(OLD));
}

/// Guards against a VM that takes the version it knows for the only one: it has started after the
/// other one was replaced.
#[test]
fn a_version_that_only_a_peer_remembers_counts() {
    let mut search = OriginSearch::new([NEW], 2);
    search.record(&answer(None, &[OLD, NEW]));
    search.record(&answer(None, &[NEW]));
    assert!(search.is_complete());
    assert!(!search.needs_records());
    search.add_recorded([NEW]);
    assert_eq!(search.resolution(), Resolution::Unknown);
}

/// Guards against VMs that have not heard of a version, because they have started since or are cut
/// off, and take the one that they know for the only one.
#[test]
fn the_only_version_that_vms_have_seen_is_not_enough() {
    for answers in 0..4 {
        let mut search = OriginSearch::new([OLD], answers);
        for _ in 0..answers {
            search.record(&answer(None, &[OLD]));
        }
        assert!(search.needs_records());
        assert_eq!(search.resolution(), Resolution::Unknown, "{answers}");
        for (recorded, expected) in [
            (&[][..], Resolution::Unknown),
            (&[NEW], Resolution::Unknown),
            (&[OLD, NEW], Resolution::Unknown),
            (&[OLD], Resolution::Known(OLD)),
        ] {
            let mut search = search.clone();
            search.add_recorded(recorded.iter().copied());
            assert_eq!(search.resolution(), expected, "{answers} {recorded:?}");
        }
    }
}

#[test]
fn a_service_without_upstreams_has_begun_nothing() {
    let search = OriginSearch::new([], 0);
    assert_eq!(search.resolution(), Resolution::Unknown);
}

#[test]
fn a_version_counts_until_none_of_its_streams_can_be_left() {
    let mut census = VersionCensus::default();
    census.add(SERVICE, OLD);
    census.add(SERVICE, OLD);
    census.add(SERVICE, NEW);
    census.remove(at(10), SERVICE, OLD);
    census.remove(at(20), SERVICE, OLD);
    let served = |census: &VersionCensus| {
        let mut served: Vec<_> = census.served(SERVICE).collect();
        served.sort_unstable();
        served
    };
    let expires = at(20) + VERSION_MEMORY;
    assert!(census.expire(expires - at(1)).is_empty());
    assert_eq!(served(&census), [OLD, NEW]);
    assert_eq!(census.expire(expires), [OLD]);
    assert_eq!(served(&census), [NEW]);
}

/// Guards against a record of a version without upstreams that a VM which has just started takes
/// for an old one.
#[test]
fn a_recorded_version_counts_from_when_it_is_read() {
    let mut census = VersionCensus::default();
    census.add_recorded(at(5), SERVICE, OLD);
    census.add_recorded(at(50), SERVICE, OLD);
    assert_eq!(census.served(SERVICE).collect::<Vec<_>>(), [OLD]);
    let expires = at(5) + VERSION_MEMORY;
    assert!(census.expire(expires - at(1)).is_empty());
    // A record read again does not make it count for longer, upstreams do.
    census.add(SERVICE, OLD);
    assert!(census.expire(expires).is_empty());
    census.remove(expires, SERVICE, OLD);
    assert_eq!(census.expire(expires + VERSION_MEMORY), [OLD]);
}

#[test]
fn what_others_tell_does_not_replace_what_a_vm_knows_itself() {
    let mut streams = StreamTable::default();
    assert!(streams.record_own(7, OLD, at(40)));
    assert!(!streams.record_own(7, OLD, at(50)));
    let told = |stream, left_ms| StreamOrigin {
        stream,
        origin: NEW,
        left_ms,
    };
    streams.record_told(at(3), &told(7, 90_000));
    streams.record_told(at(3), &told(8, 10_000));
    streams.record_told(at(4), &told(8, 1_000));
    assert_eq!(streams.origin(at(49), 7), Some(OLD));
    assert_eq!(streams.origin(at(12), 8), Some(NEW));
    assert_eq!(streams.origin(at(13), 8), None);
    let mut kept = streams.streams(at(5));
    kept.sort_unstable();
    assert_eq!(kept, [7, 8]);
    assert_eq!(streams.streams(at(13)), [7]);
    assert_eq!(streams.told(at(45), &[7])[0].left_ms, 5_000);
    streams.expire(at(50));
    assert!(streams.is_empty());
}

#[test]
fn the_number_of_kept_streams_is_bounded() {
    let mut streams = StreamTable::default();
    for stream in 0..100_000 {
        streams.record_own(stream, OLD, at(40));
    }
    let kept = streams.len();
    assert!(kept < 50_000, "{kept}");
    // Expired ones make room.
    streams.expire(at(41));
    streams.record_own(1_000_000, NEW, at(80));
    assert_eq!(streams.origin(at(42), 1_000_000), Some(NEW));
}
