//! What upstreams say in their answers is heeded by the VM that had the answer.

use super::{Evidence, Finding, Run};
use crate::callers::Call;
use crate::plan::{Act, Place};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const LEAVES: &str = "an upstream whose answers said that it leaves gets no new work";
const RESTS: &str = "an upstream that asked for rest is left alone";
/// A request that a caller sent later than this after such an answer was passed on must not
/// reach the upstream.
const DRAIN: Duration = Duration::from_secs(2);
/// Requests that may still reach an upstream in the part of a rest that begins this long
/// after it was asked for.
const HEARD: Duration = Duration::from_millis(500);
const MOST_IN_REST: usize = 2;

/// One life of a VM, as seen by one upstream.
type Sender<'a> = (&'a str, usize, u64);

/// What reached an upstream from one life of a VM.
type Sends<'a> = HashMap<Sender<'a>, Vec<(&'a Call, &'a Run)>>;

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    if !evidence.timed {
        return Vec::new();
    }
    let sends = sends(evidence);
    let found = sends.iter().flat_map(|(&(upstream, ..), sends)| {
        let leaves = after_leaving(evidence, upstream, sends);
        [leaves, within_rest(evidence, upstream, sends)]
    });
    found.flatten().collect()
}

fn sends(evidence: &Evidence) -> Sends<'_> {
    let mut sends = Sends::new();
    for call in &evidence.calls {
        let Some(life) = call.life else {
            continue;
        };
        for run in evidence.runs_of(&call.id) {
            let sender = (run.upstream.as_str(), call.vm, life);
            sends.entry(sender).or_default().push((call, run));
        }
    }
    sends
}

/// A request sent after an answer that said so was passed on. A generation that goes on from
/// a copy is none.
fn after_leaving(evidence: &Evidence, upstream: &str, sends: &[(&Call, &Run)]) -> Option<Finding> {
    let passed_on = |(call, run): &&(&Call, &Run)| {
        let of_it = call.reply().and_then(|r| r.sealed_by.as_deref());
        run.arrival.said_leaving && of_it == Some(format!("seal-{upstream}").as_str())
    };
    let told_at = sends.iter().filter(passed_on).map(|(call, _)| call.ended);
    let told_at = told_at.min()?;
    let late = sends.iter().find(|(call, run)| {
        call.sent > told_at + DRAIN
            && run.arrival.continued_from.is_none()
            && undisturbed(evidence, call.vm, told_at, run.arrival.at)
    });
    let (call, run) = late?;
    let after = run.arrival.at.duration_since(told_at);
    Some(Finding::of(
        LEAVES,
        &call.id,
        format!("{after:?} later at {upstream}"),
    ))
}

/// More requests in a rest than may come there.
fn within_rest(evidence: &Evidence, upstream: &str, sends: &[(&Call, &Run)]) -> Option<Finding> {
    let asked = sends.iter().filter_map(|(call, run)| {
        let rest = run.arrival.asked_rest?;
        Some((call.vm, run.arrival.at, rest))
    });
    for (vm, at, rest) in asked {
        let inside =
            |(_, run): &&(&Call, &Run)| run.arrival.at > at + HEARD && run.arrival.at < at + rest;
        let count = sends.iter().filter(inside).count();
        if count > MOST_IN_REST && undisturbed(evidence, vm, at, at + rest) {
            return Some(Finding {
                promise: RESTS,
                request: None,
                seen: format!("{count} requests from VM {vm} at {upstream} within {rest:?}"),
            });
        }
    }
    None
}

/// Whether neither a VM nor a link to an upstream was disturbed, so that a word came in time.
fn undisturbed(evidence: &Evidence, vm: usize, from: Instant, until: Instant) -> bool {
    let mut during = evidence.history.during(from, Duration::ZERO, until);
    let disturbs = |act| match act {
        Act::Kill(v) | Act::Pause(v) => v == vm,
        Act::Link(Place::Upstream(_), _) => true,
        _ => false,
    };
    !during.any(|d| disturbs(d.act))
}
