//! What a datagram weighs.

use trouttrack_core::quarantine::CrashRecord;

/// Bytes of a request's fingerprint, with its length.
const REQUEST: usize = 20;
/// Bytes of one end: the upstream's id of some 14 signs, its start, its age.
const END: usize = 26;
/// Bytes around each datagram's content: IP, UDP and the form.
const FRAME: usize = 30;

/// The bytes of a datagram that tells of these requests.
pub(super) fn bytes(suspects: &[CrashRecord]) -> usize {
    let each = suspects.iter().map(|s| REQUEST + END * s.ends.len());
    FRAME + each.sum::<usize>()
}
