//! Which version began a stream: what VMs keep, and what they conclude from each other's answers.

use std::time::Duration;
use trouttrack_core::versions::{
    OriginAnswer, OriginSearch, Resolution, StreamOrigin, StreamTable, VersionCensus,
};

const OLD: u64 = 1;
const NEW: u64 = 2;
const SERVICE: &str = "s";
/// Longer than a stream lasts.
const WITHIN: Duration = Duration::from_secs(40);

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
    let mut search = OriginSearch::new([NEW], 3, true);
    search.record(&answer(None, &[OLD, NEW]), true);
    assert!(!search.is_complete());
    search.record(&answer(Some(OLD), &[NEW]), false);
    assert!(search.is_complete());
    assert_eq!(search.resolution(), Resolution::Known(OLD));
}

/// Guards against a VM that takes the version it knows for the only one: it has started after the
/// other one was replaced.
#[test]
fn a_version_that_only_a_peer_remembers_counts() {
    let mut search = OriginSearch::new([NEW], 2, false);
    search.record(&answer(None, &[OLD, NEW]), false);
    search.record(&answer(None, &[NEW]), true);
    assert!(search.is_complete());
    assert_eq!(search.resolution(), Resolution::Unknown);
}

/// Guards against a failure domain that is cut off and has not heard of a new version.
#[test]
fn a_vm_that_may_be_partitioned_needs_an_answer_from_another_domain() {
    for (needs_witness, is_remote, expected) in [
        (false, false, Resolution::Known(OLD)),
        (true, false, Resolution::Unknown),
        (true, true, Resolution::Known(OLD)),
    ] {
        let mut search = OriginSearch::new([OLD], 2, needs_witness);
        search.record(&answer(None, &[OLD]), is_remote);
        assert!(!search.is_complete());
        assert_eq!(search.resolution(), expected, "{needs_witness} {is_remote}");
    }
}

#[test]
fn a_service_without_upstreams_has_begun_nothing() {
    let search = OriginSearch::new([], 0, false);
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
    let served = |now| {
        let mut served: Vec<_> = census.served(now, SERVICE, WITHIN).collect();
        served.sort_unstable();
        served
    };
    assert_eq!(served(at(59)), [OLD, NEW]);
    assert_eq!(served(at(60)), [NEW]);
    assert!(census.mixed(at(59), WITHIN).contains(SERVICE));
    assert!(census.mixed(at(60), WITHIN).is_empty());
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
    // Only its own streams are told on.
    assert_eq!(streams.own(at(5), |_| true), [7]);
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
