//! Numbers at the ends of their ranges, as reports, datagrams and callers may carry them.

use std::time::Duration;
use trouttrack_core::membership::{Entries, Removal};

/// Time by which a lapsed entry has been written again if its upstream lives.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_secs(3);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a removal that a peer calls a lapse for longer than a clock counts: the task
/// that receives datagrams ended, and the upstream was kept for good.
#[test]
fn a_lapse_ends_however_long_it_is_said_to_last() {
    let mut entries = Entries::default();
    entries.listed("u1");
    assert!(!entries.removed(s(1), "u1", Some(Removal::Lapse(Duration::MAX))));
    assert!(entries.is_lapsed("u1"));
    assert_eq!(entries.take_expired(s(1) + WRITTEN_AGAIN_AFTER), ["u1"]);
}
