//! Queries and explanations.

use crate::support::Bed;
use serde_json::json;
use trouttrack_standin::platform::PlatformFaultKind;

#[actix_rt::test]
async fn tables_have_rows_and_conditions_choose_among_them() {
    let bed = Bed::serving(2, 1).await;
    let _engine = bed.engine().await;
    for (text, rows) in [
        ("show services", 2),
        ("show services where delivery = whole", 1),
        ("show organisations where weight > 1", 1),
        ("show upstreams", 1),
        ("show rules", 0),
        ("show vms where ready = true", 2),
        ("show requests", 0),
        ("show config", 1),
        ("show history limit 1", 1),
    ] {
        let (status, body) = bed.say(text).await;
        assert_eq!(status, 200, "{text}: {body}");
        assert_eq!(
            body["rows"].as_array().unwrap().len(),
            rows,
            "{text}: {body}"
        );
    }
}

#[actix_rt::test]
async fn in_an_outage_the_gateways_configuration_is_shown() {
    let bed = Bed::serving(1, 1).await;
    bed.arm(PlatformFaultKind::Down, None, false);
    let (status, body) = bed.say("show config").await;
    assert_eq!(status, 200, "{body}");
    assert_eq!(body["rows"][0]["from"], "gateways");
    assert_eq!(body["rows"][0]["version"], 1);
}

#[actix_rt::test]
async fn a_request_is_shown_while_it_runs_and_explained_after() {
    let bed = Bed::serving(1, 1).await;
    let _engine = bed.engine().await;
    let url = format!("http://{}/v1/completions", bed.gateways[0].caller_addr);
    let ask = json!({ "model": "lookup", "prompt": "explain [tokens=25]", "stream": true });
    let req = bed.http.post(url).bearer_auth("dealer-key");
    let mut res = req.send_json(&ask).await.unwrap();
    let id = res
        .headers()
        .get("x-request-id")
        .unwrap()
        .to_str()
        .unwrap()
        .to_owned();
    let (_, shown) = bed.say("show requests where organisation = dealer").await;
    assert_eq!(shown["rows"][0]["id"], id.as_str(), "{shown}");
    assert_eq!(shown["rows"][0]["upstream"], "engine-1");
    res.body().await.unwrap();
    let (_, why) = bed.say(&format!("why request {id}")).await;
    assert_eq!(why["decisions"][0]["chosen"], "engine-1", "{why}");
    assert!(
        why["findings"][0]
            .as_str()
            .unwrap()
            .contains("placed on engine-1")
    );
    let (_, why) = bed.say("why request r-unknown").await;
    assert!(why["findings"][0].as_str().unwrap().contains("no gateway"));
}

#[actix_rt::test]
async fn an_upstream_is_explained() {
    let bed = Bed::serving(1, 1).await;
    let _engine = bed.engine().await;
    bed.change("drain engine-1").await;
    let (_, why) = bed.say("why upstream engine-1").await;
    let text = why["findings"].to_string();
    assert!(text.contains("an operator drains it"), "{text}");
    assert!(text.contains("gets no new work"), "{text}");
    assert_eq!(bed.say("why upstream nobody").await.0, 404);
}

#[actix_rt::test]
async fn an_evacuation_is_an_order_that_is_shown() {
    let bed = Bed::serving(1, 1).await;
    let _engine = bed.engine().await;
    let (_, shown) = bed.say("show upstreams").await;
    let domain = shown["rows"][0]["failure_domain"].as_str().unwrap();
    bed.change(&format!("evacuate {domain}")).await;
    let (_, evacuated) = bed.say("show evacuations").await;
    assert_eq!(evacuated["rows"][0]["name"], domain, "{evacuated}");
    let (_, why) = bed.say("why upstream engine-1").await;
    assert!(why["findings"].to_string().contains("gets no new work"));
    bed.change(&format!("take-back {domain}")).await;
    let (_, evacuated) = bed.say("show evacuations").await;
    assert_eq!(evacuated["rows"].as_array().map(Vec::len), Some(0));
}
