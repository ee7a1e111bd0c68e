//! Graceful shutdown.

use crate::support::{Bed, ENGINES, PLAIN, events, long, plain, until};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_front::app::stop;
use trouttrack_http::{Client, Reuse};
use trouttrack_platform_standin::{Behaviour, CallerRequest, Reply};

const GRACE: Duration = Duration::from_secs(8);

#[actix_rt::test]
async fn requests_in_progress_complete() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(100));
        upstream.pace(Duration::from_millis(10));
    }
    let (req, addr) = (long("r1", "draft"), bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    until("an engine is processing the request", || {
        bed.working().is_some()
    })
    .await;
    stop(&bed.front.front, GRACE).await;
    let reply = answer.await.expect("an answer");
    assert!(reply.whole);
    assert_eq!(reply.text(), events("r1", 100));
}

#[actix_rt::test]
async fn a_stopping_front_is_not_ready_and_still_serves_new_requests() {
    let bed = Bed::new(PLAIN).await;
    let front = bed.front.front.clone();
    let stopping = actix_rt::spawn(async move { stop(&front, GRACE).await });
    until("the front is stopping", || {
        bed.front.front.lifecycle.is_stopping()
    })
    .await;
    assert!(!bed.front.front.lifecycle.is_ready());
    let reply = bed.send(&plain("r1", "once")).await;
    assert_eq!(reply.status, 200);
    assert!(reply.closes);
    stopping.await.expect("the shutdown finishes");
}

#[actix_rt::test]
async fn requests_that_cannot_finish_in_time_are_refused_as_not_run() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    // One second is less than the time reserved for the last requests.
    let now = front.clock.now();
    front.lifecycle.stop(now, now + Duration::from_secs(1));
    let reply = bed.send(&plain("r1", "once")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.closes);
    assert!(reply.retry_after.is_some());
    assert!(bed.ran("r1").is_empty());
}

#[actix_rt::test]
async fn requests_after_the_stop_are_refused() {
    let bed = Bed::new(PLAIN).await;
    stop(&bed.front.front, GRACE).await;
    let reply = bed.send(&plain("r1", "once")).await;
    assert_eq!(reply.status, 503);
    assert!(bed.ran("r1").is_empty());
}

/// Guards against a stopping VM that refuses what it could serve whole, and accepts streams that
/// its exit may cut off.
#[actix_rt::test]
async fn a_stream_is_accepted_if_its_time_limit_ends_before_the_exit() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(5));
    }
    let front = &bed.front.front;
    let now = front.clock.now();
    front.lifecycle.stop(now, now + GRACE);
    // Both ask for as many tokens; the route allows as much time as the grace period.
    let in_time = long("r1", "draft").patience(GRACE / 2);
    assert_eq!(bed.send(&in_time).await.status, 200);
    let too_long = long("r2", "draft").patience(2 * GRACE);
    let refused = bed.send(&too_long).await;
    assert_eq!(refused.status, 503);
    assert!(refused.closes);
    // No other VM serves, so nobody does before this one is back.
    let retry_after = refused.retry_after.expect("a time to return");
    assert!(retry_after > GRACE.as_secs_f64() / 2.0);
    assert!(bed.ran("r2").is_empty());
}

/// Guards against late, short streams that are accepted on an estimate of their length.
#[actix_rt::test]
async fn late_in_the_stop_neither_guess_nor_token_limit_admits_a_stream() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(5));
    }
    let front = &bed.front.front;
    let now = front.clock.now();
    let began = now.saturating_sub(Duration::from_secs(3));
    front.lifecycle.stop(began, now + Duration::from_secs(4));
    // At most 40 tokens, which an idle engine generates in less than half a second.
    let short = |id| plain(id, "draft").post("x").tokens(100, 10);
    let refused = bed.send(&short("r1")).await;
    assert_eq!(refused.status, 503);
    assert!(bed.ran("r1").is_empty());
    let in_time = short("r2").patience(Duration::from_secs(2));
    assert_eq!(bed.send(&in_time).await.status, 200);
}

/// Guards against plain calls that a stopping VM accepts for as long as their usual duration
/// leaves room, whatever their time limit.
#[actix_rt::test]
async fn a_plain_call_whose_time_limit_ends_after_the_exit_is_refused() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let now = front.clock.now();
    front.lifecycle.stop(now, now + Duration::from_secs(4));
    for route in ["once", "many"] {
        let id = format!("{route}-late");
        assert_eq!(bed.send(&plain(&id, route)).await.status, 503);
        assert!(bed.ran(&id).is_empty());
        let in_time = plain(route, route).patience(Duration::from_secs(2));
        assert_eq!(bed.send(&in_time).await.status, 200);
    }
}

/// Guards against short streams on kept connections that an exit cuts off while crowded engines
/// are at work on them.
#[actix_rt::test]
async fn no_request_on_a_kept_connection_is_in_progress_at_the_exit() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(3));
        upstream.pace(Duration::from_secs(1));
    }
    let client = Client::builder().build();
    let grace = Duration::from_millis(5500);
    let front = Rc::clone(&bed.front.front);
    let stopping = actix_rt::spawn(async move { stop(&front, grace).await });
    until("the front is stopping", || {
        bed.front.front.lifecycle.is_stopping()
    })
    .await;
    let mut sent = Vec::new();
    for n in 0..25 {
        let id = format!("r{n}");
        let req = plain(&id, "draft").post("x").tokens(100, 3);
        let req = req.patience(Duration::from_millis(3500));
        let (client, to) = (client.clone(), bed.addr());
        let reply = actix_rt::spawn(async move {
            let answer = client.send(to, req.build(), Reuse::Any).await;
            Reply::read(answer.expect("an answer")).await
        });
        sent.push((id, reply));
        tokio::time::sleep(Duration::from_millis(120)).await;
    }
    stopping.await.expect("the shutdown finishes");
    let mut served = 0;
    for (id, reply) in sent {
        assert!(reply.is_finished(), "{id} is in progress at the exit");
        let reply = reply.await.expect("an answer");
        match reply.status {
            200 => served += 1,
            status => assert_eq!((status, bed.ran(&id).len()), (503, 0), "{id}"),
        }
        assert!(reply.whole, "{id} is cut off");
    }
    assert!(served > 0);
}

/// Guards against requests that wait for an engine when the stop begins, and are sent although
/// the exit may cut them off.
#[actix_rt::test]
async fn a_waiting_request_that_the_exit_may_cut_off_is_refused_when_the_stop_begins() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.pace(Duration::from_millis(100));
        upstream.always(Behaviour::Stream(40));
    }
    let addr = bed.addr();
    let fill = |id: String| plain(&id, "draft").post("x").tokens(30_000, 160);
    let send = |req: CallerRequest| actix_rt::spawn(async move { req.send(addr).await });
    for n in 0..2 {
        send(fill(format!("full-{n}")));
    }
    until("both engines are full", || {
        bed.upstreams.iter().all(|u| u.working_on() == 1)
    })
    .await;
    let waiting = send(fill("waits".to_owned()));
    let front = &bed.front.front;
    until("a request waits", || front.scheduler.queued() > 0).await;
    let now = front.clock.now();
    front.lifecycle.stop(now, now + Duration::from_secs(4));
    let reply = waiting.await.expect("an answer");
    assert_eq!(reply.status, 503);
    assert!(reply.text().contains("stopping"), "{}", reply.text());
    assert!(bed.ran("waits").is_empty());
}

/// Guards against connections that are closed without any answer because the process exits.
#[actix_rt::test]
async fn a_request_in_progress_at_the_exit_is_told_so() {
    let bed = Bed::new(PLAIN).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Silent);
    }
    let (req, addr) = (plain("r1", "once"), bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    until("an upstream is processing the request", || {
        !bed.ran("r1").is_empty()
    })
    .await;
    stop(&bed.front.front, Duration::from_secs(2)).await;
    assert!(answer.is_finished(), "no answer before the exit");
    // It may have run, so nothing is promised.
    let reply = answer.await.expect("an answer");
    assert_eq!((reply.status, reply.whole), (502, true));
    assert_eq!(reply.retry_after, None);
}
