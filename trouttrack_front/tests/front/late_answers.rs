//! Answers of the store that arrive after newer news of peers, as to a VM that was frozen or
//! partitioned from the store while the store answered it.

use crate::support::{Bed, PLAIN, settings_in, until};
use std::net::SocketAddr;
use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_front::app::{Running, start};
use trouttrack_front::peers::{PeerTable, watches_store};
use trouttrack_platform_standin::{Store, StoreFault};

/// Longer than a VM pauses after a watch that was answered with changes.
const WATCHES_AGAIN: Duration = Duration::from_millis(600);
/// Time within which a VM applies an answer that has arrived.
const APPLIED: Duration = Duration::from_millis(500);

/// A VM that hears of changes in time, and another one whose answers from the store may be late.
struct LateBed {
    bed: Bed,
    late: Running,
    /// The store as the late VM reaches it.
    its_store: Store,
}

impl LateBed {
    async fn new() -> Self {
        let bed = Bed::new(PLAIN).await;
        let its_store = bed.store.second_address().await;
        // In a failure domain of its own, so that it watches the store as well.
        let late = start(&settings_in(&its_store, "front-2", "b", "")).await;
        let late = late.expect("a front");
        until("the VMs know each other", || {
            let knows = |vm: &Running| !vm.front.peers.others().is_empty();
            knows(&bed.front) && knows(&late)
        })
        .await;
        until("the late VM is ready", || late.front.lifecycle.is_ready()).await;
        let this = Self {
            bed,
            late,
            its_store,
        };
        until("the late VM watches the store", || {
            watches_store(&this.late.front)
        })
        .await;
        this.settle(0).await;
        tokio::time::sleep(WATCHES_AGAIN).await;
        this
    }

    /// Writes an entry and waits until both VMs know all revisions.
    async fn settle(&self, turn: u64) {
        self.write(turn);
        until("both VMs know the same revision", || {
            let known = |vm: &Running| vm.front.upstreams.revision();
            let cold = |vm: &Running| vm.front.upstreams.get("u2").is_some();
            cold(&self.late) && known(&self.bed.front) == known(&self.late)
        })
        .await;
    }

    /// Changes u2's entry, which wakes the watches.
    fn write(&self, turn: u64) {
        let cold_for = Duration::from_millis(1 + turn);
        self.bed.store.put_cold(&self.bed.upstreams[1], cold_for);
    }

    fn is_known(&self, id: &str) -> bool {
        self.late.front.upstreams.get(id).is_some()
    }

    /// Holds back the late VM's watch with what `f` changes in the store.
    async fn hold_watch(&self, f: impl FnOnce(&Self)) {
        self.its_store.set_fault(StoreFault::LateWatches);
        f(self);
        until("the answer of its watch is held back", || {
            self.its_store.held_upstream_watches() > 0
        })
        .await;
    }

    /// Lets the held answers arrive, and waits until they are applied.
    async fn release(&self) {
        let watches = self.its_store.calls();
        self.its_store.set_fault(StoreFault::None);
        until("the VM calls the store again", || {
            self.its_store.calls() > watches
        })
        .await;
        tokio::time::sleep(APPLIED).await;
    }
}

/// Guards against an upstream that is used for good after its removal, because the late answer of
/// a watch lists it at an older revision.
#[actix_rt::test]
async fn a_late_answer_of_a_watch_brings_no_upstream_back() {
    let late = LateBed::new().await;
    late.hold_watch(|late| {
        let u1 = &late.bed.upstreams[0];
        late.bed.store.put_cold(u1, Duration::from_millis(7));
    })
    .await;
    late.bed.store.remove_upstream("u1");
    until("peers tell that u1 is gone", || !late.is_known("u1")).await;
    late.release().await;
    assert!(!late.is_known("u1"));
}

/// Guards against a live upstream that is dropped for good, because the late answer of a watch has
/// its removal and not its return.
#[actix_rt::test]
async fn a_late_removal_after_the_return_drops_no_upstream() {
    let late = LateBed::new().await;
    late.hold_watch(|late| late.bed.store.remove_upstream("u1"))
        .await;
    until("peers tell that u1 is gone", || !late.is_known("u1")).await;
    late.bed.store.put_upstream(&late.bed.upstreams[0], false);
    until("peers tell that u1 is back", || late.is_known("u1")).await;
    late.release().await;
    assert!(late.is_known("u1"));
}

/// Guards against a list that undoes news which arrived during its call, while a list is needed
/// because the store has no history.
#[actix_rt::test]
async fn a_late_list_brings_no_upstream_back_when_the_history_is_gone() {
    let late = LateBed::new().await;
    late.its_store.set_fault(StoreFault::LateListsNoHistory);
    until("the list is held back", || {
        late.its_store.held_upstream_lists() > 0
    })
    .await;
    late.bed.store.remove_upstream("u1");
    until("peers tell that u1 is gone", || !late.is_known("u1")).await;
    late.release().await;
    assert!(!late.is_known("u1"));
    // What changes next is heard.
    late.bed.store.remove_upstream("u2");
    until("u2 is gone", || !late.is_known("u2")).await;
}

/// Guards against a VM that is sent to its old address, because a list that lags is newer to its
/// reader than the entry or the message that it read before.
#[test]
fn a_list_that_lags_replaces_no_later_entry_of_a_vm() {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let peers = PeerTable::new("front-1");
    let at = |epoch, number| Revision::new(epoch, number);
    peers.insert_listed("front-2", addr(2), "a", at(1, 9));
    peers.insert_listed("front-2", addr(1), "b", at(1, 7));
    assert_eq!(peers.addr_of("front-2"), Some(addr(2)));
    assert!(peers.is_in("front-2", "a"));
    // What the VM tells of itself does not make an old list newer.
    peers.insert("front-2", addr(3), "a");
    peers.insert_listed("front-2", addr(1), "a", at(1, 8));
    assert_eq!(peers.addr_of("front-2"), Some(addr(3)));
    // A restored store repeats revisions in a later epoch.
    peers.insert_listed("front-2", addr(4), "a", at(2, 3));
    assert_eq!(peers.addr_of("front-2"), Some(addr(4)));
}
