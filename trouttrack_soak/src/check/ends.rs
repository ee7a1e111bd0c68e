//! A request, or a part of prompts, that ends what runs it is stopped, and nothing else is.

use super::{CONTACT, Evidence, Finding};
use crate::callers::{Call, FATAL_ID, FATAL_PART_ID};
use std::time::{Duration, Instant};

/// Requests that end engines, and what they are held to.
struct Ending {
    promise: &'static str,
    /// Begins their ids.
    id: &'static str,
    /// Engines that have ended before sends are counted, and those that are allowed then.
    counted_from: usize,
    most_late: usize,
    /// Sends that are allowed in all, whenever all VMs came to know: twice as many as hold the
    /// requests, at each of three VMs.
    most_in_all: usize,
}

/// One that nothing holds was sent 16 to 26 times.
const REQUEST: Ending = Ending {
    promise: "a request that ends engines is sent to few more once three have ended",
    id: FATAL_ID,
    counted_from: 3,
    most_late: 3,
    most_in_all: 12,
};
const PART: Ending = Ending {
    promise: "requests with a part that ends engines are sent to few more once five have ended",
    id: FATAL_PART_ID,
    counted_from: 5,
    most_late: 3,
    most_in_all: 24,
};

const SOUND: &str = "requests that share all but the part that ends engines are served";
/// Sound requests from which on they are judged, and the share of them that may be refused for
/// the part.
const SOUND_JUDGED_FROM: usize = 20;
const MOST_REFUSED: f64 = 0.5;
/// Stands in the answer to a request that is refused for a part.
const REFUSED_FOR_PART: &str = "under a part of its prompt";

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    let endings = [REQUEST, PART];
    let stopped = endings.iter().filter_map(|ending| ending.check(evidence));
    stopped.chain(check_sound(evidence)).collect()
}

impl Ending {
    fn check(&self, evidence: &Evidence) -> Option<Finding> {
        let sends = self.sends(evidence);
        let (last_free, _) = *sends.get(self.counted_from - 1)?;
        let counts = |(at, id): &&(Instant, &str)| {
            *at > last_free + CONTACT && by_a_vm_left_alone(evidence, id, CONTACT)
        };
        let late = match evidence.timed {
            true => sends.iter().filter(counts).count(),
            false => 0,
        };
        let all = sends.len();
        (late > self.most_late || all > self.most_in_all).then(|| Finding {
            promise: self.promise,
            request: None,
            seen: format!("{all} sends, {late} of them late"),
        })
    }

    /// When which of the requests reached an engine, in order.
    fn sends<'a>(&self, evidence: &'a Evidence) -> Vec<(Instant, &'a str)> {
        let runs = evidence.runs.iter();
        let mut sends: Vec<(Instant, &str)> = runs
            .filter(|(id, _)| id.starts_with(self.id))
            .flat_map(|(id, runs)| runs.iter().map(move |r| (r.arrival.at, id.as_str())))
            .collect();
        sends.sort_unstable();
        sends
    }
}

/// Sound streams, from when the part may be known on.
fn check_sound(evidence: &Evidence) -> Option<Finding> {
    let sends = PART.sends(evidence);
    let (from, _) = *sends.get(PART.counted_from - 1)?;
    let is_sound = |call: &&Call| {
        let is_fatal = [FATAL_ID, FATAL_PART_ID]
            .iter()
            .any(|id| call.id.starts_with(id));
        call.sent > from && call.route.kind().is_stream() && !is_fatal
    };
    let sound: Vec<&Call> = evidence.calls.iter().filter(is_sound).collect();
    let refused = sound
        .iter()
        .filter(|call| is_refused_for_part(call))
        .count();
    let most = MOST_REFUSED * sound.len() as f64;
    (sound.len() >= SOUND_JUDGED_FROM && refused as f64 > most).then(|| Finding {
        promise: SOUND,
        request: None,
        seen: format!("{refused} of {} refused for a part", sound.len()),
    })
}

fn is_refused_for_part(call: &Call) -> bool {
    let reply = call.reply().filter(|_| call.told_not_run());
    reply.is_some_and(|r| String::from_utf8_lossy(&r.body).contains(REFUSED_FOR_PART))
}

fn by_a_vm_left_alone(evidence: &Evidence, id: &str, before: Duration) -> bool {
    let call = evidence.calls.iter().find(|c| c.id == id);
    call.is_some_and(|call| evidence.left_alone(call, before))
}
