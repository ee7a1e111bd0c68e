//! Plain calls under every fault of an upstream.

use crate::support::{Bed, KEY, ORGANISATION, PLAIN, plain};
use std::time::Duration;
use trouttrack_platform_standin::{Behaviour, CallerRequest, Upstream};

/// What a caller must get when the first upstream behaves so and the second
/// one well.
struct Row {
    first: Behaviour,
    /// Statuses of a request that may be repeated, and of one that may not.
    many: u16,
    once: u16,
    /// How often the latter may have run.
    runs_once: usize,
}

const fn row(first: Behaviour, many: u16, once: u16, runs_once: usize) -> Row {
    Row {
        first,
        many,
        once,
        runs_once,
    }
}

#[rustfmt::skip]
const TABLE: [Row; 13] = [
    row(Behaviour::Whole,            200, 200, 1),
    row(Behaviour::Unframed,         200, 200, 1),
    // The reset tells that something may be missing.
    row(Behaviour::UnframedReset,    200, 502, 1),
    row(Behaviour::BreakOff,         200, 502, 1),
    row(Behaviour::LoseAnswer,       200, 502, 1),
    row(Behaviour::Garbage,          200, 502, 1),
    row(Behaviour::OtherAnswerFirst, 200, 502, 1),
    row(Behaviour::SurplusAnswer,    200, 200, 1),
    row(Behaviour::Encoded,          200, 502, 1),
    row(Behaviour::Unsealed,         200, 502, 1),
    // The upstream's own failure is its answer.
    row(Behaviour::Fail,             200, 500, 1),
    // Refused by the only upstream that the request may be sent to.
    row(Behaviour::Refuse,           200, 503, 0),
    row(Behaviour::OtherInstance,    200, 503, 0),
];

#[actix_rt::test]
async fn every_fault_has_its_answer() {
    for row in TABLE {
        for (route, status) in [("many", row.many), ("once", row.once)] {
            let bed = Bed::new(PLAIN).await;
            bed.upstreams.iter().for_each(|u| u.next(row.first));
            // Whichever is asked first; the other one's turn comes second.
            let reply = bed.send(&plain("r1", route)).await;
            let context = format!("{:?} on {route}", row.first);
            if reply.status == 200 {
                assert_eq!(
                    reply.text(),
                    "GET|/".to_owned() + route + "/x?y=z|r1",
                    "{context}"
                );
                assert!(reply.sealed_by.is_some(), "{context}");
            }
            assert!(reply.whole, "{context}");
            assert_eq!(reply.id.as_deref(), Some("r1"), "{context}");
            if route == "once" {
                assert_eq!(reply.status, status, "{context}");
                assert_eq!(bed.ran("r1").len(), row.runs_once, "{context}");
                assert_eq!(reply.retry_after.is_some(), status == 503, "{context}");
            } else {
                assert!(bed.ran("r1").len() <= 2, "{context}");
            }
        }
    }
}

#[actix_rt::test]
async fn what_may_be_repeated_is_answered_by_the_other_upstream() {
    for row in TABLE {
        // A VM that has just started spends a fifth of the extra: enough for each request.
        let bed = Bed::with(PLAIN, "[retry]\nextra = 80\n").await;
        // The first choice between idle upstreams is not fixed, so one of them
        // always misbehaves and the other never does.
        bed.upstreams[0].always(row.first);
        for n in 0..6 {
            let reply = bed.send(&plain(&format!("r{n}"), "many")).await;
            assert_eq!(reply.status, row.many, "{:?}, request {n}", row.first);
        }
    }
}

#[actix_rt::test]
async fn a_silent_upstream_ends_in_time_and_runs_once() {
    let bed = Bed::new(PLAIN).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::Silent));
    let patience = Duration::from_millis(600);
    let reply = bed.send(&plain("r1", "once").patience(patience)).await;
    assert_eq!(reply.status, 504);
    assert_eq!(bed.ran("r1").len(), 1);
    // Its work is cancelled with it.
    crate::support::until("the work is cancelled", || bed.working().is_none()).await;
}

#[actix_rt::test]
async fn bytes_and_ids_go_through_and_the_key_does_not() {
    let bed = Bed::new(PLAIN).await;
    let req = plain("r-%41", "many").post("the body").forged();
    assert_eq!(bed.send(&req).await.status, 200);
    let arrivals = bed.upstreams.iter().flat_map(Upstream::arrivals);
    let arrivals: Vec<_> = arrivals.collect();
    let [arrival] = arrivals.as_slice() else {
        panic!("{arrivals:?}");
    };
    assert_eq!(arrival.id, "r-%41");
    assert_eq!(arrival.method, "POST");
    assert_eq!(arrival.target, "/many/x?y=z");
    assert_eq!(arrival.host, crate::support::HOST);
    assert_eq!(arrival.body, b"the body");
    assert_eq!(arrival.organisation.as_deref(), Some(ORGANISATION));
    assert_eq!(arrival.key, None);
    assert_eq!(arrival.continued_from, None);
    assert_eq!(arrival.backup_at, None);
    assert!(arrival.time_left.is_some_and(|left| left <= req.patience));
}

#[actix_rt::test]
async fn a_surplus_answer_is_no_ones() {
    let bed = Bed::new(PLAIN).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::SurplusAnswer));
    for n in 0..10 {
        let id = format!("r{n}");
        let reply = bed.send(&plain(&id, "many")).await;
        if reply.status == 200 {
            assert!(reply.text().ends_with(&id), "{}", reply.text());
        }
    }
}

#[actix_rt::test]
async fn an_address_that_is_another_upstreams_now_runs_nothing() {
    let bed = Bed::new(PLAIN).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::OtherInstance);
    }
    let reply = bed.send(&plain("r1", "once")).await;
    assert_eq!(reply.status, 503);
    let asked: Vec<_> = bed
        .upstreams
        .iter()
        .flat_map(|u| {
            let id = u.id.clone();
            u.arrivals()
                .into_iter()
                .map(move |a| (id.clone(), a.instance))
        })
        .collect();
    assert!(
        asked
            .iter()
            .all(|(id, instance)| instance.as_deref() == Some(id)),
        "{asked:?}"
    );
}

#[actix_rt::test]
async fn a_caller_that_leaves_takes_its_work_along() {
    let bed = Bed::new(PLAIN).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::Silent));
    let req: CallerRequest = plain("r1", "once").key(KEY);
    let addr = bed.addr();
    let waiting = actix_rt::spawn(async move { req.send(addr).await });
    crate::support::until("an upstream works", || bed.working().is_some()).await;
    waiting.abort();
    crate::support::until("the work is cancelled", || bed.working().is_none()).await;
    assert_eq!(bed.front.front.lifecycle.in_flight(), 0);
}

#[actix_rt::test]
async fn with_no_upstream_the_refusal_says_when_to_come_back() {
    let bed = Bed::new(PLAIN).await;
    let reply = bed.send(&plain("r1", "draft").post("x")).await;
    assert_eq!(reply.status, 503);
    assert!(
        reply.retry_after.is_some_and(|s| s > 0.0 && s < 2.0),
        "{reply:?}"
    );
}

#[actix_rt::test]
async fn an_upstream_that_says_nothing_costs_few_callers_their_answer() {
    // A caller that waits for less than the objective tells nothing.
    let patience = Duration::from_millis(2100);
    for silent in 0..2 {
        let bed = Bed::new(PLAIN).await;
        bed.upstreams[silent].always(Behaviour::Silent);
        let mut lost = 0;
        for n in 0..12 {
            let req = plain(&format!("r{n}"), "once").patience(patience);
            lost += u32::from(bed.send(&req).await.status != 200);
        }
        assert!(lost <= 3, "{lost} of 12 lost with upstream {silent} silent");
    }
}

#[actix_rt::test]
async fn a_caller_without_patience_tells_nothing_of_an_upstream() {
    let bed = Bed::new(PLAIN).await;
    let impatient = Duration::from_millis(60);
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Silent);
    }
    for n in 0..6 {
        let req = plain(&format!("r{n}"), "once").patience(impatient);
        assert_eq!(bed.send(&req).await.status, 504);
    }
    let world = &bed.front.front.scheduler;
    assert!(bed.upstreams.iter().all(|u| world.is_available(&u.id)));
}

#[actix_rt::test]
async fn a_forgotten_connection_loses_nothing_that_must_not_run_twice() {
    let bed = Bed::new(PLAIN).await;
    for upstream in &bed.upstreams {
        upstream.forget_idle(Duration::from_millis(250));
    }
    for number in 0..6 {
        let reply = bed.send(&plain(&format!("r{number}"), "once")).await;
        assert_eq!(reply.status, 200, "{}", reply.text());
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
}

#[actix_rt::test]
async fn an_upstream_that_fails_what_may_not_be_repeated_is_left_alone() {
    let bed = Bed::new(PLAIN).await;
    // Of two idle ones the last is taken.
    bed.upstreams[1].always(Behaviour::Fail);
    let mut statuses = Vec::new();
    for number in 0..12 {
        let reply = bed.send(&plain(&format!("r{number}"), "once")).await;
        statuses.push(reply.status);
    }
    assert!(statuses.contains(&200), "{statuses:?}");
    assert_eq!(
        bed.upstreams[1].ran().len(),
        12 - bed.upstreams[0].ran().len()
    );
}
