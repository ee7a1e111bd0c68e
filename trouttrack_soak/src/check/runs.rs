//! What runs at most once, what was not run, and how often requests are sent.

use super::{Evidence, Finding, RETRY_EXTRA, RETRY_RATIO, RETRY_WINDOW};
use crate::callers::Call;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

const ONCE: &str = "a request that may not be repeated runs at most once";
const NOT_RUN: &str = "told \"not run\", it was not run and never will be";
const BUDGET: &str = "retries stay within the fleet's budget";
const ASKED: &str = "only what callers asked is run";

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    let not_repeatable = evidence
        .calls
        .iter()
        .filter(|call| !call.route.kind().repeatable());
    let mut findings: Vec<Finding> = not_repeatable
        .flat_map(|call| [twice(evidence, call), run_after_all(evidence, call)])
        .flatten()
        .collect();
    findings.extend(unasked(evidence));
    findings.extend(budget(evidence));
    findings
}

fn twice(evidence: &Evidence, call: &Call) -> Option<Finding> {
    let times = evidence.times_run(&call.id);
    (times > 1).then(|| {
        let runs = evidence.runs_of(&call.id).iter();
        let at: Vec<&str> = runs.map(|r| r.upstream.as_str()).collect();
        Finding::of(ONCE, &call.id, format!("{times} times at {at:?}"))
    })
}

/// A request that ran, though its caller was told that it has not.
fn run_after_all(evidence: &Evidence, call: &Call) -> Option<Finding> {
    let times = evidence.times_run(&call.id);
    let untrue = call.told_not_run() && times > 0;
    untrue.then(|| Finding::of(NOT_RUN, &call.id, format!("it ran {times} times")))
}

fn unasked(evidence: &Evidence) -> Option<Finding> {
    let asked: HashSet<&str> = evidence.calls.iter().map(|c| c.id.as_str()).collect();
    let other = evidence.runs.keys().find(|id| !asked.contains(id.as_str()));
    other.map(|id| Finding::of(ASKED, id, "nobody asked it"))
}

/// When requests were sent to one service.
#[derive(Default)]
struct Sends {
    /// Those of requests that were not sent before.
    first: Vec<Instant>,
    /// Those of requests that were.
    again: Vec<Instant>,
}

fn budget(evidence: &Evidence) -> Vec<Finding> {
    let sends = sends_by_service(evidence).into_iter();
    let found = sends.filter_map(|(service, sends)| over(service, sends));
    found.collect()
}

fn sends_by_service(evidence: &Evidence) -> HashMap<&str, Sends> {
    let mut by_service: HashMap<&str, Sends> = HashMap::new();
    for runs in evidence.runs.values() {
        let mut sends: Vec<_> = runs
            .iter()
            .filter(|r| r.arrival.continued_from.is_none())
            .map(|r| (r.arrival.at, r.service.as_str()))
            .collect();
        sends.sort_unstable();
        for (number, (at, service)) in sends.into_iter().enumerate() {
            let of_service = by_service.entry(service).or_default();
            match number {
                0 => of_service.first.push(at),
                _ => of_service.again.push(at),
            }
        }
    }
    by_service
}

/// The first window with more than is allowed.
fn over(service: &str, mut sends: Sends) -> Option<Finding> {
    sends.first.sort_unstable();
    sends.again.sort_unstable();
    for end in &sends.again {
        let again = within(&sends.again, *end, RETRY_WINDOW);
        // Requests count in the window, or in one that begins sooner.
        let first = within(&sends.first, *end, 2 * RETRY_WINDOW);
        let allowed = RETRY_RATIO * first as f64 + RETRY_EXTRA;
        if again as f64 > allowed {
            return Some(Finding {
                promise: BUDGET,
                request: None,
                seen: format!("{service}: {again} repeats, {allowed:.0} are allowed"),
            });
        }
    }
    None
}

fn within(times: &[Instant], end: Instant, window: Duration) -> usize {
    let inside = |at: &&Instant| **at <= end && **at + window >= end;
    times.iter().filter(inside).count()
}
