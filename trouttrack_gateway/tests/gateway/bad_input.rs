//! Each kind of bad input gets a clear error, and the rest goes on.

use crate::support::{Bed, KEY, OTHER_KEY, body, post};
use serde_json::{Value, json};
use std::fmt::Write as _;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Case {
    name: &'static str,
    path: &'static str,
    key: Option<&'static str>,
    body: &'static str,
}

const COMPLETIONS: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";

#[rustfmt::skip]
const CASES: &[Case] = &[
    Case { name: "not JSON",          path: COMPLETIONS, key: Some(KEY), body: "{\"model\": " },
    Case { name: "not an object",     path: COMPLETIONS, key: Some(KEY), body: "[1]" },
    Case { name: "no model",          path: COMPLETIONS, key: Some(KEY), body: "{\"prompt\": \"p\"}" },
    Case { name: "no prompt",         path: COMPLETIONS, key: Some(KEY), body: "{\"model\": \"stream-many\"}" },
    Case { name: "prompt is a list",  path: COMPLETIONS, key: Some(KEY), body: "{\"model\": \"stream-many\", \"prompt\": [\"a\"]}" },
    Case { name: "stream is a text",  path: COMPLETIONS, key: Some(KEY), body: "{\"model\": \"stream-many\", \"prompt\": \"p\", \"stream\": \"yes\"}" },
    Case { name: "two answers",       path: COMPLETIONS, key: Some(KEY), body: "{\"model\": \"stream-many\", \"prompt\": \"p\", \"n\": 2}" },
    Case { name: "max_tokens zero",   path: COMPLETIONS, key: Some(KEY), body: "{\"model\": \"stream-many\", \"prompt\": \"p\", \"max_tokens\": 0}" },
    Case { name: "no messages",       path: CHAT,        key: Some(KEY), body: "{\"model\": \"stream-many\", \"messages\": []}" },
    Case { name: "message half",      path: CHAT,        key: Some(KEY), body: "{\"model\": \"stream-many\", \"messages\": [{\"role\": \"user\"}]}" },
    Case { name: "unknown model",     path: COMPLETIONS, key: Some(KEY), body: "{\"model\": \"nobody\", \"prompt\": \"p\"}" },
    Case { name: "plain as a model",  path: COMPLETIONS, key: Some(KEY), body: "{\"model\": \"plain-many\", \"prompt\": \"p\"}" },
    Case { name: "unknown service",   path: "/svc/nobody/x", key: Some(KEY), body: "" },
    Case { name: "model as a plain",  path: "/svc/stream-many/x", key: Some(KEY), body: "" },
    Case { name: "wrong key",         path: COMPLETIONS, key: Some("not-a-key"), body: "{}" },
    Case { name: "no key",            path: COMPLETIONS, key: None, body: "{}" },
    Case { name: "unknown path",      path: "/v2/completions", key: Some(KEY), body: "{}" },
];

/// The parts of an error that stay the same each time.
fn steady(status: u16, body: &str) -> String {
    let mut json: Value = serde_json::from_str(body).unwrap_or(Value::Null);
    if let Some(error) = json["error"].as_object_mut() {
        error.remove("request_id");
    }
    format!("{status} {json}")
}

#[actix_web::test]
async fn errors_are_clear() {
    let bed = Bed::new(1).await;
    let mut seen = String::new();
    for case in CASES {
        let mut req = bed.http.post(format!("{}{}", bed.url(0), case.path));
        if let Some(key) = case.key {
            req = req.bearer_auth(key);
        }
        let mut res = req.send_body(case.body).await.unwrap();
        let text = res.body().await.unwrap();
        let text = String::from_utf8_lossy(&text);
        let _ = writeln!(
            seen,
            "{}: {}",
            case.name,
            steady(res.status().as_u16(), &text)
        );
    }
    insta::assert_snapshot!(seen);
    // The rest goes on, and no bad request reached an engine.
    assert_eq!(bed.runs("").len(), 0);
    assert_eq!(bed.ask("stream-many", "after", 3).await.outcome, "complete");
}

#[actix_web::test]
async fn a_body_over_the_limit_is_refused() {
    let bed = Bed::new(1).await;
    let big = body("stream-many", &"x".repeat(2 << 20), 1, true);
    let answer = post(&bed.http, &bed.url(0), KEY, &big).await;
    assert_eq!((answer.status, answer.code.as_str()), (413, "too_large"));
    assert!(answer.handle.is_none());
    assert!(bed.runs("").is_empty());
}

async fn raw(bed: &Bed, sent: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(bed.gateways[0].caller_addr)
        .await
        .unwrap();
    stream.write_all(sent.as_bytes()).await.unwrap();
    (stream, String::new())
}

#[actix_web::test]
async fn a_caller_that_never_ends_its_body_is_told_so() {
    let bed = Bed::new(1).await;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: g\r\nauthorization: Bearer {KEY}\r\ncontent-length: 500\r\n\r\n{{\"model\""
    );
    let (mut stream, mut text) = raw(&bed, &head).await;
    stream.read_to_string(&mut text).await.unwrap();
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains("slow_body"), "{text}");
    assert_eq!(bed.ask("stream-many", "after", 3).await.outcome, "complete");
}

#[actix_web::test]
async fn headers_over_the_limit_are_refused() {
    let bed = Bed::new(1).await;
    let head = format!(
        "GET /healthz HTTP/1.1\r\nhost: g\r\nx-long: {}\r\n\r\n",
        "x".repeat(200_000)
    );
    let mut stream = TcpStream::connect(bed.gateways[0].caller_addr)
        .await
        .unwrap();
    // The gateway may close before all of it is written.
    let _ = stream.write_all(head.as_bytes()).await;
    let mut text = Vec::new();
    let _ = stream.read_to_end(&mut text).await;
    let text = String::from_utf8_lossy(&text);
    assert!(!text.starts_with("HTTP/1.1 200"), "{text}");
    assert_eq!(bed.ask("stream-many", "after", 3).await.outcome, "complete");
}

#[actix_web::test]
async fn a_half_closed_caller_gets_its_whole_answer() {
    let bed = Bed::new(1).await;
    let json = body("stream-many", "half closed", 30, true).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: g\r\nauthorization: Bearer {KEY}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{json}",
        json.len()
    );
    let (mut stream, mut text) = raw(&bed, &head).await;
    stream.shutdown().await.unwrap();
    stream.read_to_string(&mut text).await.unwrap();
    assert!(text.contains("\"outcome\":\"complete\""), "{text}");
    assert!(text.contains("[DONE]"), "{text}");
}

/// A caller that does not read holds up neither the engine nor others.
#[actix_web::test]
async fn a_slow_caller_costs_others_nothing() {
    let bed = Bed::new(1).await;
    let json = body("stream-many", "slow caller", 30_000, true).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: g\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{json}",
        json.len()
    );
    let (stream, _) = raw(&bed, &head).await;
    crate::support::until("the slow stream runs", || {
        bed.runs("slow caller")
            .first()
            .is_some_and(|r| r.written > 0)
    })
    .await;
    for i in 0..5 {
        let answer = bed.ask("stream-many", &format!("quick {i}"), 20).await;
        assert_eq!(answer.outcome, "complete");
    }
    drop(stream);
}

#[actix_web::test]
async fn an_organisation_over_its_limit_waits_and_others_go_on() {
    let bed = Bed::new(1).await;
    let url = bed.url(0);
    let slow = body("stream-many", "beta one", 300, true);
    let waits = body("stream-many", "beta two", 5, true);
    let first = post(&bed.http, &url, OTHER_KEY, &slow);
    let others = async {
        crate::support::until("the first runs", || !bed.runs("beta one").is_empty()).await;
        let second = post(&bed.http, &url, OTHER_KEY, &waits);
        let alpha = bed.ask("stream-many", "alpha", 5);
        let (second, alpha) = futures_util::join!(second, alpha);
        assert_eq!(alpha.outcome, "complete");
        second
    };
    let (first, second) = futures_util::join!(first, others);
    assert_eq!(first.outcome, "complete");
    assert_eq!(second.outcome, "complete");
    let (one, two) = (bed.runs("beta one"), bed.runs("beta two"));
    assert!(one[0].finished && two[0].finished);
}

#[actix_web::test]
async fn chat_and_unstreamed_answers_and_rules() {
    let bed = Bed::new(1).await;
    for stream in [true, false] {
        let chat = json!({
            "model": "old-name",
            "messages": [{ "role": "user", "content": format!("chat {stream} [tokens=12]") }],
            "stream": stream,
        });
        let answer = post(&bed.http, &bed.url(0), KEY, &chat).await;
        assert_eq!(answer.outcome, "complete", "{answer:?}");
        let runs = bed.runs(&format!("chat {stream}"));
        assert!(
            crate::support::from_one_run(&answer, &runs, true),
            "{answer:?}"
        );
    }
}

/// Whatever stands in the headers that the gateway reads, a caller gets an
/// answer that names its request, and the rest goes on.
#[actix_web::test]
async fn any_header_values_are_taken_or_refused() {
    use proptest::prelude::*;
    use proptest::strategy::ValueTree;
    use proptest::test_runner::{RngSeed, TestRunner};
    const CASES: usize = 60;
    let bed = Bed::new(1).await;
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    });
    let value = "[ -~]{0,40}|00-[0-9a-f]{32}-[0-9a-f]{16}-0[01]|[0-9]{1,25}";
    let values = (value, value, value, value);
    for _ in 0..CASES {
        let (trace, key, last, auth) = values.new_tree(&mut runner).unwrap().current();
        for (path, known) in [
            ("/v1/completions", true),
            ("/v1/requests/none", true),
            ("/v1/models", false),
        ] {
            let auth = if known {
                format!("Bearer {KEY}")
            } else {
                auth.clone()
            };
            let method = if path.ends_with("completions") {
                "POST"
            } else {
                "GET"
            };
            let url = format!("{}{path}", bed.url(0));
            let req = bed.http.request(method.parse().unwrap(), url);
            let req = req
                .insert_header(("authorization", auth.as_str()))
                .insert_header(("traceparent", trace.as_str()))
                .insert_header(("idempotency-key", key.as_str()))
                .insert_header(("last-event-id", last.as_str()));
            let mut res = req
                .send_json(&body("stream-many", "headers", 1, false))
                .await
                .unwrap();
            let status = res.status().as_u16();
            let text = res.body().await.unwrap();
            let json: Value = serde_json::from_slice(&text).unwrap();
            let context = format!("{path} {trace:?} {key:?} {last:?} {auth:?}: {status} {json}");
            assert!([200, 400, 401, 404, 409].contains(&status), "{context}");
            let named = json["error"]["request_id"].is_string();
            assert!(status == 200 || named, "{context}");
        }
    }
    assert_eq!(bed.ask("stream-many", "after", 3).await.outcome, "complete");
}
