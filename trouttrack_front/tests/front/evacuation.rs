//! Tests of failure domains that an operator evacuates.

use crate::support::{Bed, ENGINES, PLAIN, config, events, long, plain, settings, until};
use std::time::Duration;
use trouttrack_front::app::{Running, start};
use trouttrack_front::state::Front;
use trouttrack_platform_standin::{Behaviour, Store, StoreFault, Upstream};

/// Enough requests that each of two upstreams in use gets some.
const REQUESTS: usize = 12;
/// Longer than the bound within which an evacuation must be in force.
const PAST_EVACUATION_BOUND: Duration = Duration::from_secs(6);

/// Starts a front in failure domain `a`, with one upstream there and one in `b`.
async fn bed(service: &str) -> Bed {
    let mut bed = Bed::new(service).await;
    let far = Upstream::start("u3", service, "b").await;
    bed.store.put_upstream(&far, false);
    bed.store.remove_upstream("u2");
    bed.upstreams[1] = far;
    until("the upstreams are known", || {
        let known = &bed.front.front.upstreams;
        known.get("u3").is_some() && known.get("u2").is_none()
    })
    .await;
    bed
}

fn is_available(front: &Front, upstream: &str) -> bool {
    front.scheduler.is_available(upstream)
}

/// Sends requests, checks that all are served, and returns how many reached each upstream.
async fn served_by(bed: &Bed) -> [usize; 2] {
    let arrived = || [0, 1].map(|n| bed.upstreams[n].arrivals().len());
    let before = arrived();
    for n in 0..REQUESTS {
        let req = plain(&format!("s{}-{n}", before[0] + before[1]), "many");
        assert_eq!(bed.send(&req).await.status, 200);
    }
    let after = arrived();
    [after[0] - before[0], after[1] - before[1]]
}

#[actix_rt::test]
async fn an_evacuated_domain_gets_no_requests_until_taken_back() {
    let bed = bed(PLAIN).await;
    assert!(served_by(&bed).await[0] > 0);
    bed.store.evacuate("a");
    until("the evacuation is in force", || {
        !is_available(&bed.front.front, "u1")
    })
    .await;
    assert_eq!(served_by(&bed).await, [0, REQUESTS]);
    bed.store.take_back("a");
    until("the evacuation is taken back", || {
        is_available(&bed.front.front, "u1")
    })
    .await;
    assert!(served_by(&bed).await[0] > 0);
}

#[actix_rt::test]
async fn an_evacuation_stays_in_force_during_a_store_outage() {
    let bed = bed(PLAIN).await;
    bed.store.evacuate("a");
    until("the evacuation is in force", || {
        !is_available(&bed.front.front, "u1")
    })
    .await;
    bed.store.set_fault(StoreFault::Refuse);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(served_by(&bed).await, [0, REQUESTS]);
    bed.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(served_by(&bed).await, [0, REQUESTS]);
}

#[actix_rt::test]
async fn an_upstream_added_to_an_evacuated_domain_gets_no_requests() {
    let mut bed = bed(PLAIN).await;
    bed.store.evacuate("a");
    until("the evacuation is in force", || {
        !is_available(&bed.front.front, "u1")
    })
    .await;
    let late = Upstream::start("u4", PLAIN, "a").await;
    bed.store.put_upstream(&late, false);
    until("u4 is known", || {
        bed.front.front.upstreams.get("u4").is_some()
    })
    .await;
    bed.upstreams[0] = late;
    assert_eq!(served_by(&bed).await, [0, REQUESTS]);
}

#[actix_rt::test]
async fn with_all_domains_evacuated_requests_are_refused_at_once() {
    let bed = bed(PLAIN).await;
    bed.store.evacuate("a");
    bed.store.evacuate("b");
    until("both evacuations are in force", || {
        !is_available(&bed.front.front, "u1") && !is_available(&bed.front.front, "u3")
    })
    .await;
    let reply = bed.send(&plain("r1", "many")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after.is_some());
    assert!(bed.ran("r1").is_empty());
}

#[actix_rt::test]
async fn an_evacuation_stays_in_force_after_a_configuration_change() {
    let bed = bed(PLAIN).await;
    bed.store.evacuate("a");
    until("the evacuation is in force", || {
        !is_available(&bed.front.front, "u1")
    })
    .await;
    bed.store.put_config(&config(2));
    until("version 2 is in force", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    assert_eq!(served_by(&bed).await, [0, REQUESTS]);
}

#[actix_rt::test]
async fn evacuations_are_listed_again_when_history_is_gone() {
    let bed = bed(PLAIN).await;
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.evacuate("a");
    bed.store.forget_history();
    bed.store.set_fault(StoreFault::None);
    until("the evacuation is in force", || {
        !is_available(&bed.front.front, "u1")
    })
    .await;
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.take_back("a");
    bed.store.forget_history();
    bed.store.set_fault(StoreFault::None);
    until("the evacuation is taken back", || {
        is_available(&bed.front.front, "u1")
    })
    .await;
}

#[actix_rt::test]
async fn a_new_vm_knows_evacuations_before_it_is_ready() {
    let bed = bed(PLAIN).await;
    bed.store.evacuate("a");
    until("the evacuation is in force", || {
        !is_available(&bed.front.front, "u1")
    })
    .await;
    let late = start(&settings(&bed.store, "front-2", "")).await;
    let late = late.expect("a front");
    until("the second VM is ready", || late.front.lifecycle.is_ready()).await;
    assert!(!is_available(&late.front, "u1"));
}

/// Starts a second front whose own store has all objects except the evacuations, like a front
/// that lost contact with the store before the evacuation.
async fn start_vm_cut_off_from_store(bed: &Bed) -> (Store, Running) {
    let store = Store::start().await;
    store.put_config(&config(1));
    for upstream in &bed.upstreams {
        store.put_upstream(upstream, false);
    }
    let front = start(&settings(&store, "front-2", "")).await;
    let front = front.expect("a front");
    until("the second VM is ready", || {
        front.front.lifecycle.is_ready()
    })
    .await;
    (store, front)
}

#[actix_rt::test]
async fn a_vm_cut_off_from_the_store_learns_evacuations_from_peers() {
    let bed = bed(PLAIN).await;
    let (store, late) = start_vm_cut_off_from_store(&bed).await;
    store.set_fault(StoreFault::Silent);
    let (peers, own) = (&late.front.peers, &bed.front.front);
    let addr = *own.peer_addr.get().expect("an address");
    peers.insert(&own.name, addr, &own.failure_domain);
    until("the second VM hears the first", || peers.is_live(&own.name)).await;
    // Raises the revision above those of the other store.
    bed.store.put_config(&config(7));
    bed.store.evacuate("a");
    until("the evacuation is in force", || {
        !is_available(&late.front, "u1")
    })
    .await;
    bed.store.take_back("a");
    until("the evacuation is taken back", || {
        is_available(&late.front, "u1")
    })
    .await;
}

#[actix_rt::test]
async fn running_generations_finish_in_an_evacuated_domain() {
    let bed = bed(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(100));
        upstream.pace(Duration::from_millis(20));
    }
    let (req, addr) = (long("r1", "draft"), bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    until("an engine works", || bed.working().is_some()).await;
    let home = bed.working().expect("it works").failure_domain.clone();
    bed.store.evacuate(&home);
    let reply = answer.await.expect("an answer");
    assert_eq!(reply.text(), events("r1", 100));
    assert_eq!(bed.ran("r1").len(), 1);
}

#[actix_rt::test]
async fn no_generation_is_moved_to_an_evacuated_domain() {
    let bed = bed(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(150));
        upstream.pace(Duration::from_millis(10));
    }
    let (req, addr) = (long("r1", "draft"), bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    until("an engine works", || bed.working().is_some()).await;
    let source = bed.working().expect("it works");
    let mut others = bed.upstreams.iter().filter(|u| u.id != source.id);
    let other = others.next().expect("another");
    bed.store.evacuate(&other.failure_domain);
    until("the evacuation is in force", || {
        !is_available(&bed.front.front, &other.id)
    })
    .await;
    bed.store.put_upstream(source, true);
    let reply = answer.await.expect("an answer");
    assert_eq!(reply.text(), events("r1", 150));
    assert!(other.arrivals().is_empty());
    assert!(source.copies().is_empty());
}

#[actix_rt::test]
async fn an_evacuation_is_in_force_within_its_bound_when_the_watch_is_silent() {
    let bed = bed(PLAIN).await;
    // Open watches deliver nothing more, but their connections stay open.
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.evacuate("a");
    bed.store.set_fault(StoreFault::None);
    until("the evacuation is in force", || {
        !is_available(&bed.front.front, "u1")
    })
    .await;
    tokio::time::sleep(PAST_EVACUATION_BOUND).await;
    assert_eq!(served_by(&bed).await, [0, REQUESTS]);
}
