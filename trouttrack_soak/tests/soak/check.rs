//! Each promise is found broken when it is, and only then.

use std::collections::HashMap;
use std::time::{Duration, Instant};
use trouttrack_platform_standin::{Arrival, Reply};
use trouttrack_soak::bed::{
    EVENTS, Evacuated, Key, LASTING_KEY, ORGANISATION, RouteName, TurnedCold,
};
use trouttrack_soak::callers::{Call, Told};
use trouttrack_soak::check::{Evidence, Run, check};
use trouttrack_soak::faults::{Disturbance, History};
use trouttrack_soak::plan::Act;
use trouttrack_soak::vm::EndedBy;

pub(crate) const SECOND: Duration = Duration::from_secs(1);

pub(crate) fn call(id: &str, route: RouteName, sent: Instant, reply: Reply) -> Call {
    Call {
        id: id.to_owned(),
        vm: 0,
        life: Some(1),
        route,
        resumes: None,
        had: 0,
        key: LASTING_KEY.to_owned(),
        sent,
        ended: sent + SECOND / 10,
        told: Told::Answer(reply),
    }
}

pub(crate) fn reply(status: u16, id: &str, maker: Option<&str>, body: &str) -> Reply {
    Reply {
        status,
        id: Some(id.to_owned()),
        sealed_by: maker.map(|u| format!("seal-{u}")),
        retry_after: None,
        closes: false,
        body: body.as_bytes().to_vec(),
        whole: true,
        framed: true,
    }
}

pub(crate) fn run(id: &str, route: RouteName, upstream: &str, at: Instant) -> Run {
    Run {
        upstream: upstream.to_owned(),
        failure_domain: "a".to_owned(),
        service: "quotes".to_owned(),
        version: "v1".to_owned(),
        arrival: Arrival {
            at,
            id: id.to_owned(),
            method: "GET".to_owned(),
            target: format!("{}x", route.prefix()),
            host: String::new(),
            body: Vec::new(),
            organisation: Some(ORGANISATION.to_owned()),
            key: None,
            instance: Some(upstream.to_owned()),
            time_left: None,
            last_event: None,
            continued_from: None,
            backup_at: None,
            ran: true,
            looks_complete: false,
            asked_rest: None,
            said_leaving: false,
            named_limit: None,
        },
    }
}

pub(crate) fn evidence(calls: Vec<Call>, all: Vec<Run>) -> Evidence {
    let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
    for run in all {
        runs.entry(run.arrival.id.clone()).or_default().push(run);
    }
    Evidence {
        calls,
        runs,
        left: HashMap::new(),
        evacuations: Vec::new(),
        cold: Vec::new(),
        versions: Vec::new(),
        passing_keys: Vec::new(),
        lives: Vec::new(),
        ended_readers: Vec::new(),
        kept: Vec::new(),
        history: History::default(),
        timed: true,
    }
}

fn body(id: &str, route: RouteName) -> String {
    format!("GET|{}x|{id}", route.prefix())
}

/// The run that writes the streams of tests, unless they say otherwise.
pub(crate) const RUN: &str = "run: u1 v1 1 0 anew";

fn stream(id: &str, events: u64) -> String {
    part(id, 1, events, RUN)
}

/// Events of a stream, by a run.
pub(crate) fn part(id: &str, first: u64, last: u64, run: &str) -> String {
    (first..=last)
        .map(|n| format!("id: {n}\n{run}\ndata: {id}/{n}\n\n"))
        .collect()
}

pub(crate) fn broken(evidence: &Evidence) -> Vec<&'static str> {
    check(evidence).iter().map(|f| f.promise).collect()
}

/// A call that was served as it should be.
pub(crate) fn served(id: &str, route: RouteName, sent: Instant) -> (Call, Run) {
    let made = reply(200, id, Some("u1"), &body(id, route));
    (call(id, route, sent, made), run(id, route, "u1", sent))
}

#[test]
fn what_is_served_well_breaks_nothing() {
    let now = Instant::now();
    let (plain, ran) = served("a", RouteName::Once, now);
    let whole = reply(200, "s", Some("u1"), &stream("s", EVENTS));
    let streamed = call("s", RouteName::Draft, now, whole);
    let runs = vec![ran, run("s", RouteName::Draft, "u1", now)];
    assert!(broken(&evidence(vec![plain, streamed], runs)).is_empty());
}

/// An answer without framing may end early only where an upstream's did; one with framing never.
#[test]
fn a_stream_cut_short_is_found_unless_its_upstream_cut_it_without_framing() {
    let now = Instant::now();
    for (framed, upstream_cut, is_found) in [
        (true, true, true),
        (true, false, true),
        (false, false, true),
        (false, true, false),
    ] {
        let mut cut = reply(200, "s", Some("u1"), &stream("s", EVENTS - 1));
        cut.framed = framed;
        let mut ran = run("s", RouteName::Draft, "u1", now);
        ran.arrival.looks_complete = upstream_cut;
        let calls = vec![call("s", RouteName::Draft, now, cut)];
        let found = broken(&evidence(calls, vec![ran]));
        assert_eq!(!found.is_empty(), is_found, "{framed} {upstream_cut}");
    }
}

/// What began without an event may begin again elsewhere; what goes on may not.
#[test]
fn a_stream_that_goes_on_at_another_version_is_found() {
    let now = Instant::now();
    for (last_event, continued_from, is_found) in [
        (None, None, false),
        (Some("4"), None, true),
        (None, Some("u1/h"), true),
    ] {
        let mut next = run("s-again", RouteName::Resume, "u2", now + SECOND);
        next.version = "v2".to_owned();
        next.arrival.last_event = last_event.map(str::to_owned);
        next.arrival.continued_from = continued_from.map(str::to_owned);
        let whole = reply(200, "s-again", Some("u2"), &stream("s-again", EVENTS));
        let mut returned = call("s-again", RouteName::Resume, now, whole);
        returned.resumes = Some("s".to_owned());
        let refused = call("s", RouteName::Resume, now, reply(502, "s", None, ""));
        let runs = vec![run("s", RouteName::Resume, "u1", now), next];
        let found = broken(&evidence(vec![refused, returned], runs));
        let of_versions = found.iter().any(|f| f.contains("version"));
        assert_eq!(of_versions, is_found, "{last_event:?} {continued_from:?}");
    }
}

#[test]
fn another_callers_answer_is_found() {
    let now = Instant::now();
    let made = reply(200, "a", Some("u1"), &body("b", RouteName::Many));
    let calls = vec![call("a", RouteName::Many, now, made)];
    let found = broken(&evidence(calls, vec![run("a", RouteName::Many, "u1", now)]));
    assert_eq!(found, ["each caller gets its own whole answer"]);
}

#[test]
fn half_a_stream_told_as_whole_is_found() {
    let now = Instant::now();
    for text in [
        stream("s", EVENTS - 1),
        stream("s", EVENTS).replace("id: 7\n", "id: 8\n"),
    ] {
        let calls = vec![call(
            "s",
            RouteName::Resume,
            now,
            reply(200, "s", Some("u1"), &text),
        )];
        let found = broken(&evidence(
            calls,
            vec![run("s", RouteName::Resume, "u1", now)],
        ));
        assert_eq!(
            found,
            ["each token comes once, in order, from one generation"]
        );
    }
}

#[test]
fn a_second_run_and_an_untrue_refusal_are_found() {
    let now = Instant::now();
    let (twice, ran) = served("a", RouteName::Once, now);
    let again = run("a", RouteName::Once, "u2", now);
    let refused = call("b", RouteName::Draft, now, reply(503, "b", None, ""));
    let after_all = run("b", RouteName::Draft, "u1", now + SECOND);
    let found = broken(&evidence(vec![twice, refused], vec![ran, again, after_all]));
    assert_eq!(found.len(), 2, "{found:?}");
}

#[test]
fn a_run_with_a_dead_key_is_found() {
    let now = Instant::now();
    let (mut early, ran_early) = served("a", RouteName::Many, now + 4 * SECOND);
    let (mut late, ran_late) = served("b", RouteName::Many, now + 6 * SECOND);
    "key-1".clone_into(&mut early.key);
    "key-1".clone_into(&mut late.key);
    let mut evidence = evidence(vec![early, late], vec![ran_early, ran_late]);
    evidence.passing_keys.push(Key {
        text: "key-1".to_owned(),
        removed: Some(now),
    });
    let found = check(&evidence);
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].request.as_deref(), Some("b"));
}

#[test]
fn a_configuration_that_goes_back_is_found() {
    let now = Instant::now();
    let (newer, ran) = served("a", RouteName::Marker(3), now);
    let (older, ran_older) = served("b", RouteName::Marker(2), now + SECOND);
    let found = broken(&evidence(vec![newer, older], vec![ran, ran_older]));
    assert_eq!(found, ["a configuration in force never reverts"]);
}

#[test]
fn a_denial_of_what_always_stands_is_found() {
    let now = Instant::now();
    let denied = call("a", RouteName::Many, now, reply(404, "a", None, ""));
    let found = broken(&evidence(vec![denied], Vec::new()));
    assert_eq!(found, ["what every configuration allows is not refused"]);
}

#[test]
fn work_for_an_upstream_that_leaves_is_found() {
    let now = Instant::now();
    let (late, ran) = served("a", RouteName::Many, now + 3 * SECOND);
    let mut evidence = evidence(vec![late], vec![ran]);
    evidence.left.insert("u1".to_owned(), now);
    assert_eq!(
        broken(&evidence),
        ["a leaving upstream gets no new work after a few seconds"]
    );
}

#[test]
fn an_answer_cut_off_by_planned_work_is_found_and_one_by_a_fault_is_not() {
    let now = Instant::now();
    let mut part = reply(200, "s", Some("u1"), &stream("s", 3));
    part.whole = false;
    let calls = vec![call("s", RouteName::Draft, now, part)];
    let mut evidence = evidence(calls, vec![run("s", RouteName::Draft, "u1", now)]);
    let disturbance = |act| Disturbance {
        act,
        from: now,
        until: None,
    };
    evidence.history.all = vec![disturbance(Act::Stop(0))];
    assert_eq!(broken(&evidence), ["planned work cuts off no request"]);
    evidence.history.all.push(disturbance(Act::Kill(1)));
    assert!(broken(&evidence).is_empty());
}

#[test]
fn retries_beyond_the_budget_are_found() {
    let now = Instant::now();
    let mut calls = Vec::new();
    let mut runs = Vec::new();
    for n in 0..40 {
        let id = format!("a{n}");
        let (call, ran) = served(&id, RouteName::Many, now);
        runs.push(run(&id, RouteName::Many, "u2", now + SECOND));
        calls.push(call);
        runs.push(ran);
    }
    let found = broken(&evidence(calls, runs));
    assert_eq!(found, ["retries stay within the fleet's budget"]);
}

#[test]
fn a_process_that_ends_by_itself_is_found() {
    let mut evidence = evidence(Vec::new(), Vec::new());
    let ended = vec![EndedBy::Stop, EndedBy::Itself];
    evidence.lives.push(("front-1".to_owned(), ended));
    let found = broken(&evidence);
    assert_eq!(
        found,
        ["processes end when they are told to, and only then"]
    );
}

#[test]
fn a_request_that_reaches_an_upstream_altered_is_found() {
    let now = Instant::now();
    let (call, mut ran) = served("a", RouteName::Many, now);
    ran.arrival.organisation = Some("another".to_owned());
    assert_eq!(
        broken(&evidence(vec![call], vec![ran])),
        ["upstreams get what the caller sent, and whose it is"]
    );
}

#[test]
fn a_run_that_nobody_asked_for_is_found() {
    let unasked = run("b", RouteName::Many, "u1", Instant::now());
    let found = broken(&evidence(Vec::new(), vec![unasked]));
    assert_eq!(found, ["only what callers asked is run"]);
}

#[test]
fn silence_is_found_unless_its_vm_was_disturbed() {
    let now = Instant::now();
    let mut silent = call("a", RouteName::Many, now, reply(200, "a", None, ""));
    silent.told = Told::Nothing;
    let mut evidence = evidence(vec![silent], Vec::new());
    let lost = "no request is lost";
    assert!(broken(&evidence).contains(&lost));
    evidence.history.all.push(Disturbance {
        act: Act::Pause(0),
        from: now,
        until: None,
    });
    assert!(!broken(&evidence).contains(&lost));
}

#[test]
fn a_configuration_that_comes_late_is_found() {
    let now = Instant::now();
    let unknown = |sent| {
        let denied = reply(404, "a", None, "");
        let calls = vec![call("a", RouteName::Marker(2), sent, denied)];
        let mut evidence = evidence(calls, Vec::new());
        evidence.versions.push((2, now));
        broken(&evidence)
    };
    assert!(unknown(now + SECOND).is_empty());
    let found = unknown(now + 4 * SECOND);
    assert_eq!(
        found,
        ["an accepted configuration is in force within seconds"]
    );
}

#[test]
fn work_for_an_evacuated_domain_is_found() {
    let at = Instant::now();
    let told = |sent| {
        call(
            "r1",
            RouteName::Many,
            sent,
            reply(200, "r1", Some("u1"), &body("r1", RouteName::Many)),
        )
    };
    let with = |from, until| {
        let mut seen = evidence(vec![told(at)], vec![run("r1", RouteName::Many, "u1", at)]);
        seen.evacuations.push(Evacuated {
            domain: "a",
            from,
            until,
        });
        check(&seen).len()
    };
    assert_eq!(with(at - 10 * SECOND, None), 1);
    // Within the bound, after it was taken back.
    assert_eq!(with(at - SECOND, None), 0);
    assert_eq!(with(at - 10 * SECOND, Some(at - SECOND)), 0);
}

#[test]
fn a_cold_upstream_that_gets_too_much_is_found() {
    let at = Instant::now();
    let with = |requests: usize| {
        let ids: Vec<String> = (0..requests).map(|n| format!("r{n}")).collect();
        let runs = ids
            .iter()
            .map(|id| run(id, RouteName::Many, "u1", at))
            .collect();
        let told = |id: &String| {
            call(
                id,
                RouteName::Many,
                at,
                reply(200, id, Some("u1"), &body(id, RouteName::Many)),
            )
        };
        let mut seen = evidence(ids.iter().map(told).collect(), runs);
        seen.cold.push(TurnedCold {
            upstream: "u1".to_owned(),
            from: at - 10 * SECOND,
            until: at + 10 * SECOND,
        });
        check(&seen).len()
    };
    assert_eq!(with(11), 0);
    assert_eq!(with(12), 1);
}

/// What an upstream said in its answer to `a`, and a later request that reaches it all the
/// same.
fn after_a_word(later: Duration, say: impl Fn(&mut Arrival)) -> Evidence {
    let now = Instant::now();
    let (first, mut said) = served("a", RouteName::Many, now);
    say(&mut said.arrival);
    let (second, ran) = served("b", RouteName::Many, now + later);
    evidence(vec![first, second], vec![said, ran])
}

#[test]
fn work_for_one_that_leaves_by_its_answers_is_found() {
    let promise = "an upstream whose answers said that it leaves gets no new work";
    let late = |seconds| after_a_word(SECOND * seconds, |a| a.said_leaving = true);
    assert_eq!(broken(&late(3)), [promise]);
    assert!(broken(&late(1)).is_empty());
    // Another life of the VM has heard nothing.
    let mut restarted = late(3);
    restarted.calls[1].life = Some(2);
    assert!(broken(&restarted).is_empty());
    let mut frozen = late(3);
    frozen.history.all.push(Disturbance {
        act: Act::Pause(0),
        from: frozen.calls[0].ended,
        until: None,
    });
    assert!(broken(&frozen).is_empty());
    // Going on with a generation is no new work.
    let mut moved = late(3);
    let run = &mut moved.runs.get_mut("b").expect("it ran")[0];
    run.arrival.continued_from = Some("copy".to_owned());
    assert!(broken(&moved).is_empty());
}

#[test]
fn requests_within_a_rest_are_found() {
    let promise = "an upstream that asked for rest is left alone";
    let mut many = after_a_word(SECOND, |a| a.asked_rest = Some(SECOND * 3));
    assert!(broken(&many).is_empty(), "one is allowed");
    let now = many.calls[0].sent;
    for (id, ms) in [("c", 1_500), ("d", 2_500)] {
        let (call, run) = served(id, RouteName::Many, now + Duration::from_millis(ms));
        many.calls.push(call);
        many.runs.insert(id.to_owned(), vec![run]);
    }
    assert_eq!(broken(&many), [promise]);
    many.timed = false;
    assert!(broken(&many).is_empty());
}

/// Calls to an upstream that names a limit, at an even rate for so many seconds.
fn under_a_limit(per_second: u32, seconds: u32) -> Evidence {
    let begin = Instant::now();
    let (mut calls, mut runs) = (Vec::new(), Vec::new());
    for n in 0..per_second * seconds {
        let (call, mut run) = served(
            &format!("c{n}"),
            RouteName::Many,
            begin + SECOND * n / per_second,
        );
        run.arrival.named_limit = Some(2.0);
        calls.push(call);
        runs.push(run);
    }
    evidence(calls, runs)
}

#[test]
fn more_than_a_limit_allows_is_found() {
    // Seventeen are borne in four seconds.
    assert!(broken(&under_a_limit(4, 10)).is_empty());
    let promise = "VMs keep together to the limit that an upstream names";
    assert_eq!(broken(&under_a_limit(5, 10)), [promise]);
    // It is judged from three seconds after it was first named on.
    assert!(broken(&under_a_limit(5, 3)).is_empty());
}
