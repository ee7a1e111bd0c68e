//! The promises under hard load are found broken when they are, and only then.

use crate::check::{RUN, SECOND, broken, call, evidence, reply, run, served};
use std::time::Instant;
use trouttrack_soak::bed::{EVENTS, LONG_BY, RouteName};
use trouttrack_soak::callers::Told;
use trouttrack_soak::check::{ASKED, BUFFERS, CONNECTIONS, Evidence, Kept};
use trouttrack_soak::faults::Disturbance;
use trouttrack_soak::plan::{Act, LinkFault, Place, StoreFailure};
use trouttrack_soak::vm::ended_readers;
use trouttrack_soak::{Plan, Size};

const CUT: &str = "planned work cuts off no request";
const KEPT: &str = "what a VM keeps for slow readers stays under its bound";
const READS: &str = "a caller that reads is not disconnected for another's stall";
const REACHED: &str = "upstreams that are gone make nothing fail that others could serve";

fn disturb(evidence: &mut Evidence, act: Act) {
    let from = evidence.calls[0].sent;
    evidence.history.all.push(Disturbance {
        act,
        from,
        until: None,
    });
}

fn long_events(id: &str, events: u64) -> String {
    let padding = ".".repeat(LONG_BY);
    (1..=events)
        .map(|n| format!("id: {n}\n{RUN}\ndata: {id}/{n}{padding}\n\n"))
        .collect()
}

/// What a caller that reads slowly has read.
fn read_slowly(text: &str, whole: bool) -> Evidence {
    let now = Instant::now();
    let mut part = reply(200, "s", Some("u1"), text);
    part.whole = whole;
    let calls = vec![call("s", RouteName::Long, now, part)];
    evidence(calls, vec![run("s", RouteName::Long, "u1", now)])
}

#[test]
fn a_slow_reader_has_a_beginning_of_its_one_stream() {
    let tokens = "each token comes once, in order, from one generation";
    let all = long_events("s", EVENTS);
    assert!(broken(&read_slowly(&all, true)).is_empty());
    assert!(broken(&read_slowly(&all[..LONG_BY * 3 / 2], false)).is_empty());
    assert_eq!(broken(&read_slowly(&long_events("s", 3), true)), [tokens]);
    let skipped = all.replace("id: 2\n", "id: 3\n");
    assert_eq!(broken(&read_slowly(&skipped, false)), [tokens]);
    let of_another = long_events("t", 2);
    assert_eq!(broken(&read_slowly(&of_another, false)), [tokens]);
}

#[test]
fn a_slow_reader_may_be_cut_off_while_work_is_planned_and_no_other() {
    let mut slow = read_slowly(&long_events("s", 2), false);
    disturb(&mut slow, Act::SlowReaders(0));
    assert!(broken(&slow).is_empty());
    // Before its answer has begun with success, it reads like any other.
    let mut failed = read_slowly("", true);
    failed.calls[0].told = Told::Answer(reply(504, "s", None, "uncertain: too late"));
    let mut unanswered = read_slowly("", true);
    unanswered.calls[0].told = Told::NoAnswer { was_sent: true };
    let mut hung = read_slowly("", true);
    hung.calls[0].told = Told::Nothing;
    for mut cut in [read_slowly("", false), failed, unanswered, hung] {
        disturb(&mut cut, Act::SlowReaders(0));
        let found = broken(&cut);
        assert!(found.contains(&CUT), "{:?}: {found:?}", cut.calls[0].told);
    }
    for demand in [Act::SlowReaders(0), Act::Burst] {
        let now = Instant::now();
        let mut part = reply(200, "a", Some("u1"), "");
        part.whole = false;
        let calls = vec![call("a", RouteName::Draft, now, part)];
        let mut other = evidence(calls, vec![run("a", RouteName::Draft, "u1", now)]);
        disturb(&mut other, demand);
        assert_eq!(broken(&other), [CUT]);
    }
}

#[test]
fn a_reader_that_is_disconnected_is_found_and_a_slow_one_is_not() {
    let (reads, ran) = served("a", RouteName::Many, Instant::now());
    let mut evidence = evidence(vec![reads], vec![ran]);
    evidence.ended_readers = vec!["s".to_owned()];
    assert!(broken(&evidence).is_empty());
    evidence.ended_readers.push("a".to_owned());
    disturb(&mut evidence, Act::SlowReaders(0));
    assert_eq!(broken(&evidence), [READS]);
    for elsewhere in [
        Act::Vanish(0),
        Act::Store(StoreFailure::Silent),
        Act::Link(Place::Store(0), LinkFault::Silence),
        Act::Pause(1),
    ] {
        disturb(&mut evidence, elsewhere);
        assert_eq!(broken(&evidence), [READS], "{elsewhere:?}");
    }
    for of_callers in [
        Act::Pause(0),
        Act::Link(Place::Callers(0), LinkFault::Silence),
    ] {
        let mut disturbed = evidence.clone();
        disturb(&mut disturbed, of_callers);
        assert!(broken(&disturbed).is_empty(), "{of_callers:?}");
    }
}

#[test]
fn a_log_names_those_who_were_disconnected() {
    let ended = r#"{"message":"slow-reader-ended","kvs":{"bound":"vm","request":"p3"}}"#;
    let other = r#"{"message":"not-run","kvs":{"request":"c1-1"}}"#;
    let log = format!("{other}\n{ended}\n{}", &ended[..60]);
    assert_eq!(ended_readers(&log), ["p3"]);
}

#[test]
fn more_than_the_bound_is_found() {
    let mut evidence = evidence(Vec::new(), Vec::new());
    let kept = |most, longest_life| Kept {
        most,
        connections: None,
        longest_life,
    };
    let shortly = ASKED / 2;
    evidence.kept = vec![kept(None, shortly), kept(Some(BUFFERS), ASKED)];
    assert!(broken(&evidence).is_empty());
    evidence.kept.push(kept(Some(BUFFERS + 1), shortly));
    assert_eq!(broken(&evidence), [KEPT]);
    evidence.kept = vec![kept(None, shortly)];
    assert_eq!(broken(&evidence), [KEPT]);
}

#[test]
fn a_vm_that_never_says_what_it_keeps_is_found_beside_others_that_do() {
    let mut evidence = evidence(Vec::new(), Vec::new());
    let said = Kept {
        connections: Some(200),
        most: Some(0),
        longest_life: ASKED,
    };
    let silent = Kept { most: None, ..said };
    evidence.kept = vec![said, said];
    assert!(broken(&evidence).is_empty());
    evidence.kept = vec![said, silent, silent];
    assert_eq!(broken(&evidence), [KEPT, KEPT]);
}

#[test]
fn a_refusal_because_some_upstreams_are_gone_is_found() {
    let refused = |route, reason| {
        let text = format!("not run: {reason}");
        let told = reply(503, "a", None, &text);
        let calls = vec![call("a", route, Instant::now() + SECOND, told)];
        let mut evidence = evidence(calls, Vec::new());
        disturb(&mut evidence, Act::Vanish(0));
        evidence
    };
    let reason = "no upstream can be reached in time";
    let nobody = "nobody listens at the upstream's address";
    for reason in [reason, nobody] {
        for route in RouteName::LASTING {
            assert_eq!(broken(&refused(route, reason)), [REACHED], "{route:?}");
        }
    }
    assert!(broken(&refused(RouteName::Many, "too many requests wait")).is_empty());
    for other in [Act::Kill(0), Act::Crash(1), Act::Evacuate("a")] {
        let mut disturbed = refused(RouteName::Many, reason);
        disturb(&mut disturbed, other);
        assert!(broken(&disturbed).is_empty(), "{other:?}");
    }
    let mut killed_beside = refused(RouteName::Many, reason);
    disturb(&mut killed_beside, Act::Kill(1));
    assert_eq!(broken(&killed_beside), [REACHED]);
}

#[test]
fn hard_load_is_drawn_for_high_seeds_only() {
    let is_hard = |act| {
        matches!(
            act,
            Act::SlowDown(_)
                | Act::SlowForGood(_)
                | Act::Vanish(_)
                | Act::Burst
                | Act::SlowReaders(_)
        )
    };
    let holds = |seed| {
        let steps = Plan::draw(seed, Size::default()).steps;
        steps.iter().any(|s| is_hard(s.act))
    };
    assert!(!(0..1000).any(holds));
    assert!((1000..1100).all(holds));
}

/// A VM that gets most new connections closes those beyond its bound.
#[test]
fn connections_beyond_the_bound_of_a_vm_are_found() {
    let with = |connections| {
        let mut seen = evidence(Vec::new(), Vec::new());
        seen.kept = vec![Kept {
            most: Some(0),
            connections: Some(connections),
            longest_life: SECOND,
        }];
        broken(&seen)
    };
    assert!(with(CONNECTIONS).is_empty());
    let promise = "a VM accepts no more connections than its bound";
    assert_eq!(with(CONNECTIONS + 1), [promise]);
}
