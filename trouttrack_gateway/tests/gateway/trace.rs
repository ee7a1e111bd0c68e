//! A span for each hop, exported by OTLP.

use crate::support::{Bed, KEY, body, until};
use actix_web::web::{Bytes, Data};
use actix_web::{App, HttpResponse, HttpServer, web};
use serde_json::Value;
use std::sync::{Arc, Mutex};

type Seen = Arc<Mutex<Vec<Value>>>;

async fn collect(seen: Data<Mutex<Vec<Value>>>, body: Bytes) -> HttpResponse {
    let value = serde_json::from_slice(&body).expect("OTLP over HTTP in JSON");
    seen.lock().unwrap().push(value);
    HttpResponse::Ok().json(serde_json::json!({}))
}

fn collector() -> (String, Seen) {
    let seen = Seen::default();
    let data = Data::from(Arc::clone(&seen));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .route("/v1/traces", web::post().to(collect))
    })
    .workers(1)
    .disable_signals()
    .bind(("127.0.0.1", 0))
    .unwrap();
    let url = format!("http://{}/v1/traces", server.addrs()[0]);
    actix_rt::spawn(server.run());
    (url, seen)
}

fn spans(seen: &Seen) -> Vec<Value> {
    let batches = seen.lock().unwrap();
    let resources = batches
        .iter()
        .flat_map(|b| b["resourceSpans"].as_array().cloned().unwrap_or_default());
    resources
        .flat_map(|r| r["scopeSpans"].as_array().cloned().unwrap_or_default())
        .flat_map(|s| s["spans"].as_array().cloned().unwrap_or_default())
        .collect()
}

#[actix_web::test]
async fn every_hop_has_a_span_below_the_callers() {
    const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
    let (url, seen) = collector();
    let extra = format!(
        "[caller]\nlisten = 127.0.0.1:0\nworkers = 1\nhandle_secret = shared\n[trace]\notlp_url = {url}\n"
    );
    let bed = Bed::with_settings(1, &extra).await;
    let req = bed
        .http
        .post(format!("{}/v1/completions", bed.url(0)))
        .bearer_auth(KEY)
        .insert_header(("traceparent", format!("00-{TRACE}-b7ad6b7169203331-01")));
    let json = body("stream-many", "traced", 5, true);
    req.send_json(&json).await.unwrap().body().await.unwrap();
    let names = || -> Vec<String> {
        let mine = spans(&seen)
            .into_iter()
            .filter(|s| s["traceId"] == TRACE)
            .filter_map(|s| s["name"].as_str().map(str::to_owned));
        mine.collect()
    };
    until("the spans are exported", || {
        names().contains(&"completion".to_owned())
    })
    .await;
    for hop in ["queue", "hand-over", "first token", "stream"] {
        assert!(names().contains(&hop.to_owned()), "{hop} in {:?}", names());
    }
}
