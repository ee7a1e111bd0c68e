//! Merging of peer state in any order and any number of times.

use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::membership::{
    Digest, Mark, MarkEntry, MarkSource, MarkTable, PeerTable, UpstreamUse,
};

fn entry() -> impl Strategy<Value = MarkEntry> {
    let source = prop_oneof![
        Just(MarkSource::VmList),
        Just(MarkSource::Upstream),
        Just(MarkSource::Operator)
    ];
    ("[ab]", source, 0u64..4, any::<bool>()).prop_map(|(upstream, source, stamp, leaving)| {
        let stamp = Duration::from_secs(stamp);
        MarkEntry {
            upstream,
            source,
            mark: Mark { stamp, leaving },
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn merge_of_marks_is_commutative_and_idempotent(
        entries in prop::collection::vec(entry(), 0..20),
        repeated in prop::collection::vec(any::<prop::sample::Index>(), 0..10),
    ) {
        let mut forward = MarkTable::default();
        entries.iter().for_each(|e| { forward.merge(e); });
        let mut backward = MarkTable::default();
        entries.iter().rev().for_each(|e| { backward.merge(e); });
        if !entries.is_empty() {
            for i in repeated {
                backward.merge(i.get(&entries));
            }
        }
        prop_assert_eq!(forward, backward);
    }
}

#[test]
fn mark_of_one_source_does_not_override_another_source() {
    let mut table = MarkTable::default();
    let now = Duration::from_secs(5);
    assert!(table.observe("e", true, MarkSource::VmList, now));
    assert!(!table.observe("e", false, MarkSource::Upstream, now));
    assert!(table.leaving("e"));
    assert!(table.observe("e", false, MarkSource::VmList, now));
    assert!(!table.leaving("e"));
}

#[test]
fn observation_is_newer_even_if_the_local_clock_is_behind() {
    let mut table = MarkTable::default();
    table.observe("e", true, MarkSource::Upstream, Duration::from_secs(100));
    assert!(table.observe("e", false, MarkSource::Upstream, Duration::from_secs(1)));
    assert!(!table.leaving("e"));
}

#[test]
fn first_digest_of_a_restarted_peer_is_accepted() {
    let mut peers = PeerTable::new(Duration::from_secs(3));
    let digest = |incarnation, sequence, running| Digest {
        name: "g".into(),
        incarnation,
        sequence,
        uses: vec![UpstreamUse {
            upstream: "e".into(),
            running,
            peak_tokens: 0,
            held_tokens: 0,
            loading_tokens: 0,
            lost_ms: None,
            handovers: 0,
            recent_handovers: 0,
        }],
        ..Digest::default()
    };
    let now = Duration::from_secs(1);
    assert!(peers.record(now, digest(1, 90, 5)));
    assert!(!peers.record(now, digest(1, 89, 9)));
    assert!(peers.record(now, digest(2, 1, 2)));
    assert_eq!(peers.running_at(now, "e"), 2);
}
