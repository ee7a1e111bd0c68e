//! `Idempotency-Key` across gateways: at most one run, whatever fails.

use crate::support::{Answer, Bed, KEY, OTHER_KEY, body, from_one_run, until};
use trouttrack_gateway::app::Gateway;
use trouttrack_standin::platform::{PlatformFault, PlatformFaultKind};

async fn keyed(
    bed: &Bed,
    url: &str,
    org_key: &str,
    service: &str,
    marker: &str,
    key: &str,
) -> Answer {
    let json = body(service, marker, 30, true);
    let req = bed
        .http
        .post(format!("{url}/v1/completions"))
        .bearer_auth(org_key);
    let req = req.insert_header(("idempotency-key", key));
    let mut res = req.send_json(&json).await.unwrap();
    let raw = res.body().limit(1 << 20).await.unwrap();
    Answer::of(res.status().as_u16(), res.headers(), &raw)
}

/// Gateways that know each other, so that a shard's owner may be a peer.
async fn meshed(bed: &mut Bed, count: usize) {
    for i in 0..count {
        let peers: Vec<String> = bed
            .gateways
            .iter()
            .map(|g| g.rpc_addr.to_string())
            .collect();
        let extra = format!(
            "[caller]\nlisten = 127.0.0.1:0\nworkers = 1\nhandle_secret = shared\n[rpc]\npeers = {}\n",
            peers.join(", ")
        );
        let gateway = bed.gateway(&format!("gateway-{i}"), &extra).await;
        bed.gateways.push(gateway);
    }
    let knows = |g: &Gateway| g.shared.alive().len() + 1 == count;
    until("the gateways know each other", || {
        bed.gateways.iter().all(knows)
    })
    .await;
}

#[actix_web::test]
async fn a_repeat_at_another_gateway_gets_the_same_answer() {
    let mut bed = Bed::new(0).await;
    meshed(&mut bed, 2).await;
    for service in ["stream-once", "whole-once"] {
        let marker = format!("same answer {service}");
        let first = keyed(&bed, &bed.url(0), KEY, service, &marker, service).await;
        let again = keyed(&bed, &bed.url(1), KEY, service, &marker, service).await;
        assert_eq!(
            (first.outcome.as_str(), again.outcome.as_str()),
            ("complete", "complete")
        );
        assert_eq!(first.text, again.text);
        assert!(from_one_run(&again, &bed.runs(&marker), true));
        assert_eq!(bed.runs(&marker).len(), 1);
    }
}

#[actix_web::test]
async fn a_key_is_its_organisations_own() {
    let bed = Bed::new(1).await;
    let url = bed.url(0);
    for org_key in [KEY, OTHER_KEY] {
        let answer = keyed(&bed, &url, org_key, "stream-once", org_key, "same key").await;
        assert_eq!(answer.outcome, "complete", "{answer:?}");
        assert_eq!(bed.runs(org_key).len(), 1);
    }
}

/// The same keys at three gateways at once: each is run once, and everyone
/// gets that run's answer or a clear refusal.
#[actix_web::test]
async fn crossing_repeats_run_once() {
    let mut bed = Bed::new(0).await;
    meshed(&mut bed, 3).await;
    let urls: Vec<String> = (0..3).map(|g| bed.url(g)).collect();
    let mut asks = Vec::new();
    for n in 0..12 {
        for url in &urls {
            let (bed, marker) = (&bed, format!("crossing {n} "));
            asks.push(async move {
                let answer = keyed(bed, url, KEY, "stream-once", &marker, &marker).await;
                (marker, answer)
            });
        }
    }
    for (marker, answer) in futures_util::future::join_all(asks).await {
        let runs = bed.runs(&marker);
        assert_eq!(runs.len(), 1, "{marker}");
        match answer.status {
            200 => assert!(from_one_run(&answer, &runs, true), "{answer:?}"),
            status => assert_eq!(
                (status, answer.code.as_str()),
                (409, "key_claimed"),
                "{answer:?}"
            ),
        }
    }
}

struct Row {
    name: &'static str,
    kind: PlatformFaultKind,
    times: Option<u32>,
    /// The outcome while the fault lasts.
    outcome: &'static str,
}

#[rustfmt::skip]
const ROWS: &[Row] = &[
    Row { name: "down for a moment", kind: PlatformFaultKind::Down,                   times: Some(1), outcome: "complete" },
    Row { name: "reply lost",        kind: PlatformFaultKind::LoseReply,              times: Some(1), outcome: "complete" },
    Row { name: "call lost",         kind: PlatformFaultKind::LoseCall,               times: Some(1), outcome: "complete" },
    Row { name: "late effect",       kind: PlatformFaultKind::LateEffect { ms: 200 }, times: Some(1), outcome: "complete" },
    Row { name: "slow",              kind: PlatformFaultKind::Slow { ms: 150 },       times: Some(4), outcome: "complete" },
    Row { name: "down",              kind: PlatformFaultKind::Down,                   times: None,    outcome: "not-run" },
    Row { name: "replies lost",      kind: PlatformFaultKind::LoseReply,              times: None,    outcome: "not-run" },
    Row { name: "effects late",      kind: PlatformFaultKind::LateEffect { ms: 200 }, times: None,    outcome: "not-run" },
];

/// A claim that cannot be confirmed is `not-run`; once the platform is back,
/// the same key runs, once.
async fn row(row: &Row) {
    let bed = Bed::new(1).await;
    let url = bed.url(0);
    bed.platform.state.arm(PlatformFault {
        kind: row.kind,
        times: row.times,
        writes_only: true,
    });
    let answer = keyed(&bed, &url, KEY, "stream-once", row.name, row.name).await;
    assert_eq!(answer.outcome, row.outcome, "{}: {answer:?}", row.name);
    bed.platform.state.disarm();
    if row.outcome == "not-run" {
        assert!(answer.retry_after.is_some(), "{}: {answer:?}", row.name);
        assert!(bed.runs(row.name).is_empty(), "{}", row.name);
        let again = keyed(&bed, &url, KEY, "stream-once", row.name, row.name).await;
        assert_eq!(again.outcome, "complete", "{}: {again:?}", row.name);
    }
    assert_eq!(bed.runs(row.name).len(), 1, "{}", row.name);
}

#[actix_web::test]
async fn faults_of_the_platform() {
    futures_util::future::join_all(ROWS.iter().map(row)).await;
}

/// Told `not-run` for want of an upstream, a caller may come back with its key.
#[actix_web::test]
async fn a_key_is_given_up_with_a_request_that_was_not_run() {
    let bed = Bed::new(1).await;
    let url = bed.url(0);
    for e in &bed.engines {
        e.state.set_leaving(true);
    }
    let refused = keyed(&bed, &url, KEY, "stream-once", "comes back", "k").await;
    assert_eq!(refused.outcome, "not-run", "{refused:?}");
    for e in &bed.engines {
        e.state.set_leaving(false);
    }
    let again = keyed(&bed, &url, KEY, "stream-once", "comes back", "k").await;
    assert_eq!(again.outcome, "complete", "{again:?}");
    assert_eq!(bed.runs("comes back").len(), 1);
}

/// Nobody answers for the earlier request: it is not run again on a guess.
#[actix_web::test]
async fn a_repeat_after_its_gateway_is_gone_is_refused() {
    let bed = Bed::new(2).await;
    // These gateways do not know each other, as after a restart.
    let first = keyed(&bed, &bed.url(0), KEY, "stream-once", "gone", "k").await;
    assert_eq!(first.outcome, "complete");
    let again = keyed(&bed, &bed.url(1), KEY, "stream-once", "gone", "k").await;
    assert_eq!(
        (again.status, again.outcome.as_str()),
        (409, "unknown"),
        "{again:?}"
    );
    assert_eq!(bed.runs("gone").len(), 1);
}

#[actix_web::test]
async fn a_plain_call_with_a_key_runs_once() {
    let bed = Bed::new(1).await;
    let mut seen = Vec::new();
    for _ in 0..2 {
        let req = bed
            .http
            .post(format!("{}/svc/plain-once/file", bed.url(0)))
            .bearer_auth(KEY);
        let res = req
            .insert_header(("idempotency-key", "k"))
            .send()
            .await
            .unwrap();
        seen.push(res.status().as_u16());
    }
    assert_eq!(seen, [200, 409]);
    assert_eq!(bed.plain_runs("file"), 1);
}
