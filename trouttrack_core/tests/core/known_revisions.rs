//! News of upstream entries that arrives late, twice or out of order.

use trouttrack_core::membership::{KnownRevisions, Revision};

fn at(number: u64) -> Revision {
    Revision::new(1, number)
}

/// Guards against a late answer that is applied over newer news, of the entry or its removal.
#[test]
fn a_late_change_is_no_news() {
    let mut known = KnownRevisions::default();
    assert!(known.accept("u1", at(10)) && known.accept("u1", at(11)));
    known.advance(at(11));
    for late in [9, 10, 11] {
        assert!(!known.accept("u1", at(late)));
        // What is known of one entry up to a revision is known of all.
        assert!(!known.accept("u2", at(late)));
    }
    assert!(known.accept("u1", at(12)));
}

/// Guards against changes in one update that are applied in the wrong order.
#[test]
fn an_older_change_of_the_same_update_is_no_news() {
    let mut known = KnownRevisions::default();
    known.advance(at(10));
    assert!(known.accept("u1", at(13)));
    assert!(known.accept("u2", at(12)));
    assert!(!known.accept("u1", at(12)) && !known.accept("u1", at(13)));
}

/// Guards against a watch from the oldest page of a list that undoes what later pages showed.
#[test]
fn what_a_later_page_shows_is_not_undone() {
    let mut known = KnownRevisions::default();
    known.advance(at(10));
    // u1 came back at 15; u2 was not on its page, which is as of 16.
    assert!(known.accept_listed("u1", at(15)) && known.accept_listed("u2", at(16)));
    known.advance(at(12));
    assert_eq!(known.all(), at(12));
    assert!(!known.accept("u1", at(13)) && !known.accept("u2", at(14)));
    assert!(known.accept("u1", at(17)));
}

/// Guards against a list that is skipped for what it repeats.
#[test]
fn a_list_repeats_what_is_known_and_an_older_one_changes_nothing() {
    let mut known = KnownRevisions::default();
    known.advance(at(10));
    assert!(known.accept_listed("u1", at(4)));
    assert!(known.accept("u1", at(11)));
    assert!(!known.accept_listed("u1", at(4)));
}

/// Guards against a restored store, which repeats revisions, whose changes are ignored.
#[test]
fn changes_of_a_later_epoch_are_news_whatever_their_number() {
    let mut known = KnownRevisions::default();
    known.advance(at(40));
    assert!(known.accept("u1", Revision::new(2, 37)));
    known.advance(Revision::new(2, 37));
    assert!(!known.accept("u1", at(41)));
    known.advance(at(41));
    assert_eq!(known.all(), Revision::new(2, 37));
}
