//! Entries that disappear, with the store at hand and away.

use std::time::Duration;
use trouttrack_core::membership::Entries;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn with_the_store_at_hand_gone_is_gone() {
    let mut entries = Entries::default();
    entries.listed("u1");
    assert!(entries.removed(s(1), "u1"));
    assert!(!entries.removed(s(1), "u1"));
    assert!(!entries.removed(s(1), "never seen"));
}

#[test]
fn what_lapsed_in_an_outage_may_come_back() {
    let mut entries = Entries::default();
    entries.listed("u1");
    entries.listed("u2");
    entries.store_lost();
    assert!(!entries.removed(s(1), "u1"));
    assert!(!entries.removed(s(1), "u2"));
    assert!(entries.is_lapsed("u1") && !entries.is_lapsed("never seen"));
    assert!(entries.gone(s(100)).is_empty());
    assert!(entries.store_back(s(100)));
    assert!(!entries.store_back(s(100)));
    // Also what disappears just after the return.
    entries.listed("u3");
    assert!(!entries.removed(s(101), "u3"));
    entries.listed("u1");
    assert!(entries.gone(s(101)).is_empty());
    let mut gone = entries.gone(s(103));
    gone.sort();
    assert_eq!(gone, ["u2", "u3"]);
    assert_eq!(entries.ids().count(), 1);
}

#[test]
fn a_second_outage_starts_the_wait_anew() {
    let mut entries = Entries::default();
    entries.listed("u1");
    entries.store_lost();
    entries.removed(s(1), "u1");
    entries.store_back(s(2));
    entries.store_lost();
    assert!(entries.gone(s(10)).is_empty());
    entries.store_back(s(11));
    assert!(entries.gone(s(12)).is_empty());
    assert_eq!(entries.gone(s(14)), ["u1"]);
}
