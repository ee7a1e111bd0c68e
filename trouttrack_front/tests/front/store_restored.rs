//! Tests of VMs whose store is restored from a backup, which loses its latest writes and
//! reuses their revisions.

use crate::support::{Bed, PLAIN, config, plain, settings, until};
use std::time::Duration;
use trouttrack_core::quarantine::CrashedRun;
use trouttrack_front::app::{Running, start};
use trouttrack_front::state::Front;
use trouttrack_platform_standin::{Store, StoreData, StoreFault, Upstream};

/// How long the store does not answer before it is restored.
const OUTAGE: Duration = Duration::from_millis(1500);
/// Time within which a VM lists a restored store.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Longer than VMs wait for entries that are missing from the backup.
const PAST_MISSING_ENTRY_WAIT: Duration = Duration::from_secs(3);
/// The most calls that a VM may make to a restored store in a second: it lists and watches
/// three kinds, writes its entry and confirms the configuration.
const MAX_CALLS_PER_SECOND: u64 = 30;
/// Enough requests that each of two upstreams in use gets some.
const REQUESTS: usize = 60;

fn is_leaving(front: &Front, id: &str) -> bool {
    front.upstreams.get(id).is_some_and(|u| u.is_leaving())
}

/// Writes an upstream's entry and waits until the VMs know of the write.
async fn write_entry(bed: &Bed, upstream: &Upstream, fronts: &[&Front]) {
    let before: Vec<_> = fronts.iter().map(|f| f.upstreams.revision()).collect();
    bed.store.put_cold(upstream, Duration::from_millis(1));
    until("the entry is known", || {
        let mut known = fronts.iter().zip(&before);
        known.all(|(f, before)| f.upstreams.revision() > *before)
    })
    .await;
}

/// Stops the store's answers, then restores it from a backup. Writes made before it answers
/// again get the lost revisions.
async fn restore_after_outage(store: &Store, backup: &StoreData) {
    store.set_fault(StoreFault::Silent);
    tokio::time::sleep(OUTAGE).await;
    store.restore(backup);
}

/// Restores the store without an outage and waits until the VM has listed it.
async fn restore_without_outage(bed: &Bed, backup: &StoreData) {
    let pages = bed.store.upstream_pages();
    bed.store.restore(backup);
    until("the list is read", || bed.store.upstream_pages() > pages).await;
    tokio::time::sleep(LIST_TIMEOUT).await;
}

/// Removes u1's entry, then restores the store without an outage to its state before the removal.
async fn restore_removed_entry(bed: &Bed) {
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.remove_upstream("u1");
    until("u1 is gone", || front.upstreams.get("u1").is_none()).await;
    restore_without_outage(bed, &backup).await;
}

/// Removes all keys with version 2 of the configuration, then restores the store without an
/// outage to its state before that version.
async fn restore_removed_key(bed: &Bed) {
    let front = &bed.front.front;
    let backup = bed.store.backup();
    let mut next = config(2);
    next.organisations
        .iter_mut()
        .flatten()
        .for_each(|o| o.keys.clear());
    bed.store.put_config(&next);
    until("version 2 is in force", || front.routing.version() == 2).await;
    restore_without_outage(bed, &backup).await;
}

/// Sends requests and returns how many of them reach an upstream.
async fn count_served_by(bed: &Bed, upstream: &Upstream, ids: &str) -> usize {
    let before = upstream.arrivals().len();
    for n in 0..REQUESTS {
        let reply = bed.send(&plain(&format!("{ids}-{n}"), "many")).await;
        assert_eq!(reply.status, 200, "{ids}-{n}: {}", reply.text());
    }
    upstream.arrivals().len() - before
}

async fn start_second_vm(bed: &Bed) -> Running {
    let other = start(&settings(&bed.store, "front-2", "")).await;
    let other = other.expect("a front");
    until("both VMs know each other", || {
        let knows = |front: &Running| !front.front.peers.others().is_empty();
        knows(&bed.front) && knows(&other)
    })
    .await;
    until("front-2 is ready", || other.front.lifecycle.is_ready()).await;
    other
}

// A VM misses a departure written at a reused revision and keeps sending requests there.
#[actix_rt::test]
async fn a_departure_at_a_reused_revision_is_seen() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    write_entry(&bed, &bed.upstreams[1], &[front]).await;
    restore_after_outage(&bed.store, &backup).await;
    bed.store.put_upstream(&bed.upstreams[0], true);
    bed.store.set_fault(StoreFault::None);
    until("u1 is leaving", || is_leaving(front, "u1")).await;
    until("keys are confirmed", || front.routing.is_fresh()).await;
    assert_eq!(count_served_by(&bed, &bed.upstreams[0], "after").await, 0);
}

// VMs that exchange news miss a departure written at a reused revision.
#[actix_rt::test]
async fn a_departure_at_a_reused_revision_is_seen_by_each_vm() {
    let bed = Bed::new(PLAIN).await;
    let other = start_second_vm(&bed).await;
    let both = [bed.front.front.as_ref(), other.front.as_ref()];
    let backup = bed.store.backup();
    write_entry(&bed, &bed.upstreams[1], &both).await;
    restore_after_outage(&bed.store, &backup).await;
    bed.store.put_upstream(&bed.upstreams[0], true);
    bed.store.set_fault(StoreFault::None);
    until("both VMs see u1 leaving", || {
        both.iter().all(|f| is_leaving(f, "u1"))
    })
    .await;
}

// A configuration at a reused revision is taken for the one already in force.
#[actix_rt::test]
async fn a_configuration_at_a_reused_revision_is_put_in_force() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.put_config(&config(2));
    until("version 2 is in force", || front.routing.version() == 2).await;
    restore_after_outage(&bed.store, &backup).await;
    bed.store.put_config(&config(3));
    bed.store.set_fault(StoreFault::None);
    until("version 3 is in force", || front.routing.version() == 3).await;
}

// A restore reverts the configuration, or keeps peers from passing it on.
#[actix_rt::test]
async fn a_configuration_lost_by_the_store_stays_in_force() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.put_config(&config(2));
    until("version 2 is in force", || front.routing.version() == 2).await;
    restore_without_outage(&bed, &backup).await;
    let late = start_second_vm(&bed).await;
    until("the second VM has version 2 from its peer", || {
        late.front.routing.version() == 2
    })
    .await;
    assert_eq!(front.routing.version(), 2);
}

// A VM ignores an evacuation written at a reused revision.
#[actix_rt::test]
async fn an_evacuation_at_a_reused_revision_is_put_in_force() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.evacuate("b");
    until("b is evacuated", || {
        front.evacuations.borrow().contains("b")
    })
    .await;
    restore_after_outage(&bed.store, &backup).await;
    bed.store.evacuate("a");
    bed.store.set_fault(StoreFault::None);
    until("a is evacuated", || !front.scheduler.is_available("u1")).await;
}

// A restore ends an evacuation before an operator can write it again.
#[actix_rt::test]
async fn an_evacuation_lost_by_the_store_holds_until_it_is_rewritten() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.evacuate("a");
    until("a is evacuated", || !front.scheduler.is_available("u1")).await;
    restore_without_outage(&bed, &backup).await;
    assert!(!front.scheduler.is_available("u1"));
    bed.store.evacuate("a");
    tokio::time::sleep(LIST_TIMEOUT).await;
    assert!(!front.scheduler.is_available("u1"));
    bed.store.take_back("a");
    until("a is taken back", || front.scheduler.is_available("u1")).await;
}

// An evacuation lost in a restore stays in force forever.
#[actix_rt::test]
async fn an_evacuation_that_is_not_rewritten_ends() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.evacuate("a");
    until("a is evacuated", || !front.scheduler.is_available("u1")).await;
    restore_without_outage(&bed, &backup).await;
    until("the evacuation ends", || front.scheduler.is_available("u1")).await;
}

// An upstream whose entry was lost in a restore is dropped before it can write it again.
#[actix_rt::test]
async fn an_upstream_whose_entry_was_lost_is_used_until_it_is_rewritten() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    let late = Upstream::start("u3", PLAIN, "a").await;
    bed.store.put_upstream(&late, false);
    until("u3 is known", || front.upstreams.get("u3").is_some()).await;
    restore_without_outage(&bed, &backup).await;
    assert!(count_served_by(&bed, &late, "lost").await > 0);
    bed.store.put_upstream(&late, false);
    tokio::time::sleep(PAST_MISSING_ENTRY_WAIT).await;
    assert!(count_served_by(&bed, &late, "back").await > 0);
}

// An upstream whose entry was lost in a restore is never removed.
#[actix_rt::test]
async fn an_upstream_whose_entry_is_not_rewritten_is_removed() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    let late = Upstream::start("u3", PLAIN, "a").await;
    bed.store.put_upstream(&late, false);
    until("u3 is known", || front.upstreams.get("u3").is_some()).await;
    restore_without_outage(&bed, &backup).await;
    until("u3 is gone", || front.upstreams.get("u3").is_none()).await;
}

// A leaving upstream gets requests again once a restore reverts its entry.
#[actix_rt::test]
async fn a_leaving_upstream_gets_no_requests_after_the_store_lost_its_departure() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    bed.store.put_upstream(&bed.upstreams[0], true);
    until("u1 is leaving", || is_leaving(front, "u1")).await;
    restore_without_outage(&bed, &backup).await;
    assert_eq!(count_served_by(&bed, &bed.upstreams[0], "after").await, 0);
}

// A removed upstream gets requests again once a restore brings its entry back.
#[actix_rt::test]
async fn a_removed_upstream_gets_no_requests_after_the_store_lost_its_removal() {
    let bed = Bed::new(PLAIN).await;
    restore_removed_entry(&bed).await;
    assert_eq!(count_served_by(&bed, &bed.upstreams[0], "copy").await, 0);
    bed.store.remove_upstream("u1");
    tokio::time::sleep(LIST_TIMEOUT).await;
    assert_eq!(count_served_by(&bed, &bed.upstreams[0], "removed").await, 0);
}

// An upstream that was removed before a restore stays unused after it writes its entry again.
#[actix_rt::test]
async fn an_upstream_that_writes_its_entry_after_the_restore_is_used() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    restore_removed_entry(&bed).await;
    bed.store
        .put_cold(&bed.upstreams[0], Duration::from_millis(1));
    until("u1 is open", || front.scheduler.is_available("u1")).await;
    assert!(count_served_by(&bed, &bed.upstreams[0], "back").await > 0);
}

// A VM whose entry was lost in a restore stays missing from the store.
#[actix_rt::test]
async fn a_vm_rewrites_its_entry_after_a_restore() {
    let bed = Bed::new(PLAIN).await;
    let empty = Store::start().await.backup();
    assert_eq!(bed.store.vms(), ["front-1"]);
    bed.store.restore(&empty);
    assert!(bed.store.vms().is_empty());
    until("its entry is back", || bed.store.vms() == ["front-1"]).await;
}

// Held requests that were lost in a restore stay missing from the store.
#[actix_rt::test]
async fn a_vm_rewrites_held_requests_after_a_restore() {
    const REQUEST: u128 = 7;
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    for id in ["u1", "u2"] {
        let upstream = front.upstreams.get(id).expect("a known upstream");
        let run = CrashedRun::from(&upstream.incarnation());
        let now = front.clock.now();
        front.quarantine.ended(&REQUEST.into(), &run, now);
    }
    until("a hold is stored", || bed.store.holds().len() == 1).await;
    bed.store.restore(&backup);
    assert!(bed.store.holds().is_empty());
    until("it is stored again", || bed.store.holds().len() == 1).await;
}

// A VM with a lost revision lists and watches a restored store in a tight loop.
#[actix_rt::test]
async fn calls_to_a_restored_store_stay_bounded() {
    let bed = Bed::new(PLAIN).await;
    let backup = bed.store.backup();
    write_entry(&bed, &bed.upstreams[0], &[&bed.front.front]).await;
    restore_without_outage(&bed, &backup).await;
    let before = bed.store.calls();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let made = bed.store.calls() - before;
    assert!(made <= MAX_CALLS_PER_SECOND, "{made} calls in a second");
}

// A live upstream whose entry was brought back by a restore is never used again.
#[actix_rt::test]
async fn an_upstream_still_listed_after_the_restore_grace_is_used() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    restore_removed_entry(&bed).await;
    assert!(front.upstreams.get("u1").is_none());
    until("u1 is used", || front.scheduler.is_available("u1")).await;
    assert!(count_served_by(&bed, &bed.upstreams[0], "listed").await > 0);
}

// A VM that starts after the restore accepts a key that a lost configuration had removed.
#[actix_rt::test]
async fn a_key_removed_by_a_lost_configuration_stays_removed() {
    let bed = Bed::new(PLAIN).await;
    restore_removed_key(&bed).await;
    let late = start_second_vm(&bed).await;
    until("the second VM has version 2", || {
        late.front.routing.version() == 2
    })
    .await;
    for addr in [bed.addr(), late.callers] {
        let reply = plain("removed", "many").send(addr).await;
        assert!([401, 503].contains(&reply.status), "{}", reply.status);
    }
    assert!(bed.ran("removed").is_empty());
}

// A restore brings back a hold that had ended, and VMs that start later hold the request again.
#[actix_rt::test]
async fn a_vm_removes_held_requests_again_after_a_restore() {
    const REQUEST: u128 = 7;
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    for id in ["u1", "u2"] {
        let upstream = front.upstreams.get(id).expect("a known upstream");
        let run = CrashedRun::from(&upstream.incarnation());
        let now = front.clock.now();
        front.quarantine.ended(&REQUEST.into(), &run, now);
    }
    until("the hold is stored", || bed.store.holds().len() == 1).await;
    let backup = bed.store.backup();
    front.quarantine.record_completed_run(REQUEST);
    until("the hold is removed", || bed.store.holds().is_empty()).await;
    bed.store.restore(&backup);
    assert_eq!(bed.store.holds().len(), 1);
    until("the hold is removed again", || bed.store.holds().is_empty()).await;
}

// A VM that starts with the restored configuration accepts a removed key until it hears from
// its peers.
#[actix_rt::test]
async fn a_vm_that_starts_after_a_restore_accepts_no_removed_key() {
    let bed = Bed::new(PLAIN).await;
    restore_removed_key(&bed).await;
    let late = start(&settings(&bed.store, "front-2", "")).await;
    let late = late.expect("a front");
    for n in 0.. {
        let id = format!("removed-{n}");
        let reply = plain(&id, "many").send(late.callers).await;
        assert_ne!(
            reply.status,
            200,
            "{id}: {:?}",
            late.front.routing.version()
        );
        if late.front.routing.version() == 2 {
            break;
        }
    }
}

// A VM lists and watches a restored store in a tight loop if answers carry no epoch.
#[actix_rt::test]
async fn calls_to_a_restored_store_without_epochs_stay_bounded() {
    let bed = Bed::new(PLAIN).await;
    bed.store.omit_epoch();
    let backup = bed.store.backup();
    write_entry(&bed, &bed.upstreams[0], &[&bed.front.front]).await;
    restore_without_outage(&bed, &backup).await;
    let before = bed.store.calls();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let made = bed.store.calls() - before;
    assert!(made <= MAX_CALLS_PER_SECOND, "{made} calls in a second");
}

// Each list of the same epoch restarts the grace period, so a live upstream is never used again.
#[actix_rt::test]
async fn a_new_list_does_not_extend_the_restore_grace() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    restore_removed_entry(&bed).await;
    let (store, other) = (bed.store.clone(), bed.upstreams[1].clone());
    let list_task = actix_rt::spawn(async move {
        for n in 1.. {
            store.set_fault(StoreFault::DeafWatches);
            store.put_cold(&other, Duration::from_millis(n));
            store.forget_history();
            store.set_fault(StoreFault::None);
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    });
    until("u1 is used", || front.scheduler.is_available("u1")).await;
    list_task.abort();
}

// A VM that cannot reach the restored store misses departures: its peers' news do not follow its
// revision and are dropped.
#[actix_rt::test]
async fn a_vm_cut_off_from_the_restored_store_sees_departures() {
    let bed = Bed::new(PLAIN).await;
    // The second VM has a store of its own with the same entries, so that only it is cut off.
    let cut_off_store = Store::start().await;
    cut_off_store.put_config(&config(1));
    for upstream in &bed.upstreams {
        cut_off_store.put_upstream(upstream, false);
    }
    let late = start(&settings(&cut_off_store, "front-2", "")).await;
    let late = late.expect("a front");
    until("the second VM is ready", || late.front.lifecycle.is_ready()).await;
    cut_off_store.set_fault(StoreFault::Silent);
    let (peers, first) = (&late.front.peers, &bed.front.front);
    let addr = *first.peer_addr.get().expect("an address");
    peers.insert(&first.name, addr, &first.failure_domain);
    until("it hears the first VM", || peers.is_live(&first.name)).await;
    bed.store.restore(&bed.store.backup());
    bed.store.put_upstream(&bed.upstreams[0], true);
    until("u1 is leaving", || is_leaving(&late.front, "u1")).await;
}

// An evacuation is not seen until a watch that was open during the restore times out.
#[actix_rt::test]
async fn an_evacuation_is_seen_though_the_watch_is_silent_through_a_restore() {
    let bed = Bed::with(PLAIN, "[bounds]\nevacuate = 600s\n").await;
    let front = &bed.front.front;
    let backup = bed.store.backup();
    write_entry(&bed, &bed.upstreams[1], &[front]).await;
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.restore(&backup);
    bed.store.evacuate("a");
    until("a is evacuated", || !front.scheduler.is_available("u1")).await;
}
