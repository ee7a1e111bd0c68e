//! Answers without a length or chunks, whole and cut off: a caller's answer claims no more
//! completeness than the upstream's framing and events show.

use crate::support::{Bed, ENGINES, PLAIN, events, long, plain, until};
use std::time::Duration;
use trouttrack_platform_standin::{Behaviour, CutEnd, Place, Reply, StreamCut, Upstream};

/// Events of a complete stream.
const EVENTS: u64 = 10;
/// Events before a stream is cut off.
const BEFORE_CUT: u64 = 4;
/// Long enough for the test to act between the first event and the cut.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);

fn cut(place: Place, end: CutEnd) -> Behaviour {
    Behaviour::StreamCut(StreamCut {
        events: EVENTS,
        after: BEFORE_CUT,
        place,
        end,
    })
}

/// The answer of a stream that may not be resumed, from upstreams that all behave alike.
async fn draft(behaviour: Behaviour) -> Reply {
    let bed = Bed::new(ENGINES).await;
    bed.upstreams.iter().for_each(|u| u.always(behaviour));
    bed.send(&long("r1", "draft")).await
}

/// The answer of a stream that may be resumed: its first upstream, whichever that is, behaves as
/// told by `first`, the next one as told by `next`.
async fn resumed(first: Behaviour, next: Behaviour) -> Reply {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.next(first);
        upstream.always(next);
        upstream.pace(EVENT_INTERVAL);
    }
    let req = long("r1", "resume");
    let at_first = async {
        until("an upstream has the request", || bed.working().is_some()).await;
        let others = bed.upstreams.iter().filter(|u| u.working_on() == 0);
        others.for_each(Upstream::clear_next);
    };
    let (reply, ()) = futures_util::join!(bed.send(&req), at_first);
    reply
}

/// Guards against the end of a connection that is taken for the end of a stream.
#[actix_rt::test]
async fn unframed_stream_cut_inside_an_event_is_broken_off() {
    for end in [CutEnd::Close, CutEnd::Reset] {
        let reply = draft(cut(Place::InsideEvent, end)).await;
        assert!(!reply.whole, "{end:?}: {}", reply.text());
        assert_eq!(reply.text(), events("r1", BEFORE_CUT), "{end:?}");
    }
}

/// Guards against a last chunk at a caller whose upstream sent none.
#[actix_rt::test]
async fn unframed_stream_cut_between_events_is_not_framed_as_complete() {
    let reply = draft(cut(Place::BetweenEvents, CutEnd::Close)).await;
    assert!(!reply.claims_complete());
    assert_eq!(reply.text(), events("r1", BEFORE_CUT));
    let reply = draft(cut(Place::BetweenEvents, CutEnd::Reset)).await;
    assert!(!reply.whole);
    assert_eq!(reply.text(), events("r1", BEFORE_CUT));
}

/// Guards against framing that outweighs an event which is visibly incomplete.
#[actix_rt::test]
async fn chunked_stream_that_ends_inside_an_event_is_broken_off() {
    let reply = draft(cut(Place::InsideEvent, CutEnd::LastChunk)).await;
    assert!(!reply.whole, "{}", reply.text());
    assert_eq!(reply.text(), events("r1", BEFORE_CUT));
}

/// Guards against a broken-off stream that reaches its caller as complete after one attempt.
#[actix_rt::test]
async fn unframed_stream_cut_inside_an_event_resumes_at_another_upstream() {
    for end in [CutEnd::Close, CutEnd::Reset, CutEnd::LastChunk] {
        let reply = resumed(cut(Place::InsideEvent, end), Behaviour::Stream(EVENTS)).await;
        assert!(reply.whole, "{end:?}");
        assert_eq!(reply.text(), events("r1", EVENTS), "{end:?}");
    }
}

/// Guards against a chunked answer that is completed by an upstream whose own end proves nothing.
#[actix_rt::test]
async fn chunked_answer_resumed_at_an_unframed_upstream_does_not_claim_to_be_complete() {
    let first = Behaviour::StreamReset(EVENTS, BEFORE_CUT);
    let next = Behaviour::StreamCut(StreamCut {
        events: EVENTS,
        after: BEFORE_CUT + 2,
        place: Place::BetweenEvents,
        end: CutEnd::Close,
    });
    let reply = resumed(first, next).await;
    assert!(!reply.claims_complete());
    assert_eq!(reply.text(), events("r1", BEFORE_CUT + 2));
}

/// Guards against a length that is made up for half a body.
#[actix_rt::test]
async fn unframed_call_cut_in_half_gets_no_length() {
    let bed = Bed::new(PLAIN).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::UnframedHalf));
    for route in ["many", "once"] {
        let reply = bed.send(&plain("r1", route)).await;
        assert_eq!(reply.status, 200);
        assert!(!reply.claims_complete(), "{route}");
    }
}

#[actix_rt::test]
async fn sound_unframed_answers_arrive_whole() {
    let reply = draft(Behaviour::StreamUnframed(EVENTS)).await;
    assert!(reply.whole && !reply.framed && reply.closes);
    assert_eq!(reply.text(), events("r1", EVENTS));
    let bed = Bed::new(PLAIN).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::Unframed));
    for (n, route) in ["many", "once"].into_iter().enumerate() {
        let id = format!("r{n}");
        let reply = bed.send(&plain(&id, route)).await;
        assert!(reply.whole && !reply.framed && reply.closes, "{route}");
        assert_eq!(reply.text(), format!("GET|/{route}/x?y=z|{id}"));
    }
}
