//! Graceful shutdown.

use crate::support::{Bed, ENGINES, PLAIN, events, long, plain, until};
use std::time::Duration;
use trouttrack_front::app::stop;
use trouttrack_platform_standin::Behaviour;

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

#[actix_rt::test]
async fn a_stream_that_cannot_finish_in_the_grace_period_is_refused() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(5));
    }
    let front = &bed.front.front;
    let now = front.clock.now();
    front.lifecycle.stop(now, now + GRACE);
    // No other VM could take the streams. 400 tokens finish within the grace period, 4,000 do not.
    assert_eq!(bed.send(&long("r1", "draft")).await.status, 200);
    let too_long = plain("r2", "draft").post("x").tokens(100, 4000);
    assert_eq!(bed.send(&too_long).await.status, 503);
    assert!(bed.ran("r2").is_empty());
}

#[actix_rt::test]
async fn late_in_the_stop_a_length_estimate_is_not_trusted() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(5));
    }
    let front = &bed.front.front;
    let now = front.clock.now();
    let began = now.saturating_sub(Duration::from_secs(3));
    front.lifecycle.stop(began, now + Duration::from_secs(6));
    until("length estimates are no longer trusted", || {
        !front.lifecycle.trusts_guesses(front.clock.now())
    })
    .await;
    // The estimated 100 tokens would finish in time; the limit of 400 would not.
    let guessed = plain("r1", "draft").post("x").tokens(100, 100);
    assert_eq!(bed.send(&guessed).await.status, 503);
    assert!(bed.ran("r1").is_empty());
    // A limit of 40 tokens finishes in time, whatever the estimate.
    let short = plain("r2", "draft").post("x").tokens(100, 10);
    assert_eq!(bed.send(&short).await.status, 200);
}
