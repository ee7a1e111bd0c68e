//! Upstreams that leave, with a word and without.

use crate::support::{Bed, PLAIN, plain, until};
use trouttrack_platform_standin::StoreFault;

async fn serves_only(bed: &Bed, kept: usize) {
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
async fn one_that_announces_it_gets_no_new_work() {
    let bed = Bed::new(PLAIN).await;
    bed.store.put_upstream(&bed.upstreams[0], true);
    until("it leaves", || is_leaving(&bed, 0)).await;
    serves_only(&bed, 1).await;
}

#[actix_rt::test]
async fn one_whose_entry_disappears_gets_no_new_work() {
    let bed = Bed::new(PLAIN).await;
    bed.store.remove_upstream("u1");
    until("it leaves", || is_leaving(&bed, 0)).await;
    serves_only(&bed, 1).await;
}

#[actix_rt::test]
async fn it_gets_none_while_the_store_is_away_either() {
    let bed = Bed::new(PLAIN).await;
    bed.store.put_upstream(&bed.upstreams[0], true);
    until("it leaves", || is_leaving(&bed, 0)).await;
    bed.store.set_fault(StoreFault::Refuse);
    serves_only(&bed, 1).await;
}

#[actix_rt::test]
async fn a_watch_that_hears_nothing_is_found_out() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.put_upstream(&bed.upstreams[0], true);
    // The configuration's confirmation shows that the store has moved on.
    bed.store.set_fault(StoreFault::None);
    until("it leaves", || is_leaving(&bed, 0)).await;
}

#[actix_rt::test]
async fn lost_history_is_made_up_for_by_listing() {
    let bed = Bed::new(PLAIN).await;
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.remove_upstream("u2");
    bed.store.forget_history();
    bed.store.set_fault(StoreFault::None);
    until("it leaves", || is_leaving(&bed, 1)).await;
    serves_only(&bed, 0).await;
}

#[actix_rt::test]
async fn entries_that_lapse_in_an_outage_are_used_until_after_it() {
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
    until("the return is noticed", || {
        let front = &bed.front.front;
        front.store_contact.age_ms(front.clock.now()).is_some()
    })
    .await;
    // Both are back, as the platform promises for those that live.
    bed.store.put_upstream(&bed.upstreams[0], false);
    bed.store.put_upstream(&bed.upstreams[1], false);
    until("keys are confirmed", || bed.front.front.routing.is_fresh()).await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    assert!(!is_leaving(&bed, 0) && !is_leaving(&bed, 1));
}

#[actix_rt::test]
async fn after_an_outage_gone_is_gone_also_if_peers_confirm_the_configuration() {
    let bed = Bed::new(PLAIN).await;
    let front = bed.front.front.clone();
    bed.store.set_fault(StoreFault::Refuse);
    until("the outage is noticed", || {
        front.store_contact.age_ms(front.clock.now()).is_none()
    })
    .await;
    // Peers' heartbeats confirm from here on, so no call is due for that.
    let confirmed = front.clone();
    let peers = actix_rt::spawn(async move {
        loop {
            confirmed.routing.confirmed(confirmed.clock.now());
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
    bed.store.set_fault(StoreFault::None);
    until("the return is noticed", || {
        front.store_contact.age_ms(front.clock.now()).is_some()
    })
    .await;
    tokio::time::sleep(std::time::Duration::from_millis(2500)).await;
    bed.store.remove_upstream("u1");
    until("it leaves", || is_leaving(&bed, 0)).await;
    peers.abort();
}
