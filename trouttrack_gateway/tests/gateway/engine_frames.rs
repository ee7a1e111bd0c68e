//! Whatever an engine sends, a caller gets a part of one generation and a true
//! outcome.

use crate::support::{Answer, Bed, KEY, body, fleet, post, settings, settings_text, until};
use actix_web::web::{Bytes, Data, Json, Path};
use actix_web::{App, HttpResponse, HttpServer, web};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use serde_json::{Value, json};
use std::sync::{Arc, Mutex};
use trouttrack_gateway::app::start;

/// What the faulty engine says, for each stream alike.
#[derive(Clone, Debug)]
enum Say {
    /// The token of this index, of this generation, of this stream or another.
    Token(u64, u64, bool),
    /// The end after this many tokens.
    End(u64, u64),
    /// Bytes that are no frame.
    Noise(String),
}

fn say() -> impl Strategy<Value = Say> {
    prop_oneof![
        8 => (0u64..6, 0u64..2, prop::bool::weighted(0.1)).prop_map(|(i, g, other)| Say::Token(i, g, other)),
        1 => (0u64..6, 0u64..2).prop_map(|(n, g)| Say::End(n, g)),
        1 => "(data: \\PC{0,20}\n\n|\\PC{0,20}\n)".prop_map(Say::Noise),
    ]
}

fn write(stream: &str, say: &Say) -> String {
    let frame = |id: &str, generation: u64, token: u64, text: &str, reason: Option<&str>| {
        let json = json!({
            "id": id,
            "choices": [{ "index": 0, "text": text, "finish_reason": reason }],
            "stream": { "generation": generation, "token": token },
        });
        format!("data: {json}\n\n")
    };
    match say {
        Say::Token(i, g, other) => {
            let id = if *other { "of-another" } else { stream };
            frame(id, *g, *i, &format!("<{g}.{i}>"), None)
        }
        Say::End(n, g) => frame(stream, *g, *n, "", Some("stop")),
        Say::Noise(text) => text.clone(),
    }
}

type Script = Mutex<Vec<Say>>;

async fn complete(script: Data<Script>, body: Json<Value>) -> HttpResponse {
    let stream = body["stream_id"].as_str().unwrap_or_default().to_owned();
    answer(&script, &stream)
}

async fn attach(script: Data<Script>, stream: Path<String>) -> HttpResponse {
    answer(&script, &stream)
}

fn answer(script: &Script, stream: &str) -> HttpResponse {
    let says = script.lock().unwrap().clone();
    let text: String = says.iter().map(|s| write(stream, s)).collect();
    HttpResponse::Ok()
        .content_type("text/event-stream")
        .body(Bytes::from(text))
}

fn engine() -> (String, Arc<Script>) {
    let script = Arc::new(Script::default());
    let data = Data::from(Arc::clone(&script));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/v1/completions", web::post().to(complete))
            .route("/v1/streams/{id}", web::get().to(attach))
    })
    .workers(1)
    .disable_signals()
    .bind(("127.0.0.1", 0))
    .unwrap();
    let url = format!("http://{}", server.addrs()[0]);
    actix_rt::spawn(server.run());
    (url, script)
}

/// The text must be the tokens 0, 1, 2 … of one generation.
fn in_order(answer: &Answer) -> bool {
    (0..2u64).any(|g| {
        let whole: String = (0..10).map(|i| format!("<{g}.{i}>")).collect();
        whole.starts_with(&answer.text)
    })
}

/// Attaches once and waits little, so that many cases fit.
fn quick_settings(bed: &Bed) -> String {
    let caller = "[caller]\nlisten = 127.0.0.1:0\nworkers = 1\nhandle_secret = shared\n";
    settings_text(&bed.platform.url(), "gateway-frames", caller)
        .replace("[upstream]\n", "[upstream]\nresumes = 1\nretry_ratio = 1\n")
}

#[actix_web::test]
async fn any_frames_give_a_part_of_one_generation() {
    const CASES: usize = 40;
    let bed = Bed::new(0).await;
    let (url, script) = engine();
    let text = format!(
        "[service s]\nmodel = m\nrepeatable = no\nqueue_deadline = 3s\n[organisation alpha]\nkey = {KEY}\n\
         [upstream faulty]\nurl = {url}\nfailure_domain = a\nservices = s\ncapacity_tokens = 40000\n"
    );
    let version = bed.configure(&fleet(&text)).await;
    let gateway = start(settings(&quick_settings(&bed))).await.unwrap();
    let shared = gateway.shared.clone();
    until("the faulty engine is configured", || {
        shared.view().version() == version
    })
    .await;
    let url = format!("http://{}", gateway.caller_addr);
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    });
    let scripts = prop::collection::vec(say(), 0..10);
    let mut outcomes = std::collections::BTreeSet::new();
    for _ in 0..CASES {
        let says = scripts.new_tree(&mut runner).unwrap().current();
        script.lock().unwrap().clone_from(&says);
        let answer = post(&bed.http, &url, KEY, &body("s", "x", 5, true)).await;
        assert!(in_order(&answer), "{says:?} gave {answer:?}");
        if answer.outcome == "complete" {
            let tokens = answer.ids.len() as u64;
            let said = says
                .iter()
                .any(|s| matches!(s, Say::End(n, _) if *n == tokens));
            assert!(said, "{says:?} gave {answer:?}");
        }
        // The engine takes requests: that it did not run one, is never sure.
        assert!(
            answer.outcome != "not-run" || answer.retry_after.is_some(),
            "{answer:?}"
        );
        outcomes.insert(answer.outcome);
        // A good answer in between keeps the engine's circuit closed, so that
        // the next case reaches it at once.
        *script.lock().unwrap() = vec![Say::Token(0, 0, false), Say::End(1, 0)];
        let good = post(&bed.http, &url, KEY, &body("s", "x", 5, true)).await;
        assert_eq!(good.outcome, "complete", "{good:?}");
    }
    assert!(outcomes.len() > 1, "{outcomes:?}");
}
