//! A store that was restored from a copy has lost its latest writes and gives their revisions
//! out again.

use crate::support::{Bed, PLAIN, config, plain, settings, until};
use std::time::Duration;
use trouttrack_front::app::{Running, start};
use trouttrack_front::state::Front;
use trouttrack_platform_standin::{Store, StoreData, StoreFault, Upstream};

/// How long the store is away before it is back from its copy.
const AWAY: Duration = Duration::from_millis(1500);
/// A time within which a VM lists a store that is back.
const LISTED: Duration = Duration::from_secs(1);
/// Longer than what is missing from the copy is waited for.
const PAST_THE_RETURN: Duration = Duration::from_secs(3);
/// Calls that a VM may make in a second in which a store is back from its copy: it lists and
/// watches three kinds, writes its entry and confirms the configuration.
const MOST_CALLS: u64 = 30;
/// Requests of which each of two upstreams would get some.
const MANY: usize = 12;

fn is_leaving(front: &Front, id: &str) -> bool {
    front.upstreams.get(id).is_some_and(|u| u.is_leaving())
}

/// Has an upstream write something, and waits until VMs know it.
async fn write_entry(bed: &Bed, upstream: &Upstream, fronts: &[&Front]) {
    let before: Vec<_> = fronts.iter().map(|f| f.upstreams.revision()).collect();
    bed.store.put_cold(upstream, Duration::from_millis(1));
    until("the entry is known", || {
        let mut known = fronts.iter().zip(&before);
        known.all(|(f, before)| f.upstreams.revision() > *before)
    })
    .await;
}

/// The store goes away and loses what was written since the copy was made. What is written
/// before it answers again takes the revisions that were lost.
async fn lose_writes(store: &Store, backup: &StoreData) {
    store.set_fault(StoreFault::Silent);
    tokio::time::sleep(AWAY).await;
    store.restore(backup);
}

/// The store is restored without being away, and the VM lists it.
async fn restore_at_once(bed: &Bed, backup: &StoreData) {
    let pages = bed.store.upstream_pages();
    bed.store.restore(backup);
    until("it is listed", || bed.store.upstream_pages() > pages).await;
    tokio::time::sleep(LISTED).await;
}

/// How many of a number of requests reach an upstream.
async fn served_there(bed: &Bed, upstream: &Upstream, ids: &str) -> usize {
    let before = upstream.arrivals().len();
    for n in 0..MANY {
        let reply = bed.send(&plain(&format!("{ids}-{n}"), "many")).await;
        assert_eq!(reply.status, 200, "{ids}-{n}: {}", reply.text());
    }
    upstream.arrivals().len() - before
}

async fn second(bed: &Bed) -> Running {
    let other = start(&settings(&bed.store, "front-2", "")).await;
    let other = other.expect("a front");
    until("both know each other", || {
        let knows = |front: &Running| !front.front.peers.others().is_empty();
        knows(&bed.front) && knows(&other)
    })
    .await;
    until("the second is ready", || other.front.lifecycle.is_ready()).await;
    other
}

#[actix_rt::test]
async fn a_departure_at_a_revision_given_out_again_is_seen() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    write_entry(&bed, &bed.upstreams[1], &[front]).await;
    lose_writes(&bed.store, &backup).await;
    bed.store.put_upstream(&bed.upstreams[0], true);
    bed.store.set_fault(StoreFault::None);
    until("it leaves", || is_leaving(front, "u1")).await;
    until("keys are confirmed", || front.routing.is_fresh()).await;
    assert_eq!(served_there(&bed, &bed.upstreams[0], "after").await, 0);
}

#[actix_rt::test]
async fn a_departure_at_a_revision_given_out_again_is_seen_by_each_vm() {
    let bed = Bed::new(PLAIN).await;
    let other = second(&bed).await;
    let both = [bed.front.front.as_ref(), other.front.as_ref()];
    let backup = bed.store.backup();
    write_entry(&bed, &bed.upstreams[1], &both).await;
    lose_writes(&bed.store, &backup).await;
    bed.store.put_upstream(&bed.upstreams[0], true);
    bed.store.set_fault(StoreFault::None);
    until("both see it leave", || {
        both.iter().all(|f| is_leaving(f, "u1"))
    })
    .await;
}

#[actix_rt::test]
async fn a_configuration_at_a_revision_given_out_again_is_put_in_force() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.put_config(&config(2));
    until("version 2 is in force", || front.routing.version() == 2).await;
    lose_writes(&bed.store, &backup).await;
    bed.store.put_config(&config(3));
    bed.store.set_fault(StoreFault::None);
    until("version 3 is in force", || front.routing.version() == 3).await;
}

#[actix_rt::test]
async fn a_configuration_that_the_store_has_lost_stays_in_force() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.put_config(&config(2));
    until("version 2 is in force", || front.routing.version() == 2).await;
    restore_at_once(&bed, &backup).await;
    let late = second(&bed).await;
    until("a VM that starts has it from its peer", || {
        late.front.routing.version() == 2
    })
    .await;
    assert_eq!(front.routing.version(), 2);
}

#[actix_rt::test]
async fn an_evacuation_at_a_revision_given_out_again_is_put_in_force() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.evacuate("b");
    until("b is evacuated", || {
        front.evacuations.borrow().contains("b")
    })
    .await;
    lose_writes(&bed.store, &backup).await;
    bed.store.evacuate("a");
    bed.store.set_fault(StoreFault::None);
    until("a is evacuated", || !front.scheduler.is_open("u1")).await;
}

#[actix_rt::test]
async fn an_evacuation_that_the_store_has_lost_holds_until_it_is_written_again() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.evacuate("a");
    until("it is in force", || !front.scheduler.is_open("u1")).await;
    restore_at_once(&bed, &backup).await;
    assert!(!front.scheduler.is_open("u1"));
    bed.store.evacuate("a");
    tokio::time::sleep(LISTED).await;
    assert!(!front.scheduler.is_open("u1"));
    bed.store.take_back("a");
    until("it is taken back", || front.scheduler.is_open("u1")).await;
}

#[actix_rt::test]
async fn an_evacuation_that_is_not_written_again_ends() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.evacuate("a");
    until("it is in force", || !front.scheduler.is_open("u1")).await;
    restore_at_once(&bed, &backup).await;
    until("it has ended", || front.scheduler.is_open("u1")).await;
}

#[actix_rt::test]
async fn an_upstream_whose_entry_was_lost_is_used_until_it_is_written_again() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    let late = Upstream::start("u3", PLAIN, "a").await;
    bed.store.put_upstream(&late, false);
    until("it is known", || front.upstreams.get("u3").is_some()).await;
    restore_at_once(&bed, &backup).await;
    assert!(served_there(&bed, &late, "lost").await > 0);
    bed.store.put_upstream(&late, false);
    tokio::time::sleep(PAST_THE_RETURN).await;
    assert!(served_there(&bed, &late, "back").await > 0);
}

#[actix_rt::test]
async fn an_upstream_whose_entry_is_not_written_again_is_gone() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    let late = Upstream::start("u3", PLAIN, "a").await;
    bed.store.put_upstream(&late, false);
    until("it is known", || front.upstreams.get("u3").is_some()).await;
    restore_at_once(&bed, &backup).await;
    until("it is gone", || front.upstreams.get("u3").is_none()).await;
}

#[actix_rt::test]
async fn an_upstream_that_said_it_leaves_gets_nothing_after_the_store_lost_that() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.put_upstream(&bed.upstreams[0], true);
    until("it leaves", || is_leaving(front, "u1")).await;
    restore_at_once(&bed, &backup).await;
    assert_eq!(served_there(&bed, &bed.upstreams[0], "after").await, 0);
}

#[actix_rt::test]
async fn an_upstream_that_left_unsaid_gets_nothing_after_the_store_lost_that() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.remove_upstream("u1");
    until("it is gone", || front.upstreams.get("u1").is_none()).await;
    restore_at_once(&bed, &backup).await;
    assert_eq!(served_there(&bed, &bed.upstreams[0], "copy").await, 0);
    bed.store.remove_upstream("u1");
    tokio::time::sleep(LISTED).await;
    assert_eq!(served_there(&bed, &bed.upstreams[0], "removed").await, 0);
}

#[actix_rt::test]
async fn an_upstream_that_writes_its_entry_after_the_restore_is_used() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.remove_upstream("u1");
    until("it is gone", || front.upstreams.get("u1").is_none()).await;
    restore_at_once(&bed, &backup).await;
    bed.store
        .put_cold(&bed.upstreams[0], Duration::from_millis(1));
    until("it is open", || front.scheduler.is_open("u1")).await;
    assert!(served_there(&bed, &bed.upstreams[0], "back").await > 0);
}

#[actix_rt::test]
async fn a_vm_writes_its_entry_again() {
    let bed = Bed::new(PLAIN).await;
    let nothing = Store::start().await.backup();
    assert_eq!(bed.store.vms(), ["front-1"]);
    bed.store.restore(&nothing);
    assert!(bed.store.vms().is_empty());
    until("its entry is back", || bed.store.vms() == ["front-1"]).await;
}

#[actix_rt::test]
async fn a_vm_writes_held_requests_again() {
    const REQUEST: u128 = 7;
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    for id in ["u1", "u2"] {
        let upstream = front.upstreams.get(id).expect("it is known");
        front.suspects.ended(REQUEST, &upstream);
    }
    until("it is kept", || bed.store.holds().len() == 1).await;
    bed.store.restore(&backup);
    assert!(bed.store.holds().is_empty());
    until("it is kept again", || bed.store.holds().len() == 1).await;
}

#[actix_rt::test]
async fn a_store_that_lost_revisions_is_not_asked_again_and_again() {
    let bed = Bed::new(PLAIN).await;
    let backup = bed.store.backup();
    write_entry(&bed, &bed.upstreams[0], &[&bed.front.front]).await;
    restore_at_once(&bed, &backup).await;
    let before = bed.store.calls();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let made = bed.store.calls() - before;
    assert!(made <= MOST_CALLS, "{made} calls in a second");
}
