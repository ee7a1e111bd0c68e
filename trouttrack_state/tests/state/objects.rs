//! Single objects.

use crate::support::{fault, platform, platform_with};
use bytes::Bytes;
use std::time::Duration;
use trouttrack_standin::platform::PlatformFaultKind::{
    Down, LateEffect, LoseCall, LoseReply, Slow,
};
use trouttrack_standin::platform::{PlatformFaultKind, Rates};
use trouttrack_state::client::PlatformErrorKind;
use trouttrack_state::{Condition, Write};

const KEY: &str = "a/b";

fn body(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[actix_rt::test]
async fn conditions_hold() {
    let (_platform, client) = platform();
    let first = client.put(KEY, Condition::Absent, body("1")).await.unwrap();
    let Write::Done(v) = first else {
        panic!("{first:?}")
    };
    let again = client.put(KEY, Condition::Absent, body("2")).await.unwrap();
    assert_eq!(again, Write::Refused(v));
    let wrong = client.put(KEY, Condition::Version(v + 7), body("2")).await;
    assert_eq!(wrong.unwrap(), Write::Refused(v));
    let right = client
        .put(KEY, Condition::Version(v), body("2"))
        .await
        .unwrap();
    let Write::Done(v2) = right else {
        panic!("{right:?}")
    };
    assert_eq!(client.get(KEY).await.unwrap().unwrap().body, body("2"));
    assert_eq!(client.delete(KEY, v).await.unwrap(), Write::Refused(v2));
    assert!(matches!(
        client.delete(KEY, v2).await.unwrap(),
        Write::Done(_)
    ));
    assert_eq!(client.get(KEY).await.unwrap(), None);
}

#[actix_rt::test]
async fn an_object_over_a_megabyte_is_refused_without_effect() {
    let (_platform, client) = platform();
    let big = Bytes::from(vec![b'x'; (1 << 20) + 1]);
    let error = client.put(KEY, Condition::Absent, big).await.unwrap_err();
    assert!(error.had_no_effect(), "{error}");
    assert_eq!(client.get(KEY).await.unwrap(), None);
}

#[actix_rt::test]
async fn a_watch_tells_what_changed_since() {
    let (_platform, client) = platform();
    client
        .put("w/1", Condition::Absent, body("1"))
        .await
        .unwrap();
    let listed = client.list("w/").await.unwrap();
    assert_eq!(listed.changes.len(), 1);
    let wait = Duration::from_secs(10);
    let writes = async {
        client
            .put("other", Condition::Absent, body("x"))
            .await
            .unwrap();
        client
            .put("w/2", Condition::Absent, body("2"))
            .await
            .unwrap();
    };
    let (seen, ()) = futures_util::join!(client.watch("w/", listed.revision, wait), writes);
    let seen = seen.unwrap();
    assert_eq!(seen.changes[0].key, "w/2");
    let nothing = client
        .watch("w/", seen.revision, Duration::from_millis(10))
        .await
        .unwrap();
    assert!(nothing.changes.is_empty());
}

struct Row {
    name: &'static str,
    kind: PlatformFaultKind,
    times: Option<u32>,
    /// Whether another write came in between.
    raced: bool,
    expected: Expected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Done,
    Refused,
    /// Certainly not written.
    NoEffect,
    /// May be written.
    InDoubt,
}

#[rustfmt::skip]
const ROWS: &[Row] = &[
    Row { name: "no fault",               kind: Slow { ms: 0 },         times: Some(1), raced: false, expected: Expected::Done },
    Row { name: "no fault, raced",        kind: Slow { ms: 0 },         times: Some(1), raced: true,  expected: Expected::Refused },
    Row { name: "down once",              kind: Down,                   times: Some(1), raced: false, expected: Expected::Done },
    Row { name: "down for long",          kind: Down,                   times: None,    raced: false, expected: Expected::NoEffect },
    Row { name: "call lost",              kind: LoseCall,               times: Some(1), raced: false, expected: Expected::Done },
    Row { name: "call lost, raced",       kind: LoseCall,               times: Some(1), raced: true,  expected: Expected::Refused },
    Row { name: "reply lost",             kind: LoseReply,              times: Some(1), raced: false, expected: Expected::Done },
    Row { name: "replies lost twice",     kind: LoseReply,              times: Some(2), raced: false, expected: Expected::Done },
    Row { name: "reply lost, raced",      kind: LoseReply,              times: Some(1), raced: true,  expected: Expected::Refused },
    Row { name: "replies lost for long",  kind: LoseReply,              times: None,    raced: false, expected: Expected::InDoubt },
    Row { name: "effect comes late",      kind: LateEffect { ms: 250 }, times: Some(1), raced: false, expected: Expected::Done },
    Row { name: "slow, within limits",    kind: Slow { ms: 40 },        times: Some(3), raced: false, expected: Expected::Done },
    Row { name: "too slow once",          kind: Slow { ms: 400 },       times: Some(1), raced: false, expected: Expected::Done },
];

/// A lost reply is settled: what is called done is there and stays, what is
/// called refused is not there and never comes.
#[actix_rt::test]
async fn lost_replies_are_settled() {
    for row in ROWS {
        let (platform, client) = platform();
        let Write::Done(version) = client
            .put(KEY, Condition::Absent, body("base"))
            .await
            .unwrap()
        else {
            panic!("the first write is free of faults")
        };
        if row.raced {
            let other = client
                .put(KEY, Condition::Version(version), body("other"))
                .await;
            assert!(matches!(other.unwrap(), Write::Done(_)));
        }
        platform.state.arm(fault(row.kind, row.times));
        let patience = Duration::from_millis(900);
        let ours = |b: &Bytes| *b == body("ours");
        let condition = Condition::Version(version);
        let settled = client
            .settle(KEY, condition, body("ours"), patience, ours)
            .await;
        let seen = match &settled {
            Ok(Write::Done(_)) => Expected::Done,
            Ok(Write::Refused(_)) => Expected::Refused,
            Err(e) if e.had_no_effect() => Expected::NoEffect,
            Err(_) => Expected::InDoubt,
        };
        assert_eq!(seen, row.expected, "{}: {settled:?}", row.name);
        platform.state.disarm();
        // Whatever is still under way has landed by then.
        tokio::time::sleep(Duration::from_millis(300)).await;
        let now = platform.state.peek(KEY).unwrap();
        let there = now == body("ours");
        match seen {
            Expected::Done => assert!(there, "{}", row.name),
            Expected::Refused | Expected::NoEffect => assert!(!there, "{}", row.name),
            Expected::InDoubt => {}
        }
    }
}

#[actix_rt::test]
async fn calls_over_the_platforms_rate_had_no_effect() {
    let (_platform, client) = platform_with(Rates {
        writes: 1,
        reads: 1000,
    });
    client.put("1", Condition::Absent, body("1")).await.unwrap();
    let error = client
        .put("2", Condition::Absent, body("2"))
        .await
        .unwrap_err();
    assert_eq!(error.kind, PlatformErrorKind::Unavailable);
}

#[actix_rt::test]
async fn no_platform_at_all_is_no_effect() {
    let (platform, client) = platform();
    platform.kill().await;
    let error = client
        .put(KEY, Condition::Absent, body("1"))
        .await
        .unwrap_err();
    assert!(error.had_no_effect(), "{error}");
}
