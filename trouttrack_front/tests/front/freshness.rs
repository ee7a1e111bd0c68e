//! Keys: served only while the configuration is known to be current.

use crate::support::{Bed, HOST, PLAIN, config, plain, until};
use std::time::{Duration, Instant};
use trouttrack_config::settings::BoundSettings;
use trouttrack_platform_standin::{CallerRequest, StoreFault};

/// The bound on removed keys in these tests.
const SHORT: &str = "[bounds]\nrevoke = 1500ms\nconfig_apply = 1s\n";

/// A strict bound on removed keys.
fn bounds(revoke: Duration) -> BoundSettings {
    BoundSettings {
        revoke,
        revoke_strict: true,
        config_apply: Duration::from_secs(1),
        evacuate: Duration::from_secs(5),
        grace: Duration::from_secs(8),
    }
}

#[actix_rt::test]
async fn a_removed_key_is_refused() {
    let bed = Bed::new(PLAIN).await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
    let mut next = config(2);
    next.organisations
        .iter_mut()
        .flatten()
        .for_each(|o| o.keys.clear());
    bed.store.put_config(&next);
    until("version 2 is in force", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    assert_eq!(bed.send(&plain("r2", "many")).await.status, 401);
}

#[actix_rt::test]
async fn out_of_touch_no_key_is_believed_and_none_is_denied() {
    for fault in [StoreFault::Refuse, StoreFault::Silent, StoreFault::Reset] {
        let bed = Bed::with(PLAIN, SHORT).await;
        bed.store.set_fault(fault);
        until("it is stale", || !bed.front.front.routing.is_fresh()).await;
        let reply = bed.send(&plain("r1", "many")).await;
        assert_eq!(reply.status, 503, "{fault:?}");
        assert!(reply.retry_after.is_some(), "{fault:?}");
        // What is not known may exist by now: it is not denied either.
        assert_eq!(bed.send(&plain("r2", "many").key("new")).await.status, 503);
        assert_eq!(bed.send(&plain("r3", "unknown")).await.status, 503);
        // What needs no key is served on.
        let open = CallerRequest::get("r4", HOST, "/open/x");
        assert_eq!(bed.send(&open).await.status, 200, "{fault:?}");
        bed.store.set_fault(StoreFault::None);
        until("it is fresh again", || bed.front.front.routing.is_fresh()).await;
        assert_eq!(
            bed.send(&plain("r5", "many")).await.status,
            200,
            "{fault:?}"
        );
    }
}

#[actix_rt::test]
async fn where_the_bound_is_not_strict_known_keys_are_served_through_an_outage() {
    let lax = format!("{SHORT}revoke_strict = false\n");
    for fault in [StoreFault::Refuse, StoreFault::Silent, StoreFault::Reset] {
        let bed = Bed::with(PLAIN, &lax).await;
        bed.store.set_fault(fault);
        until("it is stale", || !bed.front.front.routing.is_fresh()).await;
        let reply = bed.send(&plain("r1", "many")).await;
        assert_eq!(reply.status, 200, "{fault:?}");
        // What is not known may exist by now: it is not denied.
        assert_eq!(bed.send(&plain("r2", "many").key("new")).await.status, 503);
        assert_eq!(bed.send(&plain("r3", "unknown")).await.status, 503);
        assert!(bed.ran("r2").is_empty(), "{fault:?}");
    }
}

#[actix_rt::test]
async fn a_strict_bound_is_in_force_from_its_reload_on() {
    let lax = format!("{SHORT}revoke_strict = false\n");
    let bed = Bed::with(PLAIN, &lax).await;
    bed.store.set_fault(StoreFault::Refuse);
    let routing = &bed.front.front.routing;
    until("it is stale", || !routing.is_fresh()).await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
    routing.set_bounds(&bounds(Duration::from_millis(1500)));
    assert_eq!(bed.send(&plain("r2", "many")).await.status, 503);
}

#[actix_rt::test]
async fn a_watch_that_waits_confirms_nothing() {
    let bed = Bed::with(PLAIN, SHORT).await;
    bed.store.set_fault(StoreFault::DeafWatches);
    let mut next = config(2);
    next.organisations
        .iter_mut()
        .flatten()
        .for_each(|o| o.keys.clear());
    bed.store.put_config(&next);
    until("the removal is found by reading", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 401);
}

#[actix_rt::test]
async fn a_lower_bound_is_confirmed_more_often_from_its_reload_on() {
    let long = "[bounds]\nrevoke = 600s\nconfig_apply = 300s\n";
    let bed = Bed::with(PLAIN, long).await;
    // Only the own confirming calls are heard.
    bed.store.set_fault(StoreFault::DeafWatches);
    let routing = &bed.front.front.routing;
    routing.set_bounds(&bounds(Duration::from_millis(1500)));
    let reloaded_at = Instant::now();
    until("a call sent since the reload confirmed", || {
        routing.age().is_some_and(|age| age < reloaded_at.elapsed())
    })
    .await;
}

#[actix_rt::test]
async fn a_vm_that_wakes_believes_no_key_until_that_is_confirmed() {
    let bed = Bed::with(PLAIN, SHORT).await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
    // Its key may have been removed meanwhile, and nobody could tell this VM.
    bed.store.set_fault(StoreFault::Silent);
    bed.front.front.clock.suspended(Duration::from_secs(10));
    assert!(!bed.front.front.routing.is_fresh());
    let reply = bed.send(&plain("r2", "many")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after.is_some());
    assert!(bed.ran("r2").is_empty());
    bed.store.set_fault(StoreFault::None);
    until("it is confirmed", || bed.front.front.routing.is_fresh()).await;
    assert_eq!(bed.send(&plain("r3", "many")).await.status, 200);
}
