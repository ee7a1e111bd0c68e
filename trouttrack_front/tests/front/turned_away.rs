//! Upstreams that leave while the store turns some VMs away, and entries that lapse while it is
//! away for all of them.

use crate::support::{Bed, PLAIN, settings, settings_in, until};
use std::time::Duration;
use trouttrack_core::membership::{Precedence, StoreReachability};
use trouttrack_front::app::{Running, start};
use trouttrack_front::peers::watches_store;
use trouttrack_front::state::{Clock, Upstreams};
use trouttrack_platform_standin::{Store, StoreFault};

/// Bounds under which a VM that does not watch the store calls it once a minute at most.
const RARE_CALLS: &str = "[bounds]\nrevoke = 600s\nconfig_apply = 300s\n";
/// Longer than VMs take to notice that the store is away, and than entries live unwritten.
const OUTAGE: Duration = Duration::from_secs(4);
/// Within it, live upstreams write their entries again.
const REWRITE: Duration = Duration::from_millis(1500);
/// Longer than VMs wait for that.
const PAST_REWRITE: Duration = Duration::from_secs(3);

fn knows(vm: &Running, id: &str) -> bool {
    vm.front.upstreams.get(id).is_some()
}

async fn start_vm(store: &Store, name: &str, failure_domain: &str, more: &str) -> Running {
    let vm = start(&settings_in(store, name, failure_domain, more)).await;
    let vm = vm.expect("a front");
    until("the VM is ready", || vm.front.lifecycle.is_ready()).await;
    vm
}

/// The name of a VM that leaves the watch of the store to another one.
fn ranks_after(first: &str) -> String {
    let of = |name: &str| Precedence::new(name, StoreReachability::Answered);
    let names = (2..).map(|n| format!("front-{n}"));
    let mut after = names.filter(|name| of(name) < of(first));
    after.next().expect("a name")
}

async fn know_each_other(vms: &[&Running]) {
    let hears_all = |vm: &&Running| {
        let mut others = vms.iter().filter(|o| o.front.name != vm.front.name);
        others.all(|other| vm.front.peers.is_live(&other.front.name))
    };
    until("the VMs hear each other", || vms.iter().all(hears_all)).await;
}

/// Guards against a VM that takes its own lost path to the store for an outage, and goes on using
/// an upstream whose removal a peer has read from a store that is up.
#[actix_rt::test]
async fn a_vm_that_the_store_turns_away_heeds_a_removal_that_a_peer_reads() {
    for fault in [StoreFault::Silent, StoreFault::Refuse, StoreFault::Reset] {
        let bed = Bed::new(PLAIN).await;
        let its_store = bed.store.second_address().await;
        let away = start_vm(&its_store, "front-2", "b", "").await;
        know_each_other(&[&bed.front, &away]).await;
        its_store.set_fault(fault);
        until("the store is away for it", || {
            away.front.store_contact.is_away()
        })
        .await;
        bed.store.remove_upstream("u1");
        until("the upstream is gone", || !knows(&away, "u1")).await;
        assert!(away.front.store_contact.is_away());
        assert!(knows(&away, "u2"));
    }
}

/// Guards against an upstream that is used while a VM waits for an entry that its peers, who were
/// served all the while, know to be gone.
#[actix_rt::test]
async fn a_departure_right_after_the_return_of_a_vm_is_heeded_at_once() {
    let bed = Bed::new(PLAIN).await;
    let its_store = bed.store.second_address().await;
    let away = start_vm(&its_store, "front-2", "b", "").await;
    know_each_other(&[&bed.front, &away]).await;
    its_store.set_fault(StoreFault::Silent);
    until("the store is away for it", || {
        away.front.store_contact.is_away()
    })
    .await;
    its_store.set_fault(StoreFault::None);
    until("the store answers it", || {
        !away.front.store_contact.is_away()
    })
    .await;
    bed.store.remove_upstream("u1");
    until("the peer knows that it is gone", || {
        !knows(&bed.front, "u1")
    })
    .await;
    until("the change is known", || {
        away.front.upstreams.revision() >= bed.front.front.upstreams.revision()
    })
    .await;
    assert!(!knows(&away, "u1"));
}

/// Guards against a live upstream that is lost in a true outage, in which its entry lapses: at the
/// VM that reads that, and at one that calls the store too rarely to notice the outage.
#[actix_rt::test]
async fn an_entry_that_lapses_in_an_outage_costs_no_vm_its_upstream() {
    let bed = Bed::new(PLAIN).await;
    let rare = start_vm(&bed.store, &ranks_after("front-1"), "a", RARE_CALLS).await;
    know_each_other(&[&bed.front, &rare]).await;
    until("only the first VM watches the store", || {
        watches_store(&bed.front.front) && !watches_store(&rare.front)
    })
    .await;
    bed.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(OUTAGE).await;
    bed.store.remove_upstream("u1");
    bed.store.set_fault(StoreFault::None);
    let used = async {
        loop {
            assert!(knows(&bed.front, "u1"), "dropped by the VM that watches");
            assert!(knows(&rare, "u1"), "dropped by the VM that does not call");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let rewritten = async {
        tokio::time::sleep(REWRITE).await;
        bed.store.put_upstream(&bed.upstreams[0], false);
        tokio::time::sleep(PAST_REWRITE).await;
    };
    tokio::select! {
        () = used => {}
        () = rewritten => {}
    }
    assert!(rare.front.store.calls() > 0);
}

/// Guards against an upstream that is never removed, because all VMs wait for an entry that does
/// not come back.
#[actix_rt::test]
async fn an_entry_that_does_not_come_back_after_an_outage_is_removed_by_all() {
    let bed = Bed::new(PLAIN).await;
    let rare = start_vm(&bed.store, "front-2", "a", RARE_CALLS).await;
    know_each_other(&[&bed.front, &rare]).await;
    bed.store.set_fault(StoreFault::Silent);
    tokio::time::sleep(OUTAGE).await;
    bed.store.remove_upstream("u1");
    bed.store.set_fault(StoreFault::None);
    until("the upstream is gone everywhere", || {
        !knows(&bed.front, "u1") && !knows(&rare, "u1")
    })
    .await;
}

/// Guards against a live upstream that a VM drops at once, because it heard from a peer, and not
/// from the store, that the entry has lapsed.
#[test]
fn an_entry_that_a_peer_tells_to_have_lapsed_is_kept_for_a_while() {
    let upstreams = Upstreams::new(Clock::start());
    let entry = crate::large_fleet::entry(false, 0);
    upstreams.seen("u1", Default::default(), entry);
    upstreams.lapsed("u1");
    assert!(upstreams.expired().is_empty());
    assert!(upstreams.get("u1").is_some());
}

/// Guards against a lone VM that drops its upstreams in an outage: nobody tells it what the store
/// does.
#[actix_rt::test]
async fn a_lone_vm_keeps_an_upstream_whose_entry_lapses() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::Refuse);
    until("the store is away", || {
        bed.front.front.store_contact.is_away()
    })
    .await;
    bed.store.remove_upstream("u1");
    bed.store.set_fault(StoreFault::None);
    until("the store is back", || {
        !bed.front.front.store_contact.is_away()
    })
    .await;
    tokio::time::sleep(REWRITE).await;
    assert!(knows(&bed.front, "u1"));
    bed.store.put_upstream(&bed.upstreams[0], false);
    tokio::time::sleep(PAST_REWRITE).await;
    assert!(knows(&bed.front, "u1"));
    let late = start(&settings(&bed.store, "front-2", "")).await;
    let late = late.expect("a front");
    until("a VM that starts knows it", || knows(&late, "u1")).await;
}
