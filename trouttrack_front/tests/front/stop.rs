//! The planned stop.

use crate::support::{Bed, ENGINES, PLAIN, events, long, plain, until};
use std::time::Duration;
use trouttrack_front::app::stop;
use trouttrack_platform_standin::Behaviour;

const GRACE: Duration = Duration::from_secs(8);

#[actix_rt::test]
async fn requests_in_progress_end_whole() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(100));
        upstream.pace(Duration::from_millis(10));
    }
    let (req, addr) = (long("r1", "draft"), bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    until("an engine works", || bed.working().is_some()).await;
    stop(&bed.front.front, GRACE).await;
    let reply = answer.await.expect("an answer");
    assert!(reply.whole);
    assert_eq!(reply.text(), events("r1", 100));
}

#[actix_rt::test]
async fn it_is_not_ready_at_once_and_serves_what_still_comes() {
    let bed = Bed::new(PLAIN).await;
    let front = bed.front.front.clone();
    let stopping = actix_rt::spawn(async move { stop(&front, GRACE).await });
    until("it stops", || bed.front.front.lifecycle.is_stopping()).await;
    assert!(!bed.front.front.lifecycle.is_ready());
    let reply = bed.send(&plain("r1", "once")).await;
    assert_eq!(reply.status, 200);
    assert!(reply.closes);
    stopping.await.expect("it ends");
}

#[actix_rt::test]
async fn what_cannot_end_any_more_is_refused_as_not_run() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    // A second is less than what the last requests are given.
    let now = front.clock.now();
    front.lifecycle.stop(now, now + Duration::from_secs(1));
    let reply = bed.send(&plain("r1", "once")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.closes);
    assert!(reply.retry_after.is_some());
    assert!(bed.ran("r1").is_empty());
}

#[actix_rt::test]
async fn after_the_last_request_none_is_taken() {
    let bed = Bed::new(PLAIN).await;
    stop(&bed.front.front, GRACE).await;
    let reply = bed.send(&plain("r1", "once")).await;
    assert_eq!(reply.status, 503);
    assert!(bed.ran("r1").is_empty());
}

#[actix_rt::test]
async fn a_long_stream_is_taken_only_if_nobody_else_could() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(5));
    }
    let front = &bed.front.front;
    let now = front.clock.now();
    front.lifecycle.stop(now, now + GRACE);
    // Alone: 400 tokens end within the grace, 4,000 do not.
    assert_eq!(bed.send(&long("r1", "draft")).await.status, 200);
    let too_long = plain("r2", "draft").post("x").tokens(100, 4000);
    assert_eq!(bed.send(&too_long).await.status, 503);
    assert!(bed.ran("r2").is_empty());
}

#[actix_rt::test]
async fn late_in_the_stop_a_guess_is_not_trusted() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(5));
    }
    let front = &bed.front.front;
    let now = front.clock.now();
    let began = now.saturating_sub(Duration::from_secs(3));
    front.lifecycle.stop(began, now + Duration::from_secs(6));
    until("three seconds have passed", || {
        !front.lifecycle.trusts_guesses(front.clock.now())
    })
    .await;
    // 100 tokens guessed would end in time; the 400 that it may write would not.
    let guessed = plain("r1", "draft").post("x").tokens(100, 100);
    assert_eq!(bed.send(&guessed).await.status, 503);
    assert!(bed.ran("r1").is_empty());
    // 40 at most end in time, whatever the guess.
    let short = plain("r2", "draft").post("x").tokens(100, 10);
    assert_eq!(bed.send(&short).await.status, 200);
}
