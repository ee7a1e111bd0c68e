//! VMs that have passed on an answer that names a limit keep to it together.

use super::{CONTACT, Evidence, Finding, Run};
use crate::callers::Call;
use crate::plan::{Act, Place};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const LIMIT: &str = "VMs keep together to the limit that an upstream names";
/// The time over which a limit is judged.
const WINDOW: Duration = Duration::from_secs(4);
/// How soon a VM goes by a limit that it has passed on.
const HEARD: Duration = Duration::from_millis(500);
/// What may reach an upstream in that time: the limit times this, and some more.
const MOST_OVER: f64 = 1.5;
const MOST_MORE: f64 = 5.0;

/// One life of a VM.
type Life = (usize, u64);

/// What reached one upstream, and from where, in the order in which it came.
type Sends<'a> = Vec<(&'a Call, &'a Run)>;

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    if !evidence.timed {
        return Vec::new();
    }
    let mut by_upstream: HashMap<&str, Sends<'_>> = HashMap::new();
    for call in &evidence.calls {
        for run in evidence.runs_of(&call.id) {
            let sends = by_upstream.entry(run.upstream.as_str()).or_default();
            sends.push((call, run));
        }
    }
    let mut findings = Vec::new();
    for (upstream, mut sends) in by_upstream {
        sends.sort_by_key(|(_, run)| run.arrival.at);
        let spans = sends.chunk_by(|a, b| a.1.arrival.named_limit == b.1.arrival.named_limit);
        findings.extend(spans.filter_map(|span| exceeded(evidence, upstream, span)));
    }
    findings
}

/// Finds a window in which too many came, of those that came while one limit was named.
fn exceeded(evidence: &Evidence, upstream: &str, span: &[(&Call, &Run)]) -> Option<Finding> {
    let (_, first) = span.first()?;
    let limit = first.arrival.named_limit?;
    let told = told(upstream, span);
    let from_told = |(call, run): &&(&Call, &Run)| {
        let told_at = call.life.and_then(|life| told.get(&(call.vm, life)));
        let knows = told_at.is_some_and(|at| run.arrival.at >= *at + HEARD);
        knows && undisturbed(evidence, call.vm, run.arrival.at)
    };
    let counted: Vec<Instant> = span
        .iter()
        .filter(from_told)
        .map(|(_, run)| run.arrival.at)
        .filter(|at| *at >= first.arrival.at + CONTACT)
        .collect();
    let most = (limit * MOST_OVER * WINDOW.as_secs_f64() + MOST_MORE) as usize;
    let within = |from: &Instant| {
        let inside = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
        counted.iter().filter(inside).count()
    };
    let seen = counted.iter().map(within).max()?;
    (seen > most).then(|| Finding {
        promise: LIMIT,
        request: None,
        seen: format!("{seen} requests at {upstream} within {WINDOW:?}, {most} are borne"),
    })
}

/// When each life of a VM had passed on an answer of this upstream.
fn told(upstream: &str, span: &[(&Call, &Run)]) -> HashMap<Life, Instant> {
    let seal = format!("seal-{upstream}");
    let mut told = HashMap::new();
    for (call, _) in span {
        let of_it = call.reply().and_then(|r| r.sealed_by.as_deref()) == Some(seal.as_str());
        if let Some(life) = call.life.filter(|_| of_it) {
            let at = told.entry((call.vm, life)).or_insert(call.ended);
            *at = call.ended.min(*at);
        }
    }
    told
}

/// Whether a VM was left alone, and the links of upstreams, for a while before a moment.
fn undisturbed(evidence: &Evidence, vm: usize, at: Instant) -> bool {
    let mut during = evidence.history.during(at - CONTACT, Duration::ZERO, at);
    !during.any(|d| match d.act {
        Act::Kill(v) | Act::Pause(v) | Act::Stop(v) => v == vm,
        Act::KillAll => true,
        Act::Link(Place::Upstream(_), _) => true,
        _ => false,
    })
}
