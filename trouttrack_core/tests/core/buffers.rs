//! Bounds of the bytes that are buffered for slow readers.

use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::buffers::{Bound, BufferKey, BufferLimits, Buffers, MIN_STALL};

const KIB: usize = 1 << 10;
const LIMITS: BufferLimits = BufferLimits {
    request: 128 * KIB,
    organisation: 1024 * KIB,
    vm: 2048 * KIB,
};

fn s(s: u64) -> Time {
    Duration::from_secs(s)
}

/// Opens a buffer whose reader has accepted nothing since `since`.
fn stalled(buffers: &mut Buffers, organisation: &str, since: Time, bytes: usize) -> BufferKey {
    let key = buffers.open(organisation, LIMITS.request);
    assert!(buffers.reserve(since, key, bytes).granted);
    buffers.set_stalled(since, key, true);
    key
}

/// Fills 1,024 KiB of an organisation with eight stalled readers, from the second `from` on.
fn fill(buffers: &mut Buffers, organisation: &str, from: u64) -> Vec<BufferKey> {
    (0..8)
        .map(|i| stalled(buffers, organisation, s(from + i), 128 * KIB))
        .collect()
}

fn closed(buffers: &mut Buffers, now: Time, key: BufferKey, bytes: usize) -> Vec<BufferKey> {
    let ended = buffers.reserve(now, key, bytes).ended;
    let keys: Vec<_> = ended.into_iter().map(|reader| reader.key).collect();
    keys.iter().for_each(|key| buffers.close(*key));
    keys
}

#[test]
fn a_vm_with_500_callers_that_do_not_read_keeps_its_bound() {
    let mut buffers = Buffers::new(LIMITS);
    let mut ended = 0;
    for i in 0..500 {
        let organisation = ["a", "b", "c"][i % 3];
        let key = buffers.open(organisation, LIMITS.request);
        let now = s(2 * i as u64);
        buffers.set_stalled(now, key, true);
        while !buffers.is_ended(key) {
            let reservation = buffers.reserve(now, key, 16 * KIB);
            for reader in &reservation.ended {
                assert_ne!(reader.key, key, "it has only just stalled");
                buffers.close(reader.key);
                ended += 1;
            }
            assert!(buffers.total() <= LIMITS.vm);
            assert!(buffers.held_by(organisation) <= LIMITS.organisation);
            if !reservation.granted && reservation.ended.is_empty() {
                break;
            }
        }
    }
    // 2,048 KiB hold sixteen buffers of 128 KiB.
    assert_eq!((buffers.total(), ended), (LIMITS.vm, 500 - 16));
}

#[test]
fn a_stream_at_its_own_bound_waits_and_ends_nobody() {
    let mut buffers = Buffers::new(LIMITS);
    let key = stalled(&mut buffers, "a", s(1), LIMITS.request);
    let reservation = buffers.reserve(s(100), key, 1);
    assert!(!reservation.granted && reservation.ended.is_empty());
    assert_eq!(buffers.total(), LIMITS.request);
}

#[test]
fn a_reader_that_resumes_gets_the_rest() {
    let mut buffers = Buffers::new(LIMITS);
    let key = stalled(&mut buffers, "a", s(1), LIMITS.request);
    assert!(!buffers.reserve(s(100), key, KIB).granted);
    buffers.release(key, KIB);
    buffers.set_stalled(s(100), key, false);
    assert!(buffers.reserve(s(100), key, KIB).granted);
}

#[test]
fn a_chunk_larger_than_the_bound_passes_through_an_empty_buffer() {
    let mut buffers = Buffers::new(LIMITS);
    let key = buffers.open("a", LIMITS.request);
    assert!(buffers.reserve(s(1), key, LIMITS.request + 1).granted);
}

#[test]
fn the_reader_that_has_stalled_for_the_longest_time_is_ended_first() {
    let mut buffers = Buffers::new(LIMITS);
    let readers = fill(&mut buffers, "a", 10);
    let key = buffers.open("a", LIMITS.request);
    let reservation = buffers.reserve(s(30), key, 100 * KIB);
    assert!(!reservation.granted);
    let reader = &reservation.ended[0];
    assert_eq!((reservation.ended.len(), reader.key), (1, readers[0]));
    assert_eq!(
        (reader.bound, reader.stalled_for),
        (Bound::Organisation, s(20))
    );
    // Its bytes count until its buffer is closed, and no other is ended meanwhile.
    let waiting = buffers.reserve(s(30), key, 100 * KIB);
    assert!(!waiting.granted && waiting.ended.is_empty());
    buffers.close(readers[0]);
    assert!(buffers.reserve(s(30), key, 100 * KIB).granted);
}

#[test]
fn a_reader_that_stalls_for_a_moment_is_not_ended() {
    let mut buffers = Buffers::new(LIMITS);
    let readers = fill(&mut buffers, "a", 10);
    for key in &readers[..7] {
        buffers.set_stalled(s(17), *key, false);
    }
    let key = buffers.open("a", LIMITS.request);
    let reservation = buffers.reserve(s(17) + MIN_STALL / 2, key, KIB);
    assert!(!reservation.granted && reservation.ended.is_empty());
    assert_eq!(reservation.retry_at, Some(s(17) + MIN_STALL));
    assert_eq!(
        closed(&mut buffers, s(17) + MIN_STALL, key, KIB),
        [readers[7]]
    );
}

#[test]
fn readers_at_their_own_pace_are_never_ended() {
    let mut buffers = Buffers::new(LIMITS);
    for key in fill(&mut buffers, "a", 10) {
        buffers.set_stalled(s(20), key, false);
    }
    let key = buffers.open("a", LIMITS.request);
    let reservation = buffers.reserve(s(1_000), key, KIB);
    assert!(!reservation.granted && reservation.ended.is_empty());
    assert_eq!(reservation.retry_at, None);
}

#[test]
fn an_organisation_at_its_bound_ends_no_reader_of_another() {
    let mut buffers = Buffers::new(LIMITS);
    let other = stalled(&mut buffers, "b", s(1), 64 * KIB);
    let readers = fill(&mut buffers, "a", 10);
    let key = buffers.open("a", LIMITS.request);
    assert_eq!(closed(&mut buffers, s(60), key, 200 * KIB), readers[..2]);
    assert!(!buffers.is_ended(other));
}

#[test]
fn at_the_bound_of_the_vm_the_organisation_that_holds_the_most_pays() {
    let mut buffers = Buffers::new(LIMITS);
    // The readers of "b" and "c" have been stalled for longer than those of "a".
    let b = stalled(&mut buffers, "b", s(1), 128 * KIB);
    let c: Vec<_> = (0..7)
        .map(|_| stalled(&mut buffers, "c", s(2), 128 * KIB))
        .collect();
    let a = fill(&mut buffers, "a", 10);
    assert_eq!(buffers.total(), LIMITS.vm);
    let key = buffers.open("b", LIMITS.request);
    assert_eq!(closed(&mut buffers, s(60), key, 16 * KIB), [a[0]]);
    assert!(buffers.reserve(s(60), key, 16 * KIB).granted);
    assert!(c.iter().chain([&b]).all(|key| !buffers.is_ended(*key)));
}

#[test]
fn no_organisation_pays_while_the_largest_one_reads() {
    let mut buffers = Buffers::new(LIMITS);
    let b: Vec<_> = (0..8)
        .map(|_| stalled(&mut buffers, "b", s(1), 127 * KIB))
        .collect();
    let a = fill(&mut buffers, "a", 10);
    for key in &a {
        buffers.set_stalled(s(20), *key, false);
    }
    let key = buffers.open("c", LIMITS.request);
    let reservation = buffers.reserve(s(60), key, 16 * KIB);
    assert!(!reservation.granted && reservation.ended.is_empty());
    assert!(b.iter().all(|key| !buffers.is_ended(*key)));
}

#[test]
fn the_organisations_with_the_most_bytes_are_named_first_and_their_number_is_bounded() {
    let mut buffers = Buffers::new(LIMITS);
    for (organisation, kib) in [("a", 2), ("b", 8), ("c", 4), ("d", 4), ("b", 1)] {
        let key = buffers.open(organisation, LIMITS.request);
        assert!(buffers.reserve(s(1), key, kib * KIB).granted);
    }
    let held = |organisation: &str, kib| (organisation.to_owned(), kib * KIB);
    assert_eq!(
        buffers.largest(3),
        [held("b", 9), held("c", 4), held("d", 4)]
    );
}
