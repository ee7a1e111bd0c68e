//! Departure of upstreams, announced and unannounced.

use crate::support::{Bed, PLAIN, plain, until};
use trouttrack_platform_standin::StoreFault;

async fn assert_only_serves(bed: &Bed, kept: usize) {
    let other = 1 - kept;
    let before = bed.upstreams[other].arrivals().len();
    for n in 0..8 {
        assert_eq!(bed.send(&plain(&format!("s{n}"), "many")).await.status, 200);
    }
    assert_eq!(bed.upstreams[other].arrivals().len(), before);
}

fn is_leaving(bed: &Bed, index: usize) -> bool {
    let upstreams = &bed.front.front.upstreams;
    let known = upstreams.get(&bed.upstreams[index].id);
    known.is_none_or(|u| u.is_leaving())
}

#[actix_rt::test]
async fn an_upstream_that_announces_its_departure_gets_no_new_work() {
    let bed = Bed::new(PLAIN).await;
    bed.store.put_upstream(&bed.upstreams[0], true);
    until("it leaves", || is_leaving(&bed, 0)).await;
    assert_only_serves(&bed, 1).await;
}

#[actix_rt::test]
async fn an_upstream_whose_entry_disappears_gets_no_new_work() {
    let bed = Bed::new(PLAIN).await;
    bed.store.remove_upstream("u1");
    until("it leaves", || is_leaving(&bed, 0)).await;
    assert_only_serves(&bed, 1).await;
}

#[actix_rt::test]
async fn a_leaving_upstream_gets_no_new_work_during_a_store_outage() {
    let bed = Bed::new(PLAIN).await;
    bed.store.put_upstream(&bed.upstreams[0], true);
    until("it leaves", || is_leaving(&bed, 0)).await;
    bed.store.set_fault(StoreFault::Refuse);
    assert_only_serves(&bed, 1).await;
}

#[actix_rt::test]
async fn a_watch_that_reports_no_changes_is_detected() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.put_upstream(&bed.upstreams[0], true);
    // The next confirmation of the configuration carries a higher store revision, which
    // reveals that the watch missed a change.
    bed.store.set_fault(StoreFault::None);
    until("it leaves", || is_leaving(&bed, 0)).await;
}

#[actix_rt::test]
async fn a_watch_with_compacted_history_falls_back_to_listing() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.remove_upstream("u2");
    bed.store.forget_history();
    bed.store.set_fault(StoreFault::None);
    until("it leaves", || is_leaving(&bed, 1)).await;
    assert_only_serves(&bed, 0).await;
}

#[actix_rt::test]
async fn upstreams_whose_entries_lapse_in_an_outage_stay_in_use() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::Refuse);
    until("the outage is noticed", || {
        let front = &bed.front.front;
        front.store_contact.age_ms(front.clock.now()).is_none()
    })
    .await;
    bed.store.remove_upstream("u1");
    bed.store.remove_upstream("u2");
    bed.store.set_fault(StoreFault::None);
    until("the end of the outage is noticed", || {
        let front = &bed.front.front;
        front.store_contact.age_ms(front.clock.now()).is_some()
    })
    .await;
    // Both write their entries again, which the platform guarantees for upstreams that are
    // alive.
    bed.store.put_upstream(&bed.upstreams[0], false);
    bed.store.put_upstream(&bed.upstreams[1], false);
    until("keys are confirmed", || bed.front.front.routing.is_fresh()).await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    assert!(!is_leaving(&bed, 0) && !is_leaving(&bed, 1));
}

#[actix_rt::test]
async fn after_an_outage_a_removal_is_noticed_even_if_peers_confirm_the_configuration() {
    let bed = Bed::new(PLAIN).await;
    let front = bed.front.front.clone();
    bed.store.set_fault(StoreFault::Refuse);
    until("the outage is noticed", || {
        front.store_contact.age_ms(front.clock.now()).is_none()
    })
    .await;
    // Simulates confirmation by peers' heartbeats, so that this VM makes no confirming call of
    // its own that would reveal the change.
    let confirmed = front.clone();
    let peers = actix_rt::spawn(async move {
        loop {
            confirmed.routing.confirmed(confirmed.clock.now());
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
    bed.store.set_fault(StoreFault::None);
    until("the end of the outage is noticed", || {
        front.store_contact.age_ms(front.clock.now()).is_some()
    })
    .await;
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    bed.store.remove_upstream("u1");
    until("it leaves", || is_leaving(&bed, 0)).await;
    peers.abort();
}
