//! Propagation of store state, upstream load and store availability between peer VMs.

use crate::support::{Bed, PLAIN, config, plain, settings, until};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_front::app::{Running, start};
use trouttrack_front::peers::watches_store;
use trouttrack_front::state::Front;
use trouttrack_platform::{StoreError, StoreErrorKind};
use trouttrack_platform_standin::StoreFault;

/// Time after start by which the VMs have discovered each other and only one still watches the
/// store.
const WATCHER_ELECTED_AFTER: Duration = Duration::from_secs(4);

async fn start_second_vm(bed: &Bed) -> Running {
    let extra_settings = "[bounds]\nrevoke = 5s\n";
    let other = start(&settings(&bed.store, "front-2", extra_settings))
        .await
        .expect("second VM starts");
    until("both VMs have discovered each other", || {
        let has_peer = |front: &Running| !front.front.peers.others().is_empty();
        has_peer(&bed.front) && has_peer(&other)
    })
    .await;
    until("the second VM is ready", || {
        other.front.lifecycle.is_ready()
    })
    .await;
    other
}

#[actix_rt::test]
async fn changes_reach_the_vm_without_a_store_watch() {
    let bed = Bed::new(PLAIN).await;
    let other = start_second_vm(&bed).await;
    for version in 2..6 {
        bed.store.put_config(&config(version));
        bed.store.put_upstream(&bed.upstreams[0], version % 2 == 0);
        for front in [&bed.front.front, &other.front] {
            until("the configuration version is applied", || {
                front.routing.version() == version
            })
            .await;
        }
        until("the upstream is leaving or removed on both VMs", || {
            let is_leaving =
                |f: &Running| f.front.upstreams.get("u1").is_none_or(|u| u.is_leaving());
            is_leaving(&bed.front) && is_leaving(&other)
        })
        .await;
    }
}

#[actix_rt::test]
async fn configuration_is_fetched_from_a_peer() {
    // These bounds are long enough that nothing else makes a VM call the store during the test.
    let bed = Bed::with(PLAIN, "[bounds]\nrevoke = 600s\nconfig_apply = 300s\n").await;
    let other = start_second_vm(&bed).await;
    let [first, second] = [&bed.front.front, &other.front];
    until("exactly one VM watches the store after start-up", || {
        let settled = [first, second]
            .iter()
            .all(|f| f.clock.now() > WATCHER_ELECTED_AFTER);
        settled && watches_store(first) != watches_store(second)
    })
    .await;
    let non_watcher = match watches_store(first) {
        true => second,
        false => first,
    };
    let mut fetched_from_peer = 0;
    for version in 2..8 {
        let calls_before = non_watcher.store.calls();
        bed.store.put_config(&config(version));
        until("the configuration version is applied", || {
            non_watcher.routing.version() == version
        })
        .await;
        fetched_from_peer += usize::from(non_watcher.store.calls() == calls_before);
    }
    // Datagrams can be lost, in which case the VM falls back to the store, so not every version
    // has to come from the peer.
    assert!(fetched_from_peer > 0);
}

/// Number of simultaneous changes that exceeds what one datagram can carry.
const CHANGES_EXCEEDING_DATAGRAM: usize = 150;

#[actix_rt::test]
async fn changes_exceeding_a_datagram_are_fetched_from_the_store() {
    let bed = Bed::new(PLAIN).await;
    let other = start_second_vm(&bed).await;
    let both = [&bed.front.front, &other.front];
    // The VM that is first in order has taken over the watch from the VM that started first.
    until("exactly one VM watches the store after start-up", || {
        let settled = both.iter().all(|f| f.clock.now() > WATCHER_ELECTED_AFTER);
        settled && watches_store(both[0]) != watches_store(both[1])
    })
    .await;
    for turn in 0..CHANGES_EXCEEDING_DATAGRAM {
        bed.store.put_upstream(&bed.upstreams[0], turn % 2 == 0);
    }
    bed.store.put_upstream(&bed.upstreams[0], true);
    until("both VMs see the upstream as leaving or removed", || {
        let is_leaving = |f: &Rc<Front>| f.upstreams.get("u1").is_none_or(|u| u.is_leaving());
        both.iter().all(|f| is_leaving(f))
    })
    .await;
    until("both VMs have the same upstream revision", || {
        both[0].upstreams.revision() == both[1].upstreams.revision()
    })
    .await;
}

#[actix_rt::test]
async fn one_of_two_vms_watches_and_both_are_fresh() {
    let bed = Bed::new(PLAIN).await;
    let other = start_second_vm(&bed).await;
    until("exactly one VM watches the store", || {
        watches_store(&bed.front.front) != watches_store(&other.front)
    })
    .await;
    assert!(other.front.routing.is_fresh());
    assert!(bed.front.front.routing.is_fresh());
}

#[actix_rt::test]
async fn a_vm_refused_by_the_store_hands_over_the_watch() {
    let bed = Bed::new(PLAIN).await;
    let other = start_second_vm(&bed).await;
    let [first, second] = [&bed.front.front, &other.front];
    until("exactly one VM watches the store", || {
        watches_store(first) != watches_store(second)
    })
    .await;
    let (watcher, non_watcher) = match watches_store(first) {
        true => (first, second),
        false => (second, first),
    };
    let refusal = StoreError {
        kind: StoreErrorKind::NotDone,
        call: "GET /".to_owned(),
        detail: "request refused".to_owned(),
    };
    // A successful store call clears the error, so it is reported again on every poll.
    until("the other VM watches the store", || {
        watcher.store_contact.lost(&refusal);
        watches_store(non_watcher)
    })
    .await;
}

#[actix_rt::test]
async fn upstream_load_is_shared_with_peers() {
    let bed = Bed::new(PLAIN).await;
    let other = start_second_vm(&bed).await;
    for upstream in &bed.upstreams {
        upstream.always(trouttrack_platform_standin::Behaviour::Silent);
    }
    let (req, addr) = (plain("r1", "once"), bed.addr());
    let request = actix_rt::spawn(async move { req.send(addr).await });
    until("the other VM sees the upstream load", || {
        let busy = bed.working().map(|u| u.id.clone());
        busy.is_some_and(|id| other.front.scheduler.load_of(&id).1 > 0)
    })
    .await;
    request.abort();
}

#[actix_rt::test]
async fn one_vm_probes_an_unreachable_store_and_all_detect_recovery() {
    let bed = Bed::new(PLAIN).await;
    let other = start_second_vm(&bed).await;
    let both = [&bed.front.front, &other.front];
    bed.store.set_fault(StoreFault::Refuse);
    until("both VMs detect the store outage", || {
        both.iter().all(|f| f.store_contact.is_away())
    })
    .await;
    until("exactly one VM probes the store", || {
        both.iter().filter(|f| watches_store(f)).count() == 1
    })
    .await;
    bed.store.set_fault(StoreFault::None);
    until("both VMs detect that the store is reachable again", || {
        both.iter().all(|f| !f.store_contact.is_away())
    })
    .await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
}
