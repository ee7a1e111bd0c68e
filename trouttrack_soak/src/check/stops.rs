//! Planned work, upstreams that leave, and the ends of processes.

use super::{CONTACT, Evidence, Finding};
use crate::callers::{Call, Told};
use crate::vm::EndedBy;
use std::time::Duration;

const CUT: &str = "planned work cuts off no request";
const NO_NEW_WORK: &str = "a leaving upstream gets no new work after a few seconds";
const RUNS_ON: &str = "processes end when they are told to, and only then";

/// A leaving upstream gets no new work after this from a VM in touch: the
/// platform's two seconds.
const DRAINED: Duration = Duration::from_secs(2);

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    let of_calls = evidence.calls.iter();
    let mut findings: Vec<Finding> = of_calls
        .flat_map(|call| [cut(evidence, call), drained(evidence, call)])
        .flatten()
        .collect();
    findings.extend(lives(evidence));
    findings
}

/// While only planned work is done, what reached an upstream is answered whole.
fn cut(evidence: &Evidence, call: &Call) -> Option<Finding> {
    let lost = match &call.told {
        Told::Answer(reply) => !reply.whole || matches!(reply.status, 502 | 504),
        // One that crosses the close of its connection and is not passed on
        // may be sent again.
        Told::NoAnswer { .. } => !evidence.runs_of(&call.id).is_empty(),
        Told::Nothing => true,
    };
    let planned = || {
        let history = &evidence.history;
        history.only_planned(call.sent, CONTACT, call.ended)
    };
    (evidence.timed && lost && planned()).then(|| {
        let seen = match &call.told {
            Told::Answer(r) => format!("status {} whole {}", r.status, r.whole),
            told => format!("{told:?}"),
        };
        Finding::of(CUT, &call.id, seen)
    })
}

fn drained(evidence: &Evidence, call: &Call) -> Option<Finding> {
    if !evidence.timed {
        return None;
    }
    let late = evidence.runs_of(&call.id).iter().find(|r| {
        let left = evidence.left.get(&r.upstream);
        left.is_some_and(|at| r.arrival.at > *at + DRAINED)
    })?;
    let alone = evidence.left_alone(call, CONTACT + DRAINED);
    alone.then(|| Finding::of(NO_NEW_WORK, &call.id, format!("sent to {}", late.upstream)))
}

fn lives(evidence: &Evidence) -> Vec<Finding> {
    let of_vm = |(name, ended): &(String, Vec<EndedBy>)| {
        let wrong = ended.iter().find(|e| match e {
            EndedBy::Itself => true,
            EndedBy::Overdue => evidence.timed,
            EndedBy::Stop | EndedBy::Kill => false,
        })?;
        Some(Finding {
            promise: RUNS_ON,
            request: None,
            seen: format!("{name}: ended by {wrong:?}"),
        })
    };
    evidence.lives.iter().filter_map(of_vm).collect()
}
