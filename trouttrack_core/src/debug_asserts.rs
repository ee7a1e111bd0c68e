//! Invariants, checked in debug builds only.

use crate::Outcome;

/// A request ends once; a second end must state the same outcome.
pub(crate) fn assert_ended_once(before: Option<Outcome>, now: Outcome) {
    debug_assert!(
        before.is_none_or(|b| b == now),
        "a request that ended as {before:?} ended again as {now:?}"
    );
}

/// A count that goes down was above zero.
pub(crate) fn assert_positive(count: usize, what: &str) {
    debug_assert!(count > 0, "{what} would fall below zero");
}
