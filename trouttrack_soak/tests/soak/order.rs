//! What callers hold of their streams is judged event by event.

use crate::check::{RUN, SECOND, broken, call, evidence, part, reply, run};
use std::time::Instant;
use trouttrack_platform_standin::Reply;
use trouttrack_soak::bed::{EVENTS, RouteName};
use trouttrack_soak::callers::{Broken, Call};
use trouttrack_soak::check::{Evidence, Run};

const TOKENS: &str = "each token comes once, in order, from one generation";
const JOINED: &str = "a caller's stream joins only runs that go on from its last event";
const VERSIONS: &str = "a caller's stream holds events of one software version";

/// The runs that may follow [`RUN`] after its tenth event.
const RESUMED: &str = "run: u2 v1 5 10 resumed";
const COPIED: &str = "run: u2 v1 5 10 copied";

/// What is found of calls, apart from times: cut streams are not what is judged here.
fn untimed(calls: Vec<Call>, runs: Vec<Run>) -> Vec<&'static str> {
    broken(&Evidence {
        timed: false,
        ..evidence(calls, runs)
    })
}

fn judge(route: RouteName, reply: Reply) -> Vec<&'static str> {
    let now = Instant::now();
    let calls = vec![call("s", route, now, reply)];
    untimed(calls, vec![run("s", route, "u1", now)])
}

/// A whole answer with this text.
fn whole(id: &str, text: &str) -> Reply {
    reply(200, id, Some("u1"), text)
}

fn cut(id: &str, text: &str) -> Reply {
    Reply {
        whole: false,
        ..whole(id, text)
    }
}

/// Ten events of [`RUN`], and the others of a second run.
fn joined(second: &str) -> String {
    part("s", 1, 10, RUN) + &part("s", 11, EVENTS, second)
}

#[test]
fn an_event_that_is_missing_or_comes_twice_or_in_a_wrong_place_is_found() {
    let all = |first, last| part("s", first, last, RUN);
    for text in [
        all(1, 5) + &all(7, EVENTS),
        all(1, 5) + &all(5, EVENTS),
        all(2, EVENTS),
        all(1, 5) + &all(7, 7) + &all(6, 6) + &all(8, EVENTS),
        all(1, EVENTS) + &all(EVENTS, EVENTS),
    ] {
        assert_eq!(judge(RouteName::Resume, whole("s", &text)), [TOKENS]);
    }
}

#[test]
fn an_event_with_another_text_is_found() {
    let good = part("s", 1, EVENTS, RUN);
    for (old, new) in [
        ("data: s/7\n", "data: other/7\n"),
        ("data: s/7\n", "data: s/8\n"),
        ("data: s/7\n", "data: s/\n"),
        ("data: s/7\n", "data: s/7\ndata: s/7\n"),
        ("id: 7\n", ""),
    ] {
        let text = good.replacen(old, new, 1);
        assert_eq!(
            judge(RouteName::Resume, whole("s", &text)),
            [TOKENS],
            "{new}"
        );
    }
}

#[test]
fn an_end_is_claimed_only_after_the_last_event() {
    let before_last = part("s", 1, EVENTS - 1, RUN);
    let last = part("s", EVENTS, EVENTS, RUN);
    for text in [before_last.clone(), before_last.clone() + &last[..9]] {
        assert_eq!(judge(RouteName::Draft, whole("s", &text)), [TOKENS]);
        assert!(judge(RouteName::Draft, cut("s", &text)).is_empty());
    }
    let complete = before_last + &last;
    assert!(judge(RouteName::Draft, whole("s", &complete)).is_empty());
    assert!(judge(RouteName::Draft, cut("s", &complete)).is_empty());
}

/// Wherever a stream is cut off, what is there is a beginning of it.
#[test]
fn what_comes_before_a_cut_is_judged_to_its_last_byte() {
    let text = part("s", 1, 3, RUN);
    for end in 0..=text.len() {
        let held = &text[..end];
        assert!(
            judge(RouteName::Draft, cut("s", held)).is_empty(),
            "{held:?}"
        );
        let wrong = format!("{held}#");
        // The line that names a run may begin with anything until it is complete.
        let in_run = held
            .rsplit('\n')
            .next()
            .is_some_and(|l| l.starts_with("run: "));
        let found = judge(RouteName::Draft, cut("s", &wrong));
        assert_eq!(found.is_empty(), in_run, "{wrong:?}");
    }
}

#[test]
fn runs_that_may_not_be_joined_are_found() {
    for (route, second, found) in [
        (RouteName::Resume, RESUMED, None),
        (RouteName::Resume, COPIED, None),
        (RouteName::Draft, COPIED, None),
        // Only some streams may be taken up by another run.
        (RouteName::Draft, RESUMED, Some(JOINED)),
        // Events of two generations that each began anew.
        (RouteName::Resume, "run: u2 v1 5 0 anew", Some(JOINED)),
        // It wrote an event that the caller had already, and that was left out.
        (RouteName::Resume, "run: u2 v1 5 9 resumed", Some(JOINED)),
        (RouteName::Resume, "run: u2 v1 5 11 copied", Some(JOINED)),
        // The same upstream, but another run.
        (RouteName::Draft, "run: u1 v1 2 0 anew", Some(JOINED)),
        (RouteName::Resume, "run: u2 v2 5 10 resumed", Some(VERSIONS)),
        (RouteName::Draft, "run: u2 v2 5 10 copied", Some(VERSIONS)),
    ] {
        let seen = judge(route, whole("s", &joined(second)));
        assert_eq!(seen, Vec::from_iter(found), "{route:?} {second}");
    }
}

/// A caller that held ten events and returned, and what it got then.
fn returned(had: u64, text: &str) -> Vec<&'static str> {
    let now = Instant::now();
    let first = call(
        "s",
        RouteName::Resume,
        now,
        cut("s", &part("s", 1, 10, RUN)),
    );
    let again = whole("s-again1", text);
    let mut again = call("s-again1", RouteName::Resume, now + SECOND, again);
    (again.resumes, again.had) = (Some("s".to_owned()), had);
    let runs = vec![
        run("s", RouteName::Resume, "u1", now),
        run("s-again1", RouteName::Resume, "u1", now + SECOND),
    ];
    untimed(vec![again, first], runs)
}

#[test]
fn a_return_is_judged_with_the_stream_that_it_takes_up() {
    let rest = |first, run| part("s-again1", first, EVENTS, run);
    assert!(returned(10, &rest(11, RESUMED)).is_empty());
    assert_eq!(returned(10, &rest(12, RESUMED)), [TOKENS]);
    assert_eq!(returned(10, &rest(10, RESUMED)), [TOKENS]);
    assert_eq!(returned(10, &part("s", 11, EVENTS, RESUMED)), [TOKENS]);
    assert_eq!(returned(10, &rest(11, "run: u2 v1 5 0 anew")), [JOINED]);
}

/// Guards against a stream whose first events an upstream of one version wrote, and whose rest came
/// from another version with the answer to its caller's return.
#[test]
fn a_return_that_goes_on_at_another_version_is_found_by_what_the_caller_holds() {
    let text = part("s-again1", 11, EVENTS, "run: u2 v2 5 10 resumed");
    assert_eq!(returned(10, &text), [VERSIONS]);
}

fn broken_off(route: RouteName, text: &str) -> Call {
    call("s", route, Instant::now(), cut("s", text))
}

#[test]
fn callers_return_for_streams_of_which_they_hold_an_event() {
    let beginning = part("s", 1, 10, RUN);
    let begun = broken_off(RouteName::Resume, &(beginning.clone() + "id: 11\nru"));
    let broken = Broken::after(&begun).expect("a caller that may return");
    assert_eq!(broken.had(), 10);
    assert_eq!(
        Broken::after(&broken_off(RouteName::Draft, &beginning)),
        None
    );
    assert_eq!(
        Broken::after(&broken_off(RouteName::Resume, "id: 1\n")),
        None
    );
    let complete = call(
        "s",
        RouteName::Resume,
        Instant::now(),
        whole("s", &beginning),
    );
    assert_eq!(Broken::after(&complete), None);
}

#[test]
fn callers_return_until_no_answer_will_be_better() {
    let begun = broken_off(RouteName::Resume, &part("s", 1, 10, RUN));
    let broken = Broken::after(&begun).expect("a caller that may return");
    let after = |reply| {
        let call = call("s-again1", RouteName::Resume, Instant::now(), reply);
        broken.clone().after_return(&call).map(|b| b.had())
    };
    let more = part("s-again1", 11, 20, RESUMED);
    assert_eq!(after(cut("s-again1", &more)), Some(20));
    assert_eq!(after(cut("s-again1", "")), Some(10));
    assert_eq!(after(whole("s-again1", &more)), None);
    assert_eq!(after(reply(503, "s-again1", None, "")), Some(10));
    assert_eq!(after(reply(401, "s-again1", None, "")), None);
}
