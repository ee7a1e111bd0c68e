//! State that an upstream reports about itself in its responses: draining, or a requested pause.
//!
//! Guards against two failures:
//! - An upstream whose responses announced that it was draining kept getting requests for as
//!   long as the store was unavailable, from every VM that had forwarded such a response.
//! - An upstream rejected requests for nine seconds, asking for a three-second pause each time.
//!   One VM sent it 68 requests in four seconds, and 59 callers got "not run" while three other
//!   upstreams were serving.
//!
//! Requests are routed by the store's view of the upstreams and by the outcome of attempts. An
//! upstream that rejects immediately has no requests in flight and no recorded failures, so it
//! ranked as the best candidate. The cause was that such state was read from one source only:
//! response headers were ignored, and a rejection counted as a success. The logs showed the
//! headers of the response with no routing decision after them.

use crate::support::{Bed, ENGINES, PLAIN, config, events, long, plain, until};
use std::time::Duration;
use trouttrack_platform_standin::{Behaviour, CallerRequest, StoreFault, Upstream};

/// Time within which a VM must stop sending to an upstream that has announced draining.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Pause requested by an upstream that rejects requests.
const PAUSE: Duration = Duration::from_secs(3);
/// Time from the start of a pause within which a VM must apply it.
const PAUSE_APPLY_LIMIT: Duration = Duration::from_millis(500);
/// Maximum number of requests that may reach an upstream during the rest of a pause.
const MAX_REQUESTS_IN_PAUSE: usize = 2;
/// Number of requests large enough that each of two available upstreams gets some.
const BATCH_SIZE: usize = 12;
/// Start time of the first incarnation of an upstream, in milliseconds since the Unix epoch.
const FIRST_START_MS: u64 = 1_789_000_000_000;
/// Start time of the second incarnation.
const SECOND_START_MS: u64 = FIRST_START_MS + 4_000;

fn open_request(id: &str) -> CallerRequest {
    CallerRequest::get(id, crate::support::HOST, "/open/x")
}

/// Sends requests until one reaches the given upstream.
async fn send_until_reached(bed: &Bed, upstream: &Upstream, route: &str) {
    for n in 0..100 {
        bed.send(&plain(&format!("{}-{route}-{n}", upstream.id), route))
            .await;
        if !upstream.arrivals().is_empty() {
            return;
        }
    }
    panic!("none of 100 requests reached {}", upstream.id);
}

/// Sends a batch of requests, all of which must succeed, and returns how many reached the
/// given upstream.
async fn count_served_by(bed: &Bed, upstream: &Upstream, ids: &str) -> usize {
    let before = upstream.arrivals().len();
    for n in 0..BATCH_SIZE {
        let reply = bed.send(&open_request(&format!("{ids}-{n}"))).await;
        assert_eq!(reply.status, 200, "{ids}-{n}: {}", reply.text());
    }
    upstream.arrivals().len() - before
}

/// Makes the first upstream announce draining in its responses, and has the front forward one.
async fn announce_draining(bed: &Bed) {
    bed.upstreams[0].say_leaving_in_answers();
    send_until_reached(bed, &bed.upstreams[0], "many").await;
}

#[actix_rt::test]
async fn draining_announced_in_responses_is_honoured_without_the_store() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::Refuse);
    announce_draining(&bed).await;
    tokio::time::sleep(DRAIN_LIMIT).await;
    assert_eq!(count_served_by(&bed, &bed.upstreams[0], "away").await, 0);
}

#[actix_rt::test]
async fn draining_is_read_from_every_kind_of_response() {
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
        announce_draining(&bed).await;
        let served = count_served_by(&bed, &bed.upstreams[0], "after").await;
        assert_eq!(served, 0, "{behaviour:?}");
    }
}

#[actix_rt::test]
async fn store_updates_do_not_clear_announced_draining() {
    let bed = Bed::new(PLAIN).await;
    for upstream in &bed.upstreams {
        bed.store.put_life(upstream, FIRST_START_MS, false);
    }
    let front = &bed.front.front;
    let started_at = |id: &str| front.upstreams.get(id).map_or(0, |u| u.born);
    until("the incarnations are known", || {
        started_at("u1") == FIRST_START_MS && started_at("u2") == FIRST_START_MS
    })
    .await;
    announce_draining(&bed).await;
    // A new configuration, and a store entry that does not mark the upstream as draining.
    bed.store.put_config(&config(2));
    let version = || front.routing.table().map_or(0, |t| t.version());
    until("the configuration is in force", || version() == 2).await;
    bed.store.put_life(&bed.upstreams[0], FIRST_START_MS, false);
    // An entry that is removed and added again for the same incarnation.
    bed.store.remove_upstream("u1");
    until("the entry is removed", || {
        front.upstreams.get("u1").is_none()
    })
    .await;
    bed.store.put_life(&bed.upstreams[0], FIRST_START_MS, false);
    until("the entry is listed", || {
        front.upstreams.get("u1").is_some()
    })
    .await;
    assert_eq!(count_served_by(&bed, &bed.upstreams[0], "back").await, 0);
    // The next incarnation has not announced draining.
    let next = Upstream::start("u1", PLAIN, "a").await;
    bed.store.put_life(&next, SECOND_START_MS, false);
    until("the next incarnation is known", || {
        started_at("u1") == SECOND_START_MS
    })
    .await;
    assert!(count_served_by(&bed, &next, "next").await > 0);
}

#[actix_rt::test]
async fn response_from_another_instance_at_the_same_address_is_ignored() {
    let bed = Bed::new(PLAIN).await;
    bed.upstreams[0].always(Behaviour::OtherInstance);
    announce_draining(&bed).await;
    let known = bed
        .front
        .front
        .upstreams
        .get("u1")
        .expect("the upstream is known");
    assert!(!known.is_leaving());
}

#[actix_rt::test]
async fn running_streams_are_moved_when_a_later_response_announces_draining() {
    const EVENTS: u64 = 150;
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(EVENTS));
        upstream.pace(Duration::from_millis(10));
    }
    let (req, addr) = (long("r1", "draft"), bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    until("an engine is generating", || bed.working().is_some()).await;
    let draining = bed.working().expect("an engine is generating").clone();
    draining.say_leaving_in_answers();
    // Only the short streams announce it: the headers of the long stream were already sent.
    draining.next(Behaviour::Stream(1));
    for n in 0..100 {
        if draining.arrivals().len() > 1 {
            break;
        }
        let short = plain(&format!("s{n}"), "draft").post("x").tokens(10, 2);
        let addr = bed.addr();
        actix_rt::spawn(async move { short.send(addr).await });
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let reply = answer.await.expect("the request task failed");
    assert!(reply.whole);
    assert_eq!(reply.text(), events("r1", EVENTS));
    assert!(
        draining
            .copies()
            .iter()
            .any(|(id, stop)| id == "r1" && *stop)
    );
}

#[actix_rt::test]
async fn requested_pause_is_honoured_and_ends() {
    let bed = Bed::new(PLAIN).await;
    let paused = &bed.upstreams[0];
    paused.always(Behaviour::TurnAway(PAUSE));
    send_until_reached(&bed, paused, "once").await;
    let asked = paused.arrivals()[0].at;
    let mut rejected = 0;
    while asked.elapsed() < PAUSE - PAUSE_APPLY_LIMIT {
        let reply = bed.send(&plain("r", "once")).await;
        rejected += usize::from(reply.status != 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let arrivals = paused.arrivals();
    let late_arrivals = arrivals.iter().filter(|a| {
        let after = a.at.duration_since(asked);
        after > PAUSE_APPLY_LIMIT && after < PAUSE
    });
    let during_pause = late_arrivals.count();
    assert!(
        during_pause <= MAX_REQUESTS_IN_PAUSE,
        "{during_pause} requests reached the upstream during its pause, {rejected} were rejected"
    );
    assert!(
        rejected <= MAX_REQUESTS_IN_PAUSE,
        "{rejected} requests were rejected"
    );
    paused.always(Behaviour::Whole);
    tokio::time::sleep(PAUSE).await;
    assert!(count_served_by(&bed, paused, "after").await > 0);
}

#[actix_rt::test]
async fn caller_gets_retry_after_immediately_when_all_upstreams_are_paused() {
    let bed = Bed::new(PLAIN).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::TurnAway(PAUSE));
    }
    // A retryable request is rejected by both upstreams.
    bed.send(&plain("first", "many")).await;
    let before = std::time::Instant::now();
    let reply = bed.send(&plain("second", "many").patience(PAUSE / 2)).await;
    assert_eq!(reply.status, 503);
    let retry_after = reply.retry_after.expect("no Retry-After in the response");
    let elapsed = before.elapsed();
    assert!(
        retry_after > (PAUSE / 2).as_secs_f64() && retry_after <= PAUSE.as_secs_f64(),
        "Retry-After was {retry_after} s"
    );
    assert!(elapsed < PAUSE / 2, "the response took {elapsed:?}");
    let reached = bed.upstreams.iter().map(|u| u.arrivals().len());
    assert_eq!(reached.sum::<usize>(), 2);
}

/// A rejection without a requested pause must still lower the upstream's priority for a short
/// time: it has no requests in flight and would otherwise rank as the best candidate.
#[actix_rt::test]
async fn rejections_without_a_pause_affect_few_callers() {
    let bed = Bed::new(PLAIN).await;
    bed.upstreams[0].always(Behaviour::Refuse);
    send_until_reached(&bed, &bed.upstreams[0], "once").await;
    let mut rejected = 0;
    for n in 0..60 {
        let reply = bed.send(&plain(&format!("r{n}"), "once")).await;
        rejected += usize::from(reply.status != 200);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    // With one other upstream serving, at most one request in ten may be rejected.
    assert!(rejected <= 6, "{rejected} of 60 requests were rejected");
    bed.upstreams[0].always(Behaviour::Whole);
    tokio::time::sleep(PAUSE).await;
    assert!(count_served_by(&bed, &bed.upstreams[0], "after").await > 0);
}

/// The next incarnation of an engine may answer at the same address before the store lists it,
/// so a report applies only to the incarnation that sent it.
#[actix_rt::test]
async fn report_from_another_incarnation_is_ignored() {
    const EVENTS: u64 = 250;
    for (started_at, draining) in [(FIRST_START_MS, true), (SECOND_START_MS, false)] {
        let bounds = "[bounds]\nrevoke = 600ms\nconfig_apply = 400ms\n";
        let bed = Bed::with(ENGINES, bounds).await;
        let front = &bed.front.front;
        for upstream in &bed.upstreams {
            bed.store.put_life(upstream, FIRST_START_MS, false);
            upstream.always(Behaviour::Stream(EVENTS));
            upstream.pace(Duration::from_millis(10));
            upstream.say_born(started_at);
            upstream.say_leaving();
        }
        let known = |id: &str| {
            front
                .upstreams
                .get(id)
                .is_some_and(|u| u.born == FIRST_START_MS)
        };
        until("the incarnations are known", || known("u1") && known("u2")).await;
        let (req, addr) = (long("r1", "draft"), bed.addr());
        let answer = actix_rt::spawn(async move { req.send(addr).await });
        until("an engine is generating", || bed.working().is_some()).await;
        let engine = bed.working().expect("an engine is generating").clone();
        bed.store.set_fault(StoreFault::Refuse);
        until("the engine has been polled twice", || engine.reports() >= 2).await;
        let known = front
            .upstreams
            .get(&engine.id)
            .expect("the upstream is known");
        assert_eq!(
            known.is_leaving(),
            draining,
            "incarnation started at {started_at}"
        );
        answer.abort();
    }
}
