//! A request that ends what runs it is stopped.

use super::{CONTACT, Evidence, Finding};
use crate::callers::FATAL_ID;
use std::time::{Duration, Instant};

const STOPPED: &str = "a request that ends engines is sent to few more once three have ended";
/// Engines that have ended before sends are counted, and those that are allowed then.
const COUNTED_FROM: usize = 3;
const MOST_LATE: usize = 3;
/// How much longer a busy machine may take until all VMs know.
const WHERE_BUSY: u32 = 2;

pub(super) fn check(evidence: &Evidence) -> Option<Finding> {
    let mut sends: Vec<(Instant, &str)> = evidence
        .runs
        .iter()
        .filter(|(id, _)| id.starts_with(FATAL_ID))
        .flat_map(|(id, runs)| runs.iter().map(move |r| (r.arrival.at, id.as_str())))
        .collect();
    sends.sort_unstable();
    let (third_at, _) = *sends.get(COUNTED_FROM - 1)?;
    let all_know = match evidence.timed {
        true => CONTACT,
        false => CONTACT * WHERE_BUSY,
    };
    let counts = |(at, id): &&(Instant, &str)| {
        *at > third_at + all_know && by_a_vm_left_alone(evidence, id, all_know)
    };
    let late = sends.iter().filter(counts).count();
    (late > MOST_LATE).then(|| Finding {
        promise: STOPPED,
        request: None,
        seen: format!("{late} of {} sends are late", sends.len()),
    })
}

fn by_a_vm_left_alone(evidence: &Evidence, id: &str, before: Duration) -> bool {
    let call = evidence.calls.iter().find(|c| c.id == id);
    call.is_some_and(|call| evidence.left_alone(call, before))
}
