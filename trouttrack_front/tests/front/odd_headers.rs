//! Numbers at the ends of their ranges in the headers of callers and upstreams.

use crate::support::{Bed, ENGINES, PLAIN, assert_no_panics, events, long, plain, until};
use std::time::Duration;
use trouttrack_platform_standin::Behaviour;

/// Numbers that a header may hold.
const NUMBERS: [&str; 9] = [
    "1e300",
    "-1e300",
    "18446744073709551615",
    "99999999999999999999999999999999",
    "NaN",
    "inf",
    "0",
    "1e-300",
    "",
];
/// Rates that an upstream may state without being avoided for it.
const RATES: [f64; 3] = [f64::NAN, f64::INFINITY, f64::MAX];

/// Guards against a caller's numbers that end the task of its request, or that of others.
#[actix_rt::test]
async fn odd_numbers_of_a_caller_fail_no_request() {
    let bed = Bed::new(ENGINES).await;
    bed.upstreams
        .iter()
        .for_each(|u| u.always(Behaviour::Stream(4)));
    let prefix = "ff:99999999999999999999,".repeat(100);
    for (n, number) in NUMBERS.into_iter().enumerate() {
        let mut odd = plain(&format!("odd-{n}"), "resume").post("a prompt");
        odd.headers.extend([
            ("X-Token-Counts".to_owned(), format!("{number},{number}")),
            ("X-Length-Hint".to_owned(), number.to_owned()),
            ("X-Prompt-Prefix".to_owned(), prefix.clone()),
            ("X-Request-Urgency".to_owned(), number.to_owned()),
        ]);
        let reply = bed.send(&odd).await;
        assert_eq!(
            (reply.status, reply.text()),
            (200, events(&odd.id, 4)),
            "{number}"
        );
        let id = format!("r{n}");
        let reply = bed.send(&long(&id, "resume")).await;
        assert_eq!(
            (reply.status, reply.text()),
            (200, events(&id, 4)),
            "{number}"
        );
    }
    assert_no_panics(&bed.front.front);
}

/// Guards against an upstream's numbers that end a task, or keep requests from it for good.
#[actix_rt::test]
async fn odd_numbers_of_an_upstream_keep_it_in_use() {
    let bed = Bed::new(PLAIN).await;
    for (n, rate) in RATES.into_iter().enumerate() {
        for upstream in &bed.upstreams {
            upstream.name_limit(Some(rate));
            upstream.say_brittle(Some(rate));
        }
        for request in 0..4 {
            let id = format!("r-{n}-{request}");
            assert_eq!(bed.send(&plain(&id, "many")).await.status, 200, "{rate}");
        }
    }
    for upstream in &bed.upstreams {
        upstream.name_limit(None);
        upstream.say_brittle(None);
    }
    bed.upstreams[0].turn_away(Some(Duration::MAX));
    for request in 0..12 {
        bed.send(&plain(&format!("t-{request}"), "many")).await;
    }
    bed.upstreams[0].turn_away(None);
    let front = &bed.front.front;
    until("the pause has ended at the latest", || {
        front.clock.suspended(Duration::from_secs(60));
        front.scheduler.accepts_requests("u1")
    })
    .await;
    assert_no_panics(front);
}
