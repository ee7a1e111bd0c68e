//! Slow readers and upstreams that are gone.

use super::{ASKED, BUFFERS, CONNECTIONS, CONTACT, Evidence, Finding};
use crate::bed::RouteName;
use crate::callers::Call;
use crate::plan::Act;
use std::time::Instant;

const KEPT: &str = "what a VM keeps for slow readers stays under its bound";
const ACCEPTED: &str = "a VM accepts no more connections than its bound";
const READS: &str = "a caller that reads is not disconnected for another's stall";
const REACHED: &str = "upstreams that are gone make nothing fail that others could serve";

/// What a front says when nobody listens where it would send a request.
const UNREACHABLE: [&str; 2] = [
    "no upstream can be reached in time",
    "nobody listens at the upstream's address",
];

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    let calls = evidence.calls.iter();
    let of_calls = calls.flat_map(|call| [ended(evidence, call), refused(evidence, call)]);
    let of_vms = kept(evidence).chain(accepted(evidence));
    of_calls.flatten().chain(of_vms).collect()
}

/// A VM had more connections than it may accept.
fn accepted(evidence: &Evidence) -> impl Iterator<Item = Finding> {
    let vms = evidence.kept.iter().enumerate();
    vms.filter_map(|(vm, kept)| {
        let connections = kept.connections.filter(|n| *n > CONNECTIONS)?;
        Some(Finding {
            promise: ACCEPTED,
            request: None,
            seen: format!("VM {vm}: {connections} connections, {CONNECTIONS} are allowed"),
        })
    })
}

/// A VM kept too much, or never said what it keeps though it lived long enough to be asked. At
/// least one of them says it.
fn kept(evidence: &Evidence) -> impl Iterator<Item = Finding> {
    let none_said = evidence.kept.iter().all(|k| k.most.is_none());
    let vms = evidence.kept.iter().enumerate();
    vms.filter_map(move |(vm, kept)| {
        let seen = match kept.most {
            None if none_said || kept.longest_life >= ASKED => {
                format!(
                    "VM {vm} did not say in {:?} what it keeps",
                    kept.longest_life
                )
            }
            Some(most) if most > BUFFERS => {
                format!("VM {vm}: {most} bytes, {BUFFERS} are allowed")
            }
            _ => return None,
        };
        Some(Finding {
            promise: KEPT,
            request: None,
            seen,
        })
    })
}

/// A caller that reads is disconnected, though neither it nor its VM stood still.
fn ended(evidence: &Evidence, call: &Call) -> Option<Finding> {
    let ended = call.route != RouteName::Long && evidence.ended_readers.contains(&call.id);
    let history = &evidence.history;
    let found = ended && history.callers_left_alone(call.vm, call.sent, CONTACT, call.ended);
    found.then(|| Finding::of(READS, &call.id, "disconnected as a slow reader"))
}

/// A request is refused because nobody listens, though only a part of the upstreams is gone. A
/// refused connection is no attempt, also of a request that may run at most once.
fn refused(evidence: &Evidence, call: &Call) -> Option<Finding> {
    let text = call.reply().filter(|_| call.told_not_run())?.text();
    let unreachable = UNREACHABLE.iter().any(|reason| text.contains(reason));
    let found = unreachable && only_some_gone(evidence, call.vm, call.sent, call.ended);
    found.then(|| Finding::of(REACHED, &call.id, text))
}

/// Whether nothing but upstreams that vanished could keep a VM from upstreams.
fn only_some_gone(evidence: &Evidence, vm: usize, from: Instant, until: Instant) -> bool {
    let mut during = evidence.history.during(from, CONTACT, until);
    during.all(|d| match d.act {
        Act::Stop(v) | Act::Kill(v) => v != vm,
        Act::Vanish(_)
        | Act::SlowDown(_)
        | Act::SlowForGood(_)
        | Act::Burst
        | Act::SlowReaders(_)
        | Act::Configure
        | Act::Revoke
        | Act::Reload(_) => true,
        _ => false,
    })
}
