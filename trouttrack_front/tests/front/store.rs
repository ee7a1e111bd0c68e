//! Tests of starting and serving while the store is unavailable.

use crate::support::{HOST, PLAIN, config, plain, settings, until};
use trouttrack_front::app::start;
use trouttrack_platform_standin::{CallerRequest, Store, StoreFault, Upstream};

#[actix_rt::test]
async fn a_vm_started_without_the_store_is_not_ready_and_rejects_nothing() {
    let store = Store::start().await;
    store.set_fault(StoreFault::Silent);
    let running = start(&settings(&store, "front-1", ""))
        .await
        .expect("a front");
    assert!(!running.front.lifecycle.is_ready());
    let reply = plain("r1", "many").send(running.callers).await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after.is_some());
    store.put_config(&config(4));
    let upstream = Upstream::start("u1", PLAIN, "a").await;
    store.put_upstream(&upstream, false);
    store.set_fault(StoreFault::None);
    until("the VM is ready", || running.front.lifecycle.is_ready()).await;
    until("keys are confirmed", || running.front.routing.is_fresh()).await;
    assert_eq!(plain("r2", "many").send(running.callers).await.status, 200);
}

#[actix_rt::test]
async fn public_routes_are_served_during_a_store_outage() {
    let bed = crate::support::Bed::new(PLAIN).await;
    for fault in [StoreFault::Refuse, StoreFault::Silent, StoreFault::Reset] {
        bed.store.set_fault(fault);
        let open = CallerRequest::get("r1", HOST, "/open/x");
        assert_eq!(bed.send(&open).await.status, 200, "{fault:?}");
        assert!(bed.front.front.lifecycle.is_ready());
    }
}
