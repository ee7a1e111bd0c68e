//! Tests that keys are accepted only while the configuration is confirmed to be current.

use crate::support::{Bed, HOST, PLAIN, config, plain, until};
use std::time::{Duration, Instant};
use trouttrack_config::settings::BoundSettings;
use trouttrack_platform_standin::{CallerRequest, StoreFault};

/// Settings with a short bound for revoking removed keys.
const SHORT_REVOKE_BOUND: &str = "[bounds]\nrevoke = 1500ms\nconfig_apply = 1s\n";

/// Returns bounds with a strict bound for revoking removed keys.
fn strict_bounds(revoke: Duration) -> BoundSettings {
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
async fn without_the_store_keys_are_neither_accepted_nor_rejected() {
    for fault in [StoreFault::Refuse, StoreFault::Silent, StoreFault::Reset] {
        let bed = Bed::with(PLAIN, SHORT_REVOKE_BOUND).await;
        bed.store.set_fault(fault);
        until("the configuration is stale", || {
            !bed.front.front.routing.is_fresh()
        })
        .await;
        let reply = bed.send(&plain("r1", "many")).await;
        assert_eq!(reply.status, 503, "{fault:?}");
        assert!(reply.retry_after.is_some(), "{fault:?}");
        // An unknown key or route may have been added since, so it is not rejected.
        assert_eq!(bed.send(&plain("r2", "many").key("new")).await.status, 503);
        assert_eq!(bed.send(&plain("r3", "unknown")).await.status, 503);
        // Public routes are still served.
        let open = CallerRequest::get("r4", HOST, "/open/x");
        assert_eq!(bed.send(&open).await.status, 200, "{fault:?}");
        bed.store.set_fault(StoreFault::None);
        until("the configuration is confirmed again", || {
            bed.front.front.routing.is_fresh()
        })
        .await;
        assert_eq!(
            bed.send(&plain("r5", "many")).await.status,
            200,
            "{fault:?}"
        );
    }
}

#[actix_rt::test]
async fn without_a_strict_bound_known_keys_are_accepted_during_an_outage() {
    let settings = format!("{SHORT_REVOKE_BOUND}revoke_strict = false\n");
    for fault in [StoreFault::Refuse, StoreFault::Silent, StoreFault::Reset] {
        let bed = Bed::with(PLAIN, &settings).await;
        bed.store.set_fault(fault);
        until("the configuration is stale", || {
            !bed.front.front.routing.is_fresh()
        })
        .await;
        let reply = bed.send(&plain("r1", "many")).await;
        assert_eq!(reply.status, 200, "{fault:?}");
        // An unknown key or route may have been added since, so it is not rejected.
        assert_eq!(bed.send(&plain("r2", "many").key("new")).await.status, 503);
        assert_eq!(bed.send(&plain("r3", "unknown")).await.status, 503);
        assert!(bed.ran("r2").is_empty(), "{fault:?}");
    }
}

#[actix_rt::test]
async fn a_strict_bound_takes_effect_on_reload() {
    let settings = format!("{SHORT_REVOKE_BOUND}revoke_strict = false\n");
    let bed = Bed::with(PLAIN, &settings).await;
    bed.store.set_fault(StoreFault::Refuse);
    let routing = &bed.front.front.routing;
    until("the configuration is stale", || !routing.is_fresh()).await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
    routing.set_bounds(&strict_bounds(Duration::from_millis(1500)));
    assert_eq!(bed.send(&plain("r2", "many")).await.status, 503);
}

#[actix_rt::test]
async fn a_silent_watch_does_not_confirm_the_configuration() {
    let bed = Bed::with(PLAIN, SHORT_REVOKE_BOUND).await;
    bed.store.set_fault(StoreFault::DeafWatches);
    let mut next = config(2);
    next.organisations
        .iter_mut()
        .flatten()
        .for_each(|o| o.keys.clear());
    bed.store.put_config(&next);
    until("the removal is found by a confirmation call", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 401);
}

#[actix_rt::test]
async fn a_lower_bound_takes_effect_on_reload() {
    let settings = "[bounds]\nrevoke = 600s\nconfig_apply = 300s\n";
    let bed = Bed::with(PLAIN, settings).await;
    // Watches deliver nothing, so only this VM's confirmation calls succeed.
    bed.store.set_fault(StoreFault::DeafWatches);
    let routing = &bed.front.front.routing;
    routing.set_bounds(&strict_bounds(Duration::from_millis(1500)));
    let reloaded_at = Instant::now();
    until("a call sent after the reload confirmed it", || {
        routing.age().is_some_and(|age| age < reloaded_at.elapsed())
    })
    .await;
}

#[actix_rt::test]
async fn after_a_suspend_no_key_is_accepted_until_confirmed() {
    let bed = Bed::with(PLAIN, SHORT_REVOKE_BOUND).await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
    // The key may have been removed while the VM was suspended, without this VM being notified.
    bed.store.set_fault(StoreFault::Silent);
    bed.front.front.clock.suspended(Duration::from_secs(10));
    assert!(!bed.front.front.routing.is_fresh());
    let reply = bed.send(&plain("r2", "many")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after.is_some());
    assert!(bed.ran("r2").is_empty());
    bed.store.set_fault(StoreFault::None);
    until("the configuration is confirmed", || {
        bed.front.front.routing.is_fresh()
    })
    .await;
    assert_eq!(bed.send(&plain("r3", "many")).await.status, 200);
}
