//! Streams go on only at the software version that began them, also when callers return.

use super::{Evidence, Finding, Run};
use std::collections::BTreeMap;

const VERSIONS: &str = "a stream holds events of one software version";

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    let mut streams: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for call in evidence.calls.iter().filter(|c| c.route.kind().is_stream()) {
        let first = call.resumes.as_deref().unwrap_or(&call.id);
        let runs = evidence.runs_of(&call.id).iter().filter(|r| r.arrival.ran);
        streams.entry(first).or_default().extend(runs);
    }
    let found = streams.into_iter().filter_map(|(first, mut runs)| {
        runs.sort_by_key(|run| run.arrival.at);
        mixed(first, &runs)
    });
    found.collect()
}

/// A run that goes on with what another version began. Until a stream has an event, it may begin
/// anew anywhere.
fn mixed(first: &str, runs: &[&Run]) -> Option<Finding> {
    let mut begun: Option<&Run> = None;
    for run in runs {
        let arrival = &run.arrival;
        let goes_on = arrival.last_event.is_some() || arrival.continued_from.is_some();
        match begun {
            Some(began) if goes_on && began.version != run.version => {
                let seen = format!(
                    "begun at {} ({}), went on at {} ({}) after {:?}",
                    began.upstream, began.version, run.upstream, run.version, arrival.last_event
                );
                return Some(Finding::of(VERSIONS, first, seen));
            }
            Some(_) if goes_on => {}
            _ => begun = Some(run),
        }
    }
    None
}
