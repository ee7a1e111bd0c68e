//! Whatever the platform answers, the client ends, and takes nothing for done
//! that does not say so.

use actix_web::http::StatusCode;
use actix_web::web::{Bytes as Body, Data};
use actix_web::{App, HttpResponse, HttpServer, web};
use bytes::Bytes;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{RngSeed, TestRunner};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trouttrack_config::settings::PlatformSettings;
use trouttrack_state::config_store::Stored;
use trouttrack_state::{Condition, ConfigStore, ObjectClient, Write};

#[derive(Clone, Debug)]
struct Say {
    status: u16,
    etag: Option<String>,
    body: Vec<u8>,
}

fn say() -> impl Strategy<Value = Say> {
    let status = prop::sample::select(vec![200u16, 200, 200, 404, 412, 429, 500, 503]);
    let etag = prop::option::of("\"?[0-9]{0,22}\"?|[ -~]{0,10}");
    let body = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..40),
        "\\{\"version\": ?(-?[0-9]{0,22}|null|\"x\")\\}?".prop_map(String::into_bytes),
        "\\{\"revision\":[0-9]{1,3},\"complete\":true,\"changes\":\\[\\]\\}?"
            .prop_map(String::into_bytes),
        Just(b"[]".to_vec()),
    ];
    (status, etag, body).prop_map(|(status, etag, body)| Say { status, etag, body })
}

async fn answer(say: Data<Mutex<Say>>) -> HttpResponse {
    let say = say.lock().unwrap().clone();
    let mut res = HttpResponse::build(StatusCode::from_u16(say.status).unwrap());
    if let Some(etag) = say.etag {
        res.insert_header(("etag", etag));
    }
    res.body(Body::from(say.body))
}

fn platform() -> (ObjectClient, Arc<Mutex<Say>>) {
    let say = Arc::new(Mutex::new(Say {
        status: 404,
        etag: None,
        body: Vec::new(),
    }));
    let data = Data::from(Arc::clone(&say));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(data.clone())
            .default_service(web::route().to(answer))
    })
    .workers(1)
    .disable_signals()
    .bind(("127.0.0.1", 0))
    .unwrap();
    let url = format!("http://{}", server.addrs()[0]);
    actix_rt::spawn(server.run());
    let client = ObjectClient::new(&PlatformSettings {
        url,
        timeout: Duration::from_millis(500),
        calls_per_second: 10_000.0,
    });
    (client, say)
}

#[actix_rt::test]
async fn any_answer_is_taken_or_refused() {
    const CASES: usize = 150;
    let (client, script) = platform();
    let store = ConfigStore::new(client.clone());
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    });
    let mut done = 0;
    for _ in 0..CASES {
        let said = say().new_tree(&mut runner).unwrap().current();
        *script.lock().unwrap() = said.clone();
        let body = Bytes::from_static(b"x");
        let written = client.put("k", Condition::Version(1), body).await;
        match &written {
            Ok(Write::Done(_)) => {
                assert_eq!(said.status, 200, "{said:?}");
                done += 1;
            }
            Ok(Write::Refused(_)) => assert_eq!(said.status, 412, "{said:?}"),
            // Only what the API promises to be without effect is called so.
            Err(e) if e.had_no_effect() => assert!(
                [404, 412, 429, 503].contains(&said.status),
                "{said:?} gave {e}"
            ),
            Err(_) => {}
        }
        if let Ok(Some(object)) = client.get("k").await {
            assert_eq!(object.body, said.body, "{said:?}");
        }
        if let Ok(stored) = store.root().await {
            assert!(
                said.status == 404 && stored == Stored::default(),
                "{said:?}"
            );
        }
        let _ = client.vms().await;
        let _ = client.list("k").await;
        let _ = client.watch("k", 0, Duration::from_millis(1)).await;
    }
    assert!(done > 0, "no case was a proper answer");
}
