//! The engine's face.

use crate::support::{engine, http, options};
use serde_json::{Value, json};
use trouttrack_engine::{CacheEvent, token_text};
use trouttrack_standin::engine::EngineOptions;

async fn post(url: &str, path: &str, body: Value) -> (u16, String) {
    let mut res = http()
        .post(format!("{url}{path}"))
        .send_json(&body)
        .await
        .unwrap();
    let text = res.body().limit(1 << 20).await.unwrap();
    (
        res.status().as_u16(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

async fn get(url: &str, path: &str) -> (u16, String) {
    let mut res = http().get(format!("{url}{path}")).send().await.unwrap();
    let text = res.body().limit(1 << 20).await.unwrap();
    (
        res.status().as_u16(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

async fn delete(url: &str, path: &str) -> Value {
    let mut res = http().delete(format!("{url}{path}")).send().await.unwrap();
    res.json().await.unwrap()
}

fn ask(stream: &str, tokens: u64) -> Value {
    json!({ "model": "m", "prompt": format!("p [tokens={tokens}]"), "stream_id": stream })
}

fn text(sse: &str) -> String {
    let frames = sse.lines().filter_map(|l| l.strip_prefix("data: "));
    let json = frames.filter_map(|d| serde_json::from_str::<Value>(d).ok());
    json.map(|v| {
        v["choices"][0]["text"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    })
    .collect()
}

#[actix_rt::test]
async fn a_stream_can_be_attached_to_from_any_token() {
    let e = engine(options());
    let (status, whole) = post(&e.url(), "/v1/completions", ask("s", 20)).await;
    assert_eq!(status, 200);
    let run = e.state.ledger().remove(0);
    let expected: String = (0..20).map(|i| token_text(run.generation, i)).collect();
    assert_eq!(text(&whole), expected);
    let (_, rest) = get(&e.url(), "/v1/streams/s?from=15").await;
    let expected: String = (15..20).map(|i| token_text(run.generation, i)).collect();
    assert_eq!(text(&rest), expected);
    assert_eq!(get(&e.url(), "/v1/streams/unknown").await.0, 404);
}

#[actix_rt::test]
async fn a_stream_id_runs_once_and_a_fenced_one_never() {
    let e = engine(options());
    post(&e.url(), "/v1/completions", ask("s", 3)).await;
    assert_eq!(post(&e.url(), "/v1/completions", ask("s", 3)).await.0, 409);
    let fenced = delete(&e.url(), "/v1/streams/later").await;
    assert_eq!(fenced["ran"], false);
    assert_eq!(
        post(&e.url(), "/v1/completions", ask("later", 3)).await.0,
        409
    );
    assert_eq!(e.state.ledger().len(), 1);
    let known = delete(&e.url(), "/v1/streams/s").await;
    assert_eq!(known["ran"], true);
    assert_eq!(known["boot"], fenced["boot"]);
    e.state.restart();
    assert_ne!(
        delete(&e.url(), "/v1/streams/s").await["boot"],
        fenced["boot"]
    );
}

#[actix_rt::test]
async fn a_leaving_engine_takes_nothing_new() {
    let e = engine(options());
    e.state.set_leaving(true);
    let (status, body) = post(&e.url(), "/v1/completions", ask("s", 3)).await;
    assert_eq!(status, 503);
    assert!(body.contains("not_started"));
    let (_, load) = get(&e.url(), "/v1/load").await;
    assert!(load.contains("\"leaving\":true"));
}

#[actix_rt::test]
async fn cache_events_are_numbered_and_some_are_lost() {
    let e = engine(EngineOptions {
        lose_every: 3,
        ..options()
    });
    let long = json!({ "model": "m", "prompt": format!("{} [tokens=2]", "x".repeat(64 * 9)) });
    post(&e.url(), "/v1/completions", long).await;
    let (_, body) = get(&e.url(), "/v1/cache/events?after=0").await;
    let events: Vec<CacheEvent> = serde_json::from_str(&body).unwrap();
    let numbers: Vec<u64> = events.iter().map(|e| e.sequence).collect();
    assert_eq!(numbers, [1, 2, 4, 5, 7, 8]);
}

#[actix_rt::test]
async fn orders_of_an_old_epoch_are_refused_by_an_engine_that_checks() {
    for (checks, expected) in [(true, 409), (false, 200)] {
        let e = engine(EngineOptions {
            checks_fence: checks,
            ..options()
        });
        let order = |epoch: u64, role: &str| json!({ "epoch": epoch, "order": "change-role", "role": role });
        assert_eq!(post(&e.url(), "/v1/orders", order(5, "new")).await.0, 200);
        assert_eq!(
            post(&e.url(), "/v1/orders", order(4, "old")).await.0,
            expected
        );
        let role = if checks { "new" } else { "old" };
        assert_eq!(e.state.orders().role, role);
    }
}
