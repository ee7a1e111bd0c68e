//! Planned work, upstreams that leave, and the ends of processes.

use super::{CONTACT, EVACUATE, Evidence, Finding, Run};
use crate::bed::{COLD_RATE, Evacuated, RouteName, TurnedCold};
use crate::callers::{Call, Told, is_success};
use crate::vm::EndedBy;
use std::time::{Duration, Instant};
use trouttrack_platform_standin::Reply;

const CUT: &str = "planned work cuts off no request";
const NO_NEW_WORK: &str = "a leaving upstream gets no new work after a few seconds";
const RUNS_ON: &str = "processes end when they are told to, and only then";

const EMPTIED: &str = "an evacuated failure domain gets no new work within its bound";

const BEARABLE: &str = "a cold upstream is given no more than it bears";

/// What a cold upstream bears in any one second: its rate times this, and some more.
const COLD_OVER: f64 = 1.5;
const COLD_MORE: f64 = 5.0;
/// What is placed just in time still has to be connected and to arrive.
const TO_ARRIVE: Duration = Duration::from_millis(500);
/// A leaving upstream gets no new work after this from a VM in touch: the
/// platform's two seconds.
const DRAINED: Duration = Duration::from_secs(2);

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    let of_calls = evidence.calls.iter();
    let mut findings: Vec<Finding> = of_calls
        .flat_map(|call| {
            let evacuated = evacuated(evidence, call);
            [cut(evidence, call), drained(evidence, call), evacuated]
        })
        .flatten()
        .collect();
    findings.extend(lives(evidence));
    findings.extend(evidence.cold.iter().filter_map(|c| overrun(evidence, c)));
    findings
}

/// A cold upstream is given no more in a second than it bears, by all VMs together, from
/// when they may have heard that it is cold.
fn overrun(evidence: &Evidence, cold: &TurnedCold) -> Option<Finding> {
    let heard = cold.from + CONTACT;
    let all = evidence.runs.values().flatten();
    let mut arrived: Vec<Instant> = all
        .filter(|r| r.upstream == cold.upstream)
        .map(|r| r.arrival.at)
        .filter(|at| *at > heard && *at < cold.until)
        .collect();
    arrived.sort_unstable();
    let most = (COLD_RATE * COLD_OVER + COLD_MORE) as usize;
    let too_many = arrived
        .windows(most + 1)
        .any(|w| w[most] < w[0] + Duration::from_secs(1));
    (evidence.timed && too_many).then(|| Finding {
        promise: BEARABLE,
        request: None,
        seen: format!("{} got more than {most} in a second", cold.upstream),
    })
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
    (evidence.timed && lost && !stopped_reading(call) && planned()).then(|| {
        let seen = match &call.told {
            Told::Answer(r) => format!("status {} whole {}", r.status, r.whole),
            told => format!("{told:?}"),
        };
        Finding::of(CUT, &call.id, seen)
    })
}

/// Whether a caller has read a part of a successful answer and then stopped, as those of long
/// streams do after the first piece. It may be disconnected, and its stream cannot end in its time.
fn stopped_reading(call: &Call) -> bool {
    let began = |r: &Reply| is_success(r) && !r.body.is_empty();
    call.route == RouteName::Long && call.reply().is_some_and(began)
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
    let bound =
        alone || evidence.left_alone(call, CONTACT) && known_to_others(evidence, call, late);
    bound.then(|| Finding::of(NO_NEW_WORK, &call.id, format!("sent to {}", late.upstream)))
}

/// Whether some other VM was in touch with the store from before an upstream left until a request
/// reached it. A VM that is in touch again knows by its peers what it has missed.
fn known_to_others(evidence: &Evidence, call: &Call, late: &Run) -> bool {
    let Some(left) = evidence.left.get(&late.upstream) else {
        return false;
    };
    let served = |vm: usize| {
        let history = &evidence.history;
        history.left_alone(vm, *left, CONTACT, late.arrival.at)
    };
    (0..evidence.lives.len()).any(|vm| vm != call.vm && served(vm))
}

/// A VM in touch sends nothing to a failure domain that is evacuated.
fn evacuated(evidence: &Evidence, call: &Call) -> Option<Finding> {
    if !evidence.timed {
        return None;
    }
    let late = evidence.runs_of(&call.id).iter().find(|r| {
        let at = r.arrival.at;
        let bound = |e: &&Evacuated| {
            let lasts = e.until.is_none_or(|until| at < until);
            e.domain == r.failure_domain && at > e.from + EVACUATE + TO_ARRIVE && lasts
        };
        evidence.evacuations.iter().any(|e| bound(&e))
    })?;
    let alone = evidence.left_alone(call, CONTACT + EVACUATE);
    alone.then(|| {
        let seen = format!("sent to {} in {}", late.upstream, late.failure_domain);
        Finding::of(EMPTIED, &call.id, seen)
    })
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
