//! Invariants, checked in debug builds only.

/// The blocks in use never outnumber the blocks there are.
pub(crate) fn assert_within(used: u64, total: u64) {
    debug_assert!(used <= total, "{used} of {total} blocks in use");
}
