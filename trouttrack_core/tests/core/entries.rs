//! Removal of upstream entries while the store is reachable and during outages.

use std::time::Duration;
use trouttrack_core::membership::Entries;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn removal_is_final_while_the_store_is_reachable() {
    let mut entries = Entries::default();
    entries.listed("u1");
    assert!(entries.removed(s(1), "u1"));
    assert!(!entries.removed(s(1), "u1"));
    assert!(!entries.removed(s(1), "never seen"));
}

#[test]
fn entries_that_lapse_in_an_outage_may_be_written_again() {
    let mut entries = Entries::default();
    entries.listed("u1");
    entries.listed("u2");
    entries.store_lost();
    assert!(!entries.removed(s(1), "u1"));
    assert!(!entries.removed(s(1), "u2"));
    assert!(entries.is_lapsed("u1") && !entries.is_lapsed("never seen"));
    assert!(entries.take_expired(s(100)).is_empty());
    assert!(entries.store_recovered(s(100)));
    assert!(!entries.store_recovered(s(100)));
    // An entry removed within the grace period after the outage lapses too.
    entries.listed("u3");
    assert!(!entries.removed(s(101), "u3"));
    entries.listed("u1");
    assert!(entries.take_expired(s(101)).is_empty());
    let mut gone = entries.take_expired(s(103));
    gone.sort();
    assert_eq!(gone, ["u2", "u3"]);
    assert_eq!(entries.ids().count(), 1);
}

#[test]
fn second_outage_restarts_the_grace_period() {
    let mut entries = Entries::default();
    entries.listed("u1");
    entries.store_lost();
    entries.removed(s(1), "u1");
    entries.store_recovered(s(2));
    entries.store_lost();
    assert!(entries.take_expired(s(10)).is_empty());
    entries.store_recovered(s(11));
    assert!(entries.take_expired(s(12)).is_empty());
    assert_eq!(entries.take_expired(s(14)), ["u1"]);
}
