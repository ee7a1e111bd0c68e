//! What an upstream says of itself in its answers.
//!
//! Seen: an upstream whose answers said that it leaves got requests for as long as the store
//! was away, from each VM that had passed such an answer on. Another one turned requests
//! away for nine seconds and asked for three seconds of rest each time; one VM sent it 68
//! requests in four seconds, and 59 callers were told "not run" while three other upstreams
//! served.
//! How: requests are placed by what the store says of upstreams and by how attempts ended.
//! An upstream that refuses at once has nothing running and a clean record, so it looked like
//! the best one.
//! Cause: a fact about an upstream was read only where one carrier brought it; in the head
//! of an answer nobody looked for it, and a refusal counted as a good end.
//! Proof: these tests, and lines that show the words of an answer with no decision after.

use crate::support::{Bed, ENGINES, PLAIN, config, events, long, plain, until};
use std::time::Duration;
use trouttrack_platform_standin::{Behaviour, CallerRequest, StoreFault, Upstream};

/// The time in which a VM is to stop sending to an upstream that has said it leaves.
const DRAIN: Duration = Duration::from_secs(2);
/// What an upstream that turns requests away asks for.
const PAUSE: Duration = Duration::from_secs(3);
/// After that part of a pause a VM must have heard of it.
const HEARD: Duration = Duration::from_millis(500);
/// Requests that may reach an upstream in the rest of a pause.
const MOST_IN_PAUSE: usize = 2;
/// Requests of which each of two upstreams would get some.
const MANY: usize = 12;
const FIRST: u64 = 1_789_000_000_000;
const SECOND: u64 = FIRST + 4_000;

fn open(id: &str) -> CallerRequest {
    CallerRequest::get(id, crate::support::HOST, "/open/x")
}

/// Sends requests until one has reached an upstream.
async fn reach(bed: &Bed, upstream: &Upstream, route: &str) {
    for n in 0..100 {
        bed.send(&plain(&format!("{}-{route}-{n}", upstream.id), route))
            .await;
        if !upstream.arrivals().is_empty() {
            return;
        }
    }
    panic!("none of 100 reached {}", upstream.id);
}

/// How many of a number of requests, none of which may be refused, reach an upstream.
async fn served_there(bed: &Bed, upstream: &Upstream, ids: &str) -> usize {
    let before = upstream.arrivals().len();
    for n in 0..MANY {
        let reply = bed.send(&open(&format!("{ids}-{n}"))).await;
        assert_eq!(reply.status, 200, "{ids}-{n}: {}", reply.text());
    }
    upstream.arrivals().len() - before
}

/// Lets an upstream say in its answers that it leaves, and has such an answer passed on.
async fn said_leaving(bed: &Bed) {
    bed.upstreams[0].say_leaving_in_answers();
    reach(bed, &bed.upstreams[0], "many").await;
}

#[actix_rt::test]
async fn one_that_leaves_by_its_answers_gets_nothing_while_the_store_is_away() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::Refuse);
    said_leaving(&bed).await;
    tokio::time::sleep(DRAIN).await;
    assert_eq!(served_there(&bed, &bed.upstreams[0], "away").await, 0);
}

#[actix_rt::test]
async fn each_kind_of_answer_says_it() {
    for behaviour in [
        Behaviour::Whole,
        Behaviour::Fail,
        Behaviour::Refuse,
        Behaviour::Unframed,
        Behaviour::BreakOff,
        Behaviour::Encoded,
    ] {
        let bed = Bed::with(PLAIN, "[retry]\nextra = 200\n").await;
        bed.upstreams[0].always(behaviour);
        said_leaving(&bed).await;
        let there = served_there(&bed, &bed.upstreams[0], "after").await;
        assert_eq!(there, 0, "{behaviour:?}");
    }
}

#[actix_rt::test]
async fn no_later_word_of_others_puts_it_back() {
    let bed = Bed::new(PLAIN).await;
    for upstream in &bed.upstreams {
        bed.store.put_life(upstream, FIRST, false);
    }
    let front = &bed.front.front;
    let born = |id: &str| front.upstreams.get(id).map_or(0, |u| u.born);
    until("lives are known", || {
        born("u1") == FIRST && born("u2") == FIRST
    })
    .await;
    said_leaving(&bed).await;
    // A new configuration, and an entry that says nothing of it.
    bed.store.put_config(&config(2));
    let version = || front.routing.table().map_or(0, |t| t.version());
    until("the configuration is in force", || version() == 2).await;
    bed.store.put_life(&bed.upstreams[0], FIRST, false);
    // An entry that goes and comes back with the same life.
    bed.store.remove_upstream("u1");
    until("it is gone", || front.upstreams.get("u1").is_none()).await;
    bed.store.put_life(&bed.upstreams[0], FIRST, false);
    until("it is listed", || front.upstreams.get("u1").is_some()).await;
    assert_eq!(served_there(&bed, &bed.upstreams[0], "back").await, 0);
    // Its next life has said nothing.
    let next = Upstream::start("u1", PLAIN, "a").await;
    bed.store.put_life(&next, SECOND, false);
    until("its next life is known", || born("u1") == SECOND).await;
    assert!(served_there(&bed, &next, "next").await > 0);
}

#[actix_rt::test]
async fn an_upstream_at_its_address_does_not_speak_for_it() {
    let bed = Bed::new(PLAIN).await;
    bed.upstreams[0].always(Behaviour::OtherInstance);
    said_leaving(&bed).await;
    let known = bed.front.front.upstreams.get("u1").expect("it is known");
    assert!(!known.is_leaving());
}

#[actix_rt::test]
async fn its_generations_are_moved_when_a_later_answer_says_that_it_leaves() {
    const EVENTS: u64 = 150;
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(EVENTS));
        upstream.pace(Duration::from_millis(10));
    }
    let (req, addr) = (long("r1", "draft"), bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    until("an engine works", || bed.working().is_some()).await;
    let left = bed.working().expect("it works").clone();
    left.say_leaving_in_answers();
    // Only the engine's short streams say it.
    left.next(Behaviour::Stream(1));
    for n in 0..100 {
        if left.arrivals().len() > 1 {
            break;
        }
        let short = plain(&format!("s{n}"), "draft").post("x").tokens(10, 2);
        let addr = bed.addr();
        actix_rt::spawn(async move { short.send(addr).await });
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let reply = answer.await.expect("an answer");
    assert!(reply.whole);
    assert_eq!(reply.text(), events("r1", EVENTS));
    assert!(left.copies().iter().any(|(id, stop)| id == "r1" && *stop));
}

#[actix_rt::test]
async fn one_that_asks_for_a_pause_gets_nothing_in_it_and_work_after_it() {
    let bed = Bed::new(PLAIN).await;
    let resting = &bed.upstreams[0];
    resting.always(Behaviour::TurnAway(PAUSE));
    reach(&bed, resting, "once").await;
    let asked = resting.arrivals()[0].at;
    let mut refused = 0;
    while asked.elapsed() < PAUSE - HEARD {
        let reply = bed.send(&plain("r", "once")).await;
        refused += usize::from(reply.status != 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let arrivals = resting.arrivals();
    let heard = arrivals.iter().filter(|a| {
        let after = a.at.duration_since(asked);
        after > HEARD && after < PAUSE
    });
    let there = heard.count();
    assert!(
        there <= MOST_IN_PAUSE,
        "{there} reached it, {refused} were refused"
    );
    assert!(refused <= MOST_IN_PAUSE, "{refused} were refused");
    resting.always(Behaviour::Whole);
    tokio::time::sleep(PAUSE).await;
    assert!(served_there(&bed, resting, "after").await > 0);
}

#[actix_rt::test]
async fn when_all_rest_a_caller_is_told_at_once_and_when_to_return() {
    let bed = Bed::new(PLAIN).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::TurnAway(PAUSE));
    }
    // What may be repeated is turned away by both.
    bed.send(&plain("first", "many")).await;
    let before = std::time::Instant::now();
    let reply = bed.send(&plain("second", "many").patience(PAUSE / 2)).await;
    assert_eq!(reply.status, 503);
    let told = reply.retry_after.expect("when to return");
    let rested = before.elapsed();
    assert!(
        told > (PAUSE / 2).as_secs_f64() && told <= PAUSE.as_secs_f64(),
        "told to wait {told} s"
    );
    assert!(rested < PAUSE / 2, "it waited {rested:?}");
    let reached = bed.upstreams.iter().map(|u| u.arrivals().len());
    assert_eq!(reached.sum::<usize>(), 2);
}

/// A refusal that names no pause says as much for the next moment: an upstream that refuses at
/// once has nothing running and would else be taken for the best one.
#[actix_rt::test]
async fn one_that_turns_away_without_a_wish_costs_few_callers_their_answer() {
    let bed = Bed::new(PLAIN).await;
    bed.upstreams[0].always(Behaviour::Refuse);
    reach(&bed, &bed.upstreams[0], "once").await;
    let mut refused = 0;
    for n in 0..60 {
        let reply = bed.send(&plain(&format!("r{n}"), "once")).await;
        refused += usize::from(reply.status != 200);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    // Beside one upstream that serves, less than one in ten.
    assert!(refused <= 6, "{refused} of 60 were refused");
    bed.upstreams[0].always(Behaviour::Whole);
    tokio::time::sleep(PAUSE).await;
    assert!(served_there(&bed, &bed.upstreams[0], "after").await > 0);
}

/// An engine's address may be that of its next life before the store tells of that.
#[actix_rt::test]
async fn a_report_of_another_life_says_nothing_of_this_one() {
    const EVENTS: u64 = 250;
    for (born, leaves) in [(FIRST, true), (SECOND, false)] {
        let bounds = "[bounds]\nrevoke = 600ms\nconfig_apply = 400ms\n";
        let bed = Bed::with(ENGINES, bounds).await;
        let front = &bed.front.front;
        for upstream in &bed.upstreams {
            bed.store.put_life(upstream, FIRST, false);
            upstream.always(Behaviour::Stream(EVENTS));
            upstream.pace(Duration::from_millis(10));
            upstream.say_born(born);
            upstream.say_leaving();
        }
        let known = |id: &str| front.upstreams.get(id).is_some_and(|u| u.born == FIRST);
        until("lives are known", || known("u1") && known("u2")).await;
        let (req, addr) = (long("r1", "draft"), bed.addr());
        let answer = actix_rt::spawn(async move { req.send(addr).await });
        until("an engine works", || bed.working().is_some()).await;
        let engine = bed.working().expect("it works").clone();
        bed.store.set_fault(StoreFault::Refuse);
        until("it is asked twice", || engine.reports() >= 2).await;
        let known = front.upstreams.get(&engine.id).expect("it is known");
        assert_eq!(known.is_leaving(), leaves, "born {born}");
        answer.abort();
    }
}
