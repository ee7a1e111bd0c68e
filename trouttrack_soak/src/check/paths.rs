//! VMs that have lost their paths to upstreams.

use super::{CONTACT, Evidence, Finding};
use crate::callers::Call;
use crate::faults::Disturbance;
use crate::plan::Act;

const SERVED: &str = "callers of VMs without paths to upstreams are served while others have paths";

/// What a front says when it reaches no upstream.
const UNREACHABLE: [&str; 3] = [
    "no upstream can be reached in time",
    "no connection to the upstream",
    "nobody listens at the upstream's address",
];

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    let calls = evidence.calls.iter().filter(|_| evidence.timed);
    calls.filter_map(|call| refused(evidence, call)).collect()
}

/// A request is refused because its VM reaches no upstream, though other VMs do and the partition
/// has lasted long enough to be noticed.
fn refused(evidence: &Evidence, call: &Call) -> Option<Finding> {
    // Upstreams of other versions do not help a caller that takes up a stream.
    let reply = call.reply().filter(|_| call.resumes.is_none());
    let text = reply.filter(|_| call.told_not_run())?.text();
    let unreachable = UNREACHABLE.iter().any(|reason| text.contains(reason));
    (unreachable && others_have_paths(evidence, call)).then(|| Finding::of(SERVED, &call.id, text))
}

/// Whether one partition that leaves out some VMs is all that keeps VMs from upstreams.
fn others_have_paths(evidence: &Evidence, call: &Call) -> bool {
    let vms = evidence.lives.len();
    let during = evidence.history.during(call.sent, CONTACT, call.ended);
    let (partitions, others): (Vec<&Disturbance>, Vec<_>) =
        during.partition(|d| matches!(d.act, Act::LosePaths(..)));
    let harmless = |d: &&Disturbance| {
        matches!(
            d.act,
            Act::Configure | Act::Revoke | Act::Reload(_) | Act::ForgetHistory | Act::BackUpStore
        )
    };
    let [partition] = partitions[..] else {
        return false;
    };
    let is_noticed = partition.from + CONTACT <= call.sent;
    let some_left = matches!(partition.act, Act::LosePaths(_, count, _) if count < vms);
    is_noticed && some_left && others.iter().all(harmless)
}
