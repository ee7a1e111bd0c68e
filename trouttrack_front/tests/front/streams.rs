//! Streams: passed on whole, in order, from one generation.

use crate::support::{Bed, ENGINES, events, long, plain, until};
use std::time::Duration;
use trouttrack_platform_standin::{Behaviour, Upstream};

#[actix_rt::test]
async fn events_come_once_and_in_order() {
    let bed = Bed::new(ENGINES).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::Stream(25)));
    let reply = bed.send(&long("r1", "draft")).await;
    assert_eq!(reply.status, 200);
    assert!(reply.whole);
    assert_eq!(reply.text(), events("r1", 25));
    assert_eq!(bed.ran("r1").len(), 1);
}

#[actix_rt::test]
async fn what_may_be_resumed_goes_on_elsewhere_in_the_same_answer() {
    let bed = Bed::new(ENGINES).await;
    // Each breaks off once, in the middle of an event.
    bed.upstreams
        .iter()
        .for_each(|u| u.next(Behaviour::StreamReset(10, 4)));
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::Stream(10)));
    bed.upstreams[0].always(Behaviour::StreamReset(10, 4));
    let reply = bed
        .send(&plain("r1", "resume").post("x").tokens(100, 8))
        .await;
    assert_eq!(reply.status, 200);
    let second: Vec<_> = bed.upstreams.iter().flat_map(Upstream::arrivals).collect();
    assert_eq!(second.len(), 2, "{second:?}");
    assert!(second.iter().any(|a| a.last_event.as_deref() == Some("4")));
    let all = events("r1", 10);
    match reply.whole {
        true => assert_eq!(reply.text(), all),
        // The second one may have broken off as well; what came is a beginning.
        false => assert!(all.starts_with(&reply.text())),
    }
}

#[actix_rt::test]
async fn what_may_not_be_resumed_is_seen_to_be_incomplete() {
    let bed = Bed::new(ENGINES).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::StreamReset(10, 4)));
    let reply = bed.send(&long("r1", "draft")).await;
    assert_eq!(reply.status, 200);
    assert!(!reply.whole);
    assert_eq!(reply.text(), events("r1", 4));
    assert_eq!(bed.ran("r1").len(), 1);
}

#[actix_rt::test]
async fn lost_before_its_first_event_it_is_no_success() {
    let bed = Bed::new(ENGINES).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::LoseAnswer));
    let reply = bed.send(&long("r1", "draft")).await;
    assert_eq!(reply.status, 502);
    assert_eq!(bed.ran("r1").len(), 1);
}

#[actix_rt::test]
async fn refused_it_has_not_run_and_says_when_to_come_back() {
    let bed = Bed::new(ENGINES).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::Refuse));
    let reply = bed.send(&long("r1", "draft")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after.is_some());
    assert!(bed.ran("r1").is_empty());
}

#[actix_rt::test]
async fn a_silent_stream_is_taken_up_elsewhere() {
    let bed = Bed::new(ENGINES).await;
    bed.upstreams[0].always(Behaviour::StreamSilent(6, 2));
    bed.upstreams[1].always(Behaviour::Stream(6));
    for n in 0..4 {
        let id = format!("r{n}");
        let reply = bed
            .send(&plain(&id, "resume").post("x").tokens(100, 8))
            .await;
        assert!(reply.whole, "{id}");
        assert_eq!(reply.text(), events(&id, 6));
    }
}

#[actix_rt::test]
async fn an_answer_that_is_no_stream_passes_whole() {
    let bed = Bed::new(ENGINES).await;
    bed.upstreams.iter().for_each(|u| u.always(Behaviour::Fail));
    let reply = bed.send(&long("r1", "draft")).await;
    assert_eq!(reply.status, 500);
    assert!(reply.sealed_by.is_some());
    assert_eq!(reply.text(), "failed");
}

#[actix_rt::test]
async fn a_caller_that_leaves_a_stream_ends_it() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(10_000));
        upstream.pace(Duration::from_millis(5));
    }
    let (req, addr) = (long("r1", "draft"), bed.addr());
    let waiting = actix_rt::spawn(async move { req.send(addr).await });
    until("an upstream works", || bed.working().is_some()).await;
    waiting.abort();
    until("the work is cancelled", || bed.working().is_none()).await;
    until("nothing is in flight", || {
        bed.front.front.lifecycle.in_flight() == 0
    })
    .await;
}

#[actix_rt::test]
async fn a_stream_past_its_time_is_broken_off() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(10_000));
        upstream.pace(Duration::from_millis(20));
    }
    let req = long("r1", "draft").patience(Duration::from_millis(700));
    let reply = bed.send(&req).await;
    assert_eq!(reply.status, 200);
    assert!(!reply.whole);
    until("the work is cancelled", || bed.working().is_none()).await;
}

#[actix_rt::test]
async fn what_may_have_run_is_never_told_not_run() {
    let bed = Bed::new(ENGINES).await;
    // One takes the request and says nothing; the other cannot be reached.
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::StreamSilent(6, 0));
    }
    let (req, addr) = (plain("r1", "resume").post("x").tokens(100, 8), bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    until("an engine works", || bed.working().is_some()).await;
    let silent = bed.working().expect("it works").id.clone();
    let nobody = bed
        .upstreams
        .iter()
        .find(|u| u.id != silent)
        .expect("another");
    let mut moved = nobody.clone();
    moved.addr = "127.0.0.1:1".parse().expect("an address");
    bed.store.put_upstream(&moved, false);
    bed.store.remove_upstream(&silent);
    let reply = answer.await.expect("an answer");
    assert_eq!(bed.ran("r1"), [silent]);
    assert!(
        [502, 504].contains(&reply.status),
        "{}: {}",
        reply.status,
        reply.text()
    );
}

/// Fewer events than lie between two updates of the memory forecast.
const FEW_EVENTS: u64 = 5;

#[actix_rt::test]
async fn the_first_event_tells_that_the_prompt_is_loaded() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(FEW_EVENTS));
        upstream.pace(Duration::from_millis(200));
    }
    let (req, addr) = (long("r1", "draft"), bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    until("its prompt is loaded while it runs", || {
        let uses = bed.front.front.scheduler.local_uses();
        uses.iter().any(|u| u.running == 1 && u.loading_tokens == 0)
    })
    .await;
    assert!(answer.await.expect("an answer").whole);
}

/// What it fails ends at once, so it has nothing running and looks like the best one.
#[actix_rt::test]
async fn an_engine_that_fails_streams_that_may_not_be_repeated_is_left_alone() {
    let bed = Bed::new(ENGINES).await;
    bed.upstreams[0].always(Behaviour::Fail);
    bed.upstreams[1].always(Behaviour::Stream(2));
    let mut failed = 0;
    for n in 0..40 {
        let reply = bed.send(&long(&format!("r{n}"), "draft")).await;
        failed += usize::from(reply.status != 200);
    }
    // Five failures in a row are believed; one more for each trial after that.
    assert!(failed <= 8, "{failed} of 40 failed");
}
