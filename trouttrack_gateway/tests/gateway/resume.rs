//! A caller that lost its connection comes back, to any gateway.

use crate::support::{Answer, Bed, KEY, OTHER_KEY, body, text_of, until};
use futures_util::StreamExt;

/// Reads a stream up to `tokens` tokens, then drops the connection.
async fn read_some(bed: &Bed, marker: &str, tokens: usize) -> (String, String, u64) {
    let json = body("stream-many", marker, 200, true);
    let req = bed.http.post(format!("{}/v1/completions", bed.url(0)));
    let mut res = req.bearer_auth(KEY).send_json(&json).await.unwrap();
    let handle = res.headers().get("x-resume").unwrap();
    let handle = handle.to_str().unwrap().to_owned();
    let mut raw = String::new();
    while raw.matches("id: ").count() < tokens {
        raw += std::str::from_utf8(&res.next().await.unwrap().unwrap()).unwrap();
    }
    let (complete, _) = raw.rsplit_once("\n\n").unwrap();
    let last = complete.rsplit_once("id: ").unwrap().1;
    let last = last.split_once('\n').unwrap().0.parse().unwrap();
    let seen = complete
        .lines()
        .filter_map(|l| l.strip_prefix("data: "))
        .map(|d| serde_json::from_str::<serde_json::Value>(d).unwrap())
        .map(|v| v["choices"][0]["text"].as_str().unwrap().to_owned())
        .collect();
    (handle, seen, last)
}

async fn come_back(
    bed: &Bed,
    gateway: usize,
    key: &str,
    handle: &str,
    last: Option<u64>,
) -> Answer {
    let mut req = bed
        .http
        .get(format!("{}/v1/requests/{handle}", bed.url(gateway)))
        .bearer_auth(key);
    if let Some(last) = last {
        req = req.insert_header(("last-event-id", last.to_string()));
    }
    let mut res = req.send().await.unwrap();
    let raw = res.body().limit(1 << 20).await.unwrap();
    Answer::of(res.status().as_u16(), res.headers(), &raw)
}

#[actix_web::test]
async fn the_rest_comes_from_the_same_generation_at_another_gateway() {
    let bed = Bed::new(2).await;
    let (handle, seen, last) = read_some(&bed, "comes back", 7).await;
    let rest = come_back(&bed, 1, KEY, &handle, Some(last)).await;
    assert_eq!(rest.outcome, "complete", "{rest:?}");
    assert_eq!(rest.ids.first(), Some(&(last + 1)));
    let runs = bed.runs("comes back");
    assert_eq!(runs.len(), 1);
    assert_eq!(seen + &rest.text, text_of(runs[0].generation, 200));
}

#[actix_web::test]
async fn the_rest_comes_after_the_gateway_was_killed() {
    let bed = Bed::new(2).await;
    let (handle, seen, last) = read_some(&bed, "gateway dies", 7).await;
    bed.gateways[0].kill().await;
    let rest = come_back(&bed, 1, KEY, &handle, Some(last)).await;
    assert_eq!(rest.outcome, "complete", "{rest:?}");
    let runs = bed.runs("gateway dies");
    assert_eq!(seen + &rest.text, text_of(runs[0].generation, 200));
}

#[actix_web::test]
async fn without_an_event_id_the_whole_stream_comes_again() {
    let bed = Bed::new(2).await;
    let (handle, _, _) = read_some(&bed, "from the start", 3).await;
    let all = come_back(&bed, 1, KEY, &handle, None).await;
    let runs = bed.runs("from the start");
    assert_eq!(all.text, text_of(runs[0].generation, 200));
}

#[actix_web::test]
async fn a_handle_serves_its_own_organisation_only() {
    let bed = Bed::new(1).await;
    let (handle, _, last) = read_some(&bed, "mine", 3).await;
    let theirs = come_back(&bed, 0, OTHER_KEY, &handle, Some(last)).await;
    assert_eq!((theirs.status, theirs.code.as_str()), (404, "bad_handle"));
    let mut forged = handle.clone().into_bytes();
    let last_byte = forged.len() - 2;
    forged[last_byte] = if forged[last_byte] == b'A' {
        b'B'
    } else {
        b'A'
    };
    let forged = String::from_utf8(forged).unwrap();
    let answer = come_back(&bed, 0, KEY, &forged, Some(last)).await;
    assert_eq!((answer.status, answer.code.as_str()), (404, "bad_handle"));
}

#[actix_web::test]
async fn a_caller_that_stays_away_has_its_stream_cancelled() {
    const CALLER: &str = "[caller]\nlisten = 127.0.0.1:0\nworkers = 1\nhandle_secret = shared\nreconnect_grace = 50ms\n";
    let bed = Bed::with_settings(1, CALLER).await;
    let json = body("stream-many", "stays away", 30_000, true);
    let req = bed.http.post(format!("{}/v1/completions", bed.url(0)));
    let mut res = req.bearer_auth(KEY).send_json(&json).await.unwrap();
    res.next().await.unwrap().unwrap();
    drop(res);
    until("the engine is idle again", || {
        let state = &bed.engines[0].state;
        state.is_idle() && bed.engines[1].state.is_idle()
    })
    .await;
    assert!(!bed.runs("stays away")[0].finished);
    until("the gateway counts nothing", || {
        bed.gateways[0].shared.in_flight() == 0
    })
    .await;
}
