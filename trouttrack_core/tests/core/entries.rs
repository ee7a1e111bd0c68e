//! Removal of upstream entries while the store is reachable and during outages.

use std::time::Duration;
use trouttrack_core::membership::{Entries, Removal};

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn removal_is_final_while_the_store_is_reachable() {
    let mut entries = Entries::default();
    entries.listed("u1");
    assert!(entries.removed(s(1), "u1", None));
    assert!(!entries.removed(s(1), "u1", None));
    assert!(!entries.removed(s(1), "never seen", None));
}

#[test]
fn entries_that_lapse_in_an_outage_may_be_written_again() {
    let mut entries = Entries::default();
    entries.listed("u1");
    entries.listed("u2");
    entries.store_lost();
    assert!(!entries.removed(s(1), "u1", None));
    assert!(!entries.removed(s(1), "u2", None));
    assert!(entries.is_lapsed("u1") && !entries.is_lapsed("never seen"));
    assert!(entries.take_expired(s(100)).is_empty());
    assert!(entries.store_recovered(s(100)));
    assert!(!entries.store_recovered(s(100)));
    // An entry removed within the grace period after the outage lapses too.
    entries.listed("u3");
    assert!(!entries.removed(s(101), "u3", None));
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
    entries.removed(s(1), "u1", None);
    entries.store_recovered(s(2));
    entries.store_lost();
    assert!(entries.take_expired(s(10)).is_empty());
    entries.store_recovered(s(11));
    assert!(entries.take_expired(s(12)).is_empty());
    assert_eq!(entries.take_expired(s(14)), ["u1"]);
}

/// Guards against a VM that passes on a guess: it can tell others what a removal means only while the
/// store serves it or its peers, and has for as long as entries take to be written again.
#[test]
fn only_a_vm_that_knows_of_no_gap_can_tell_removals() {
    let ms = Duration::from_millis;
    let serve = |entries: &mut Entries, from: u64, to: u64| {
        for at in (from..=to).step_by(500) {
            match at % 1_000 {
                0 => entries.served(ms(at)),
                _ => entries.answered(ms(at), s(5), true),
            }
        }
    };
    let mut entries = Entries::default();
    assert!(!entries.can_tell_removals(s(1)), "never served");
    serve(&mut entries, 1_000, 3_000);
    assert!(!entries.can_tell_removals(s(3)), "served for two seconds");
    serve(&mut entries, 3_500, 5_000);
    assert!(entries.can_tell_removals(s(5)));
    assert!(!entries.can_tell_removals(s(8)), "not served since");
    // What was told late leaves no gap.
    entries.served(ms(6_800));
    assert!(entries.can_tell_removals(s(8)));
    serve(&mut entries, 10_000, 11_000);
    assert!(!entries.can_tell_removals(s(11)), "after a gap");
    serve(&mut entries, 11_500, 13_000);
    assert!(entries.can_tell_removals(s(13)));
    entries.store_lost();
    assert!(!entries.can_tell_removals(s(13)));
    serve(&mut entries, 13_500, 15_000);
    assert!(!entries.can_tell_removals(s(15)), "after an outage");
    serve(&mut entries, 15_500, 16_000);
    assert!(entries.can_tell_removals(s(16)));
}

/// Guards against a VM that takes its own lost path for an outage: what the reader of a removal
/// tells goes before what this VM has seen.
#[test]
fn the_reader_of_a_removal_knows_what_it_means() {
    let mut entries = Entries::default();
    ["u1", "u2"].iter().for_each(|id| entries.listed(id));
    entries.store_lost();
    assert!(entries.removed(s(1), "u1", Some(Removal::Final)));
    entries.store_recovered(s(2));
    assert!(entries.removed(s(3), "u2", Some(Removal::Final)));
}

/// Guards against a live upstream that is dropped by a VM which has not noticed the outage.
#[test]
fn an_outage_that_only_the_reader_has_noticed_counts() {
    let mut entries = Entries::default();
    ["u1", "u2"].iter().for_each(|id| entries.listed(id));
    let lapse = Some(Removal::Lapse(s(2)));
    assert!(!entries.removed(s(1), "u1", lapse));
    assert!(!entries.removed(s(1), "u2", lapse));
    assert_eq!(entries.next_expiry(), Some(s(3)));
    entries.listed("u2");
    assert!(entries.take_expired(s(2)).is_empty());
    assert_eq!(entries.take_expired(s(3)), ["u1"]);
    assert_eq!(entries.next_expiry(), None);
}

/// Guards against an entry that has lapsed and is then known to be gone, and is waited for.
#[test]
fn a_lapsed_entry_may_turn_out_to_be_gone() {
    let mut entries = Entries::default();
    entries.listed("u1");
    entries.store_lost();
    assert!(!entries.removed(s(1), "u1", None));
    assert!(entries.removed(s(2), "u1", Some(Removal::Final)));
    assert!(!entries.is_lapsed("u1"));
}

/// Guards against a VM that was not served for a while, did not notice, and takes what lapsed
/// meanwhile for gone, or tells its peers so.
#[test]
fn a_vm_that_did_not_call_the_store_for_a_while_may_have_missed_an_outage() {
    let longest = s(2);
    let mut entries = Entries::default();
    let served = |entries: &mut Entries, seconds: std::ops::Range<u64>| {
        seconds.for_each(|at| entries.answered(s(at), longest, false));
    };
    served(&mut entries, 10..20);
    assert_eq!(entries.read_removal(s(19)), Some(Removal::Final));
    entries.answered(s(24), longest, false);
    assert_eq!(entries.read_removal(s(24)), None);
    entries.listed("u1");
    assert!(!entries.removed(s(24), "u1", None));
    served(&mut entries, 25..30);
    assert_eq!(entries.read_removal(s(29)), Some(Removal::Final));
    // The store has served a peer meanwhile.
    entries.answered(s(40), longest, true);
    assert_eq!(entries.read_removal(s(40)), Some(Removal::Final));
    // A VM that has noticed an outage knows that entries may have lapsed in it.
    entries.store_lost();
    entries.answered(s(50), longest, false);
    let told = entries.read_removal(s(51));
    assert!(matches!(told, Some(Removal::Lapse(left)) if left < longest));
}

/// Guards against an entry that is given up in a second outage, in which nobody can write it.
#[test]
fn a_lapse_that_a_peer_tells_is_extended_by_an_outage() {
    let mut entries = Entries::default();
    entries.listed("u1");
    assert!(!entries.removed(s(1), "u1", Some(Removal::Lapse(s(2)))));
    entries.store_lost();
    assert!(entries.take_expired(s(9)).is_empty());
    entries.answered(s(10), s(2), false);
    assert!(entries.take_expired(s(12)).is_empty());
    assert_eq!(entries.take_expired(s(13)), ["u1"]);
}

/// Guards against a VM that has not noticed an outage, lists the store, and drops a live upstream
/// that a peer has told it to wait for.
#[test]
fn a_list_without_an_entry_does_not_shorten_the_wait_for_it() {
    let mut entries = Entries::default();
    entries.listed("u1");
    assert!(!entries.removed(s(1), "u1", Some(Removal::Lapse(s(2)))));
    assert!(!entries.removed(s(2), "u1", None));
    assert!(entries.take_expired(s(2)).is_empty());
    assert_eq!(entries.take_expired(s(3)), ["u1"]);
}

/// Guards against an outage that goes unnoticed because the VMs' own bounds let them call seldom.
#[test]
fn bounds_that_let_a_vm_call_seldom_hide_no_outage() {
    let seldom = s(200);
    let mut entries = Entries::default();
    entries.answered(s(10), seldom, false);
    entries.answered(s(20), seldom, false);
    entries.listed("u1");
    assert_eq!(entries.read_removal(s(20)), None);
    assert!(!entries.removed(s(20), "u1", None));
}
