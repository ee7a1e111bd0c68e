//! Upstreams that turn work away in waves, or leave by their answers' word.
//!
//! The sizes of three deployments: 6 VMs before 4 plain upstreams, 64 before 42, 295 before
//! 196; calls of 60 ms within 300 ms, four tenths of all slots taken. A fourth of the upstreams
//! turns away from 3 to 8 s and from 12 to 17 s; a sixth leaves from 3 s on.

use std::ops::Range;
use std::time::Duration;
use trouttrack_load::patterns::{Heeds, ShedOutcome, Word, play_shed};

/// VMs, and the seeds that are played: a large fleet has enough calls in one.
const SMALL: (usize, Range<u64>) = (6, 1..4);
const MIDDLE: (usize, Range<u64>) = (64, 1..3);
const LARGE: (usize, Range<u64>) = (295, 1..2);
/// What an upstream asks for; the platform's example.
const REST: Duration = Duration::from_secs(3);
/// Sends that are allowed from one VM within a rest that it has heard of.
const MOST_IN_REST: usize = 2;

/// Every seed of a size, with words heeded and not.
fn each(size: (usize, Range<u64>), word: Word, check: impl Fn(ShedOutcome, ShedOutcome)) {
    let (vms, seeds) = size;
    for seed in seeds {
        let before = play_shed(vms, word, Heeds::Nothing, seed);
        let now = play_shed(vms, word, Heeds::All, seed);
        let own = play_shed(vms, word, Heeds::Own, seed);
        println!("{vms} VMs, seed {seed}, {word:?}: {before:?} -> {own:?} -> {now:?}");
        check(before, now);
    }
}

/// An upstream that turns away draws what stands near it, and each refusal costs a caller its
/// answer: seven in ten of these are to be served elsewhere.
fn few_are_turned_away(size: (usize, Range<u64>), word: Word) {
    each(size, word, |before, now| {
        let most = before.turned_away * 3 / 10;
        assert!(now.turned_away <= most, "{before:?} -> {now:?}");
        assert_eq!(now.unplaced, 0, "others have room");
    });
}

#[test]
fn a_service_sheds_load_in_waves_at_6_vms() {
    few_are_turned_away(SMALL, Word::Refuses);
}

#[test]
fn a_service_sheds_load_in_waves_at_64_vms() {
    few_are_turned_away(MIDDLE, Word::Refuses);
}

#[test]
fn a_service_sheds_load_in_waves_at_295_vms() {
    few_are_turned_away(LARGE, Word::Refuses);
}

#[test]
fn a_service_sheds_load_and_names_a_rest_at_6_vms() {
    few_are_turned_away(SMALL, Word::Rests(REST));
}

#[test]
fn a_service_sheds_load_and_names_a_rest_at_64_vms() {
    few_are_turned_away(MIDDLE, Word::Rests(REST));
}

#[test]
fn a_service_sheds_load_and_names_a_rest_at_295_vms() {
    few_are_turned_away(LARGE, Word::Rests(REST));
}

#[test]
fn a_rest_that_was_heard_of_is_kept_at_any_size() {
    for size in [SMALL, MIDDLE, LARGE] {
        each(size, Word::Rests(REST), |before, now| {
            assert!(before.after_word_most > MOST_IN_REST, "{before:?}");
            assert!(now.after_word_most <= MOST_IN_REST, "{now:?}");
        });
    }
}

#[test]
fn a_sixth_that_leaves_while_the_store_is_away_gets_no_new_work() {
    for size in [SMALL, MIDDLE, LARGE] {
        each(size, Word::Leaves, |before, now| {
            assert!(before.after_word > 0, "{before:?}");
            assert_eq!(now.after_word, 0, "{now:?}");
            assert_eq!(now.unplaced, 0, "others have room");
        });
    }
}
