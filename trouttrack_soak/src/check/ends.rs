//! A request that ends what runs it is stopped.

use super::{CONTACT, Evidence, Finding};
use crate::callers::FATAL_ID;
use std::time::{Duration, Instant};

const STOPPED: &str = "a request that ends engines is sent to few more once three have ended";
/// Engines that have ended before sends are counted, and those that are allowed then.
const COUNTED_FROM: usize = 3;
const MOST_LATE: usize = 3;
/// Sends that are allowed in all, whenever all VMs came to know: twice as many as hold the
/// request, at each of three VMs. One that nothing holds was sent 16 to 26 times.
const MOST_IN_ALL: usize = 12;

pub(super) fn check(evidence: &Evidence) -> Option<Finding> {
    let mut sends: Vec<(Instant, &str)> = evidence
        .runs
        .iter()
        .filter(|(id, _)| id.starts_with(FATAL_ID))
        .flat_map(|(id, runs)| runs.iter().map(move |r| (r.arrival.at, id.as_str())))
        .collect();
    sends.sort_unstable();
    let (third_at, _) = *sends.get(COUNTED_FROM - 1)?;
    let counts = |(at, id): &&(Instant, &str)| {
        *at > third_at + CONTACT && by_a_vm_left_alone(evidence, id, CONTACT)
    };
    let late = match evidence.timed {
        true => sends.iter().filter(counts).count(),
        false => 0,
    };
    let all = sends.len();
    (late > MOST_LATE || all > MOST_IN_ALL).then(|| Finding {
        promise: STOPPED,
        request: None,
        seen: format!("{all} sends, {late} of them late"),
    })
}

fn by_a_vm_left_alone(evidence: &Evidence, id: &str, before: Duration) -> bool {
    let call = evidence.calls.iter().find(|c| c.id == id);
    call.is_some_and(|call| evidence.left_alone(call, before))
}
