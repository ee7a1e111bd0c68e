//! Invariant checks for debug builds.

use crate::Outcome;

/// Checks that a request ends only once; a repeated end must report the same outcome.
pub(crate) fn assert_ended_once(before: Option<Outcome>, now: Outcome) {
    debug_assert!(
        before.is_none_or(|b| b == now),
        "request that had ended as {before:?} ended again as {now:?}"
    );
}

/// Checks that a count is positive before it is decremented.
pub(crate) fn assert_positive(count: usize, what: &str) {
    debug_assert!(count > 0, "{what} is zero and cannot be decremented");
}
