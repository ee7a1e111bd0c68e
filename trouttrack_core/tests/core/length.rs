//! Estimation of remaining lengths.

use proptest::prelude::*;
use trouttrack_core::length::{LengthKey, LengthTable};

#[test]
fn unknown_organisation_falls_back_to_service_then_model() {
    let mut table = LengthTable::default();
    let known = LengthKey::new("letters", "drafting", "large");
    for _ in 0..100 {
        table.record(known, 1000);
    }
    let by_service = LengthKey::new("letters", "drafting", "small");
    assert!(table.estimate_remaining(by_service, 0, 0.5) > 900.0);
    let by_model = LengthKey::new("clauses", "drafting", "small");
    assert!(table.estimate_remaining(by_model, 0, 0.5) > 900.0);
    let unknown = LengthKey::new("x", "y", "z");
    assert!(table.estimate_remaining(unknown, 0, 0.5) < 900.0);
}

#[test]
fn estimate_grows_with_the_length_so_far() {
    let mut table = LengthTable::default();
    let key = LengthKey::new("s", "m", "o");
    for i in 0..1000u64 {
        table.record(key, if i % 10 == 0 { 10_000 } else { 50 });
    }
    assert!(table.estimate_remaining(key, 0, 0.5) < 100.0);
    assert!(table.estimate_remaining(key, 200, 0.5) > 5000.0);
}

#[test]
fn estimate_adapts_to_a_change_in_lengths() {
    let mut table = LengthTable::default();
    let key = LengthKey::new("s", "m", "o");
    for _ in 0..2000 {
        table.record(key, 50);
    }
    for _ in 0..1200 {
        table.record(key, 800);
    }
    assert!(table.estimate_remaining(key, 0, 0.5) > 400.0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn quantiles_are_ordered_and_positive(
        lengths in prop::collection::vec(1u64..100_000, 0..200),
        so_far in 0u64..100_000,
    ) {
        let mut table = LengthTable::default();
        let key = LengthKey::new("s", "m", "o");
        for l in &lengths {
            table.record(key, *l);
        }
        let quantile = |q| table.estimate_remaining(key, so_far, q);
        prop_assert!(quantile(0.1) >= 1.0);
        prop_assert!(quantile(0.1) <= quantile(0.5));
        prop_assert!(quantile(0.5) <= quantile(0.95));
    }
}
