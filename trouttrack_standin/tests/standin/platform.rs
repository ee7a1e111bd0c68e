//! The object API's face; its client has tests of its own.

use crate::support::{any_port, http};
use std::time::Duration;
use trouttrack_standin::platform::{Rates, VmEntry, VmState, start};

#[actix_rt::test]
async fn the_vm_list_lags() {
    let lag = Duration::from_millis(300);
    let p = start(any_port(), Rates::default(), lag)
        .unwrap()
        .background();
    p.state.set_vms(vec![VmEntry {
        name: "g1".into(),
        addr: "127.0.0.1:1".into(),
        failure_domain: "a".into(),
        state: VmState::Live,
    }]);
    let list = async || {
        let mut res = http()
            .get(format!("{}/v1/vms", p.url()))
            .send()
            .await
            .unwrap();
        res.json::<Vec<VmEntry>>().await.unwrap().len()
    };
    assert_eq!(list().await, 0);
    while list().await == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[actix_rt::test]
async fn every_call_is_counted_a_watch_too() {
    let p = start(any_port(), Rates::default(), Duration::ZERO)
        .unwrap()
        .background();
    let url = p.url();
    for path in [
        "/v1/objects/x",
        "/v1/list?prefix=x",
        "/v1/watch?prefix=x&since=0&wait_ms=1",
    ] {
        http().get(format!("{url}{path}")).send().await.unwrap();
    }
    http()
        .put(format!("{url}/v1/objects/x"))
        .send_body("1")
        .await
        .unwrap();
    let calls = p.state.calls();
    assert_eq!((calls.reads, calls.writes, calls.watches), (2, 1, 1));
}
