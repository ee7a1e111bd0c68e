//! Requests that end engines, and those that only share something with them.

use crate::check::{SECOND, broken, call, evidence, reply, run};
use std::time::Instant;
use trouttrack_soak::bed::RouteName;
use trouttrack_soak::check::Evidence;
use trouttrack_soak::faults::Disturbance;
use trouttrack_soak::plan::Act;

/// Requests that end engines, sent so many times a second apart.
fn sends(prefix: &str, times: u32, act: Act) -> Evidence {
    let now = Instant::now();
    let sends = (0..times).map(|n| {
        let (id, at) = (format!("{prefix}{n}"), now + n * SECOND);
        let lost = reply(502, &id, None, "");
        let asked = call(&id, RouteName::Draft, at, lost);
        let ran = run(&id, RouteName::Draft, &format!("u{n}"), at);
        (asked, ran)
    });
    let (calls, runs) = sends.unzip();
    let mut evidence = evidence(calls, runs);
    evidence.history.all.push(Disturbance {
        act,
        from: now,
        until: None,
    });
    evidence
}

/// A request that ends engines, sent so many times a second apart.
fn fatal_sends(times: u32) -> Evidence {
    sends("fatal-", times, Act::EndEngines)
}

/// Requests with a part that ends engines, no two alike.
fn part_sends(times: u32) -> Evidence {
    sends("part-", times, Act::EndEnginesByPart)
}

#[test]
fn a_request_that_ends_engines_is_to_be_stopped() {
    // The third is sent at 2 s; from 5 s on three more are allowed.
    assert_eq!(broken(&fatal_sends(9)), Vec::<&str>::new());
    assert_eq!(broken(&fatal_sends(10)).len(), 1);
}

#[test]
fn sends_of_vms_that_were_not_left_alone_are_not_counted() {
    let mut evidence = fatal_sends(10);
    let from = evidence.calls[0].sent;
    evidence.history.all.push(Disturbance {
        act: Act::Kill(0),
        from,
        until: None,
    });
    assert!(broken(&evidence).is_empty());
}

#[test]
fn a_part_that_ends_engines_is_to_be_stopped() {
    // The fifth is sent at 4 s; from 7 s on three more are allowed.
    assert_eq!(broken(&part_sends(11)), Vec::<&str>::new());
    assert_eq!(broken(&part_sends(12)).len(), 1);
}

/// So many sound streams after the fifth engine has ended, of which some are refused.
fn sound_beside_part(sound: usize, refused: usize) -> Vec<&'static str> {
    let mut evidence = part_sends(6);
    let from = evidence.calls[5].sent;
    for n in 0..sound {
        let id = format!("c{n}");
        let reason = match n < refused {
            true => "upstreams ended under a part of its prompt",
            false => "no upstream had room in time",
        };
        let told = reply(503, &id, None, reason);
        let sound = call(&id, RouteName::Draft, from + SECOND / 10, told);
        evidence.calls.push(sound);
    }
    broken(&evidence)
}

#[test]
fn refusals_of_sound_requests_for_a_part_are_found() {
    assert_eq!(sound_beside_part(40, 20), Vec::<&str>::new());
    assert_eq!(sound_beside_part(40, 21).len(), 1);
    // Too few say nothing.
    assert_eq!(sound_beside_part(19, 19), Vec::<&str>::new());
}
