//! Tests of VMs that start while the store is slow or silent and take the upstreams from peers.

use crate::support::{Bed, HOST, PLAIN, config, plain, settings, until};
use std::time::Duration;
use trouttrack_front::app::{Running, start};
use trouttrack_platform_standin::{CallerRequest, Store, StoreFault, Upstream};

/// Time in which a VM applies an answer that it has received.
const ANSWER_APPLIED: Duration = Duration::from_millis(500);

/// Starts a VM that the store may not tell of its peers.
async fn start_beside(store: &Store, peer: &Running) -> Running {
    let vm = start_alone(store).await;
    introduce(&vm, peer);
    vm
}

async fn start_alone(store: &Store) -> Running {
    let vm = start(&settings(store, "front-2", "")).await;
    vm.expect("the second VM starts")
}

/// Tells a VM of a peer and the peer of the VM.
fn introduce(vm: &Running, peer: &Running) {
    for (vm, other) in [(vm, peer), (peer, vm)] {
        let addr = *other.front.peer_addr.get().expect("bound");
        vm.front.peers.insert(&other.front.name, addr, "a");
        vm.front.peers.announce();
    }
}

fn knows(vm: &Running, id: &str) -> bool {
    vm.front.upstreams.get(id).is_some()
}

async fn until_ready(vm: &Running) {
    until("the second VM is ready", || vm.front.lifecycle.is_ready()).await;
}

/// Sends a request that needs no key.
async fn send_open(vm: &Running, id: &str) -> u16 {
    let open = CallerRequest::get(id, HOST, "/open/x");
    open.send(vm.callers).await.status
}

#[actix_rt::test]
async fn a_vm_serves_while_its_own_list_is_unanswered() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::LateLists);
    let vm = start_beside(&bed.store, &bed.front).await;
    until_ready(&vm).await;
    assert_eq!(bed.store.held_upstream_lists(), 1);
    assert_eq!(send_open(&vm, "r1").await, 200);
}

#[actix_rt::test]
async fn a_late_list_does_not_bring_back_a_removed_upstream() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::LateLists);
    let vm = start_alone(&bed.store).await;
    until("the list is asked for", || {
        bed.store.held_upstream_lists() == 1
    })
    .await;
    bed.store.remove_upstream("u1");
    until("the first VM has removed u1", || !knows(&bed.front, "u1")).await;
    introduce(&vm, &bed.front);
    until_ready(&vm).await;
    assert!(!knows(&vm, "u1") && knows(&vm, "u2"));
    assert_eq!(bed.store.held_upstream_lists(), 1);
    let known = vm.front.upstreams.revision();
    bed.store.set_fault(StoreFault::None);
    until("the list is answered", || {
        bed.store.held_upstream_lists() == 0
    })
    .await;
    tokio::time::sleep(ANSWER_APPLIED).await;
    assert!(!knows(&vm, "u1") && knows(&vm, "u2"));
    assert!(vm.front.upstreams.revision() >= known);
    // The VM follows the store from there.
    bed.store.put_upstream(&bed.upstreams[0], false);
    until("u1 is back", || knows(&vm, "u1")).await;
}

#[actix_rt::test]
async fn changes_made_while_the_store_was_silent_replace_a_list_from_a_peer() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::Silent);
    let vm = start_beside(&bed.store, &bed.front).await;
    until_ready(&vm).await;
    assert!(knows(&vm, "u1") && knows(&vm, "u2"));
    assert_eq!(send_open(&vm, "r1").await, 200);
    let third = Upstream::start("u3", PLAIN, "a").await;
    bed.store.put_upstream(&third, false);
    bed.store.put_upstream(&bed.upstreams[1], true);
    bed.store.set_fault(StoreFault::None);
    until("both VMs have the store's changes", || {
        [&bed.front, &vm].iter().all(|vm| {
            let second = vm.front.upstreams.get("u2");
            knows(vm, "u3") && second.is_none_or(|u| u.is_leaving())
        })
    })
    .await;
}

#[actix_rt::test]
async fn a_newer_list_from_the_store_replaces_one_from_a_peer() {
    let bed = Bed::new(PLAIN).await;
    // The peer hears of no change, so the list that is held back is newer than its own.
    bed.store.set_fault(StoreFault::Silent);
    let third = Upstream::start("u3", PLAIN, "a").await;
    bed.store.remove_upstream("u1");
    bed.store.put_upstream(&third, false);
    bed.store.set_fault(StoreFault::LateListsDeafWatches);
    let vm = start_beside(&bed.store, &bed.front).await;
    until_ready(&vm).await;
    assert!(knows(&vm, "u1") && !knows(&vm, "u3"));
    assert_eq!(bed.store.held_upstream_lists(), 1);
    bed.store.set_fault(StoreFault::DeafWatches);
    until("u1 is gone and u3 is known", || {
        !knows(&vm, "u1") && knows(&vm, "u3")
    })
    .await;
}

#[actix_rt::test]
async fn no_further_page_is_read_once_a_peer_has_sent_the_list() {
    let bed = Bed::new(PLAIN).await;
    // The store returns two entries per page.
    let third = Upstream::start("u3", PLAIN, "a").await;
    bed.store.put_upstream(&third, false);
    until("the first VM knows u3", || knows(&bed.front, "u3")).await;
    bed.store.set_fault(StoreFault::LateLists);
    let vm = start_beside(&bed.store, &bed.front).await;
    until_ready(&vm).await;
    assert_eq!(bed.store.held_upstream_lists(), 1);
    let pages = bed.store.upstream_pages();
    bed.store.set_fault(StoreFault::None);
    bed.store.remove_upstream("u1");
    until("u1 is gone", || !knows(&vm, "u1")).await;
    tokio::time::sleep(ANSWER_APPLIED).await;
    assert_eq!(bed.store.upstream_pages(), pages);
    assert!(knows(&vm, "u2") && knows(&vm, "u3"));
}

#[actix_rt::test]
async fn a_vm_that_the_store_answers_asks_no_peer() {
    let bed = Bed::new(PLAIN).await;
    let vm = start_beside(&bed.store, &bed.front).await;
    until_ready(&vm).await;
    until("keys are confirmed", || vm.front.routing.is_fresh()).await;
    assert_eq!(plain("r1", "many").send(vm.callers).await.status, 200);
    assert_eq!(vm.front.to_peers.opened(), 0);
}

#[actix_rt::test]
async fn vms_that_start_together_with_a_slow_store_do_not_ask_each_other() {
    let store = Store::start().await;
    store.put_config(&config(1));
    let upstream = Upstream::start("u1", PLAIN, "a").await;
    store.put_upstream(&upstream, false);
    store.set_fault(StoreFault::LateLists);
    let first = start(&settings(&store, "front-1", "")).await;
    let first = first.expect("the first VM starts");
    let second = start_beside(&store, &first).await;
    until("the VMs have heard of each other", || {
        first.front.peers.is_live("front-2") && second.front.peers.is_live("front-1")
    })
    .await;
    until("both wait for their lists", || {
        store.held_upstream_lists() == 2
    })
    .await;
    // Longer than a VM waits before it would ask a peer that has the list.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for vm in [&first, &second] {
        assert_eq!(vm.front.to_peers.opened(), 0);
    }
    store.set_fault(StoreFault::None);
    until_ready(&first).await;
    until_ready(&second).await;
}
