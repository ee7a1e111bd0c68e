//! A planned stop cuts off no request.

use crate::support::{Bed, KEY, body, from_one_run, post, until};

#[actix_web::test]
async fn requests_in_progress_end_and_new_ones_are_told_not_run() {
    let bed = Bed::new(1).await;
    let gateway = &bed.gateways[0];
    let shared = gateway.shared.clone();
    let ready = async |expected: u16| {
        let url = format!("{}/readyz", bed.url(0));
        let res = bed.http.get(url).send().await.unwrap();
        assert_eq!(res.status().as_u16(), expected);
    };
    ready(200).await;
    let streams: Vec<_> = ["stream-many", "stream-once", "whole-many", "whole-once"]
        .iter()
        .map(|service| bed.ask(service, service, 250))
        .collect();
    let stops = async {
        until("all four run", || bed.runs("").len() == 4).await;
        gateway.stop().await;
    };
    let late = async {
        until("the stop began", || shared.draining()).await;
        ready(503).await;
        until("new requests are refused", || shared.refusing()).await;
        let body = body("stream-many", "too late", 5, true);
        post(&bed.http, &bed.url(0), KEY, &body).await
    };
    let (answers, (), late) =
        futures_util::join!(futures_util::future::join_all(streams), stops, late);
    for answer in answers {
        assert_eq!(answer.outcome, "complete", "{answer:?}");
        assert!(from_one_run(&answer, &bed.runs(""), true), "{answer:?}");
    }
    assert_eq!((late.status, late.code.as_str()), (503, "stopping"));
    assert_eq!(late.outcome, "not-run");
    assert!(late.retry_after.is_some());
    assert!(bed.runs("too late").is_empty());
}
