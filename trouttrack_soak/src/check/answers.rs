//! Each caller gets its own whole answer, each token once and in order.

use super::{Evidence, Finding};
use crate::bed::{EVENTS, ORGANISATION};
use crate::callers::{Call, Told};
use trouttrack_platform_standin::Reply;

const OWN: &str = "each caller gets its own whole answer";
const TOKENS: &str = "each token comes once, in order, from one generation";
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
    if reply.sealed_by.is_none() {
        let success = (200..300).contains(&reply.status);
        return success.then(|| Finding::of(OWN, &call.id, "a success that no upstream made"));
    }
    if reply.id.as_deref() != Some(call.id.as_str()) {
        return Some(Finding::of(OWN, &call.id, format!("{reply:?}")));
    }
    let made_by = |u: &str| reply.sealed_by.as_deref() == Some(&format!("seal-{u}"));
    if !evidence
        .runs_of(&call.id)
        .iter()
        .any(|r| made_by(&r.upstream))
    {
        return Some(Finding::of(OWN, &call.id, "its maker never had it"));
    }
    match (call.route.kind().is_stream(), reply.status) {
        (_, 500) => (reply.whole && reply.body != b"failed")
            .then(|| Finding::of(OWN, &call.id, "a failure with another body")),
        (true, _) => stream(call, reply),
        (false, _) => plain(call, reply),
    }
}

fn plain(call: &Call, reply: &Reply) -> Option<Finding> {
    let expected = format!("GET|{}x|{}", call.route.prefix(), call.id);
    let text = reply.text();
    let right = match reply.whole {
        true => text == expected,
        false => expected.starts_with(&text),
    };
    (!right).then(|| Finding::of(OWN, &call.id, format!("whole={} {text}", reply.whole)))
}

fn stream(call: &Call, reply: &Reply) -> Option<Finding> {
    let id = &call.id;
    let events = (1..=EVENTS).map(|n| format!("id: {n}\ndata: {id}/{n}\n\n"));
    let expected: String = events.collect();
    let text = reply.text();
    let right = match reply.whole {
        true => text == expected,
        false => expected.starts_with(&text),
    };
    (!right).then(|| {
        let seen = format!(
            "whole={} {} bytes of {}",
            reply.whole,
            text.len(),
            expected.len()
        );
        Finding::of(TOKENS, id, seen)
    })
}

fn arrivals(evidence: &Evidence, call: &Call) -> Option<Finding> {
    let target = format!("{}x", call.route.prefix());
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
    let alone = || {
        let history = &evidence.history;
        history.left_alone(call.vm, call.sent, super::CONTACT, call.ended)
    };
    (nothing && alone()).then(|| Finding::of(ANSWERED, &call.id, "nothing came in time"))
}
