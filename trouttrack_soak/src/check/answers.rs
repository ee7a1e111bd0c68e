//! Each caller gets its own whole answer.

use super::{CONTACT, Evidence, Finding};
use crate::bed::ORGANISATION;
use crate::callers::{Call, Told, is_success};
use trouttrack_platform_standin::Reply;

const OWN: &str = "each caller gets its own whole answer";
const UNALTERED: &str = "upstreams get what the caller sent, and whose it is";
const ANSWERED: &str = "no request is lost";

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    let of_calls = evidence.calls.iter().flat_map(|call| {
        let of_reply = call.reply().and_then(|reply| answer(evidence, call, reply));
        let found = [of_reply, arrivals(evidence, call), hung(evidence, call)];
        found.into_iter().flatten()
    });
    of_calls.collect()
}

fn answer(evidence: &Evidence, call: &Call, reply: &Reply) -> Option<Finding> {
    let Some(proof) = &reply.sealed_by else {
        let found = || Finding::of(OWN, &call.id, "a success that no upstream made");
        return is_success(reply).then(found);
    };
    if reply.id.as_deref() != Some(call.id.as_str()) {
        return Some(Finding::of(OWN, &call.id, format!("{reply:?}")));
    }
    let mut runs = evidence.runs_of(&call.id).iter();
    if !runs.any(|r| *proof == format!("seal-{}", r.upstream)) {
        return Some(Finding::of(OWN, &call.id, "its maker never had it"));
    }
    match (call.route.kind().is_stream(), reply.status) {
        (_, 500) => (reply.whole && reply.body != b"failed")
            .then(|| Finding::of(OWN, &call.id, "a failure with another body")),
        // `order` reads the events of streams.
        (true, _) => None,
        (false, _) => plain(evidence, call, reply),
    }
}

fn plain(evidence: &Evidence, call: &Call, reply: &Reply) -> Option<Finding> {
    let expected = format!("GET|{}|{}", call.route.target(), call.id);
    let text = reply.text();
    let found = || Finding::of(OWN, &call.id, format!("whole={} {text}", reply.whole));
    (!is_right(evidence, reply, &text, &expected)).then(found)
}

/// A whole answer is the expected one; one that was cut off is a beginning of it.
fn is_right(evidence: &Evidence, reply: &Reply, text: &str, expected: &str) -> bool {
    match may_be_cut(evidence, reply) {
        false => text == expected,
        true => expected.starts_with(text),
    }
}

/// Whether an answer may end early. One that only looks whole may if it has no framing and an
/// upstream's answer looked so, too.
pub(super) fn may_be_cut(evidence: &Evidence, reply: &Reply) -> bool {
    let id = reply.id.as_deref().unwrap_or_default();
    let mut runs = evidence.runs_of(id).iter();
    !reply.whole || !reply.framed && runs.any(|run| run.arrival.looks_complete)
}

fn arrivals(evidence: &Evidence, call: &Call) -> Option<Finding> {
    let target = call.route.target();
    let altered = evidence.runs_of(&call.id).iter().find(|r| {
        r.arrival.organisation.as_deref() != Some(ORGANISATION)
            || r.arrival.key.is_some()
            || r.arrival.target != target
            || r.arrival.instance.as_deref() != Some(r.upstream.as_str())
    });
    altered.map(|r| Finding::of(UNALTERED, &call.id, format!("{:?}", r.arrival)))
}

/// Everything ends: with an answer, or with the end of the connection.
fn hung(evidence: &Evidence, call: &Call) -> Option<Finding> {
    let nothing = matches!(call.told, Told::Nothing) && evidence.timed;
    let missed = nothing && evidence.left_alone(call, CONTACT);
    missed.then(|| Finding::of(ANSWERED, &call.id, "nothing came in time"))
}
