//! Failure domains that an operator evacuates.

use crate::support::{Bed, ENGINES, PLAIN, config, events, long, plain, settings, until};
use std::time::Duration;
use trouttrack_front::app::{Running, start};
use trouttrack_front::state::Front;
use trouttrack_platform_standin::{Behaviour, Store, StoreFault, Upstream};

/// Requests after which both upstreams would have got some.
const MANY: usize = 12;
/// Longer than the bound in which an evacuation is in force.
const PAST_THE_BOUND: Duration = Duration::from_secs(6);

/// A front in failure domain `a`, an upstream there and one in `b`.
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

/// Sends requests, all of which are served, and returns how many reached each upstream.
async fn served_by(bed: &Bed) -> [usize; 2] {
    let arrived = || [0, 1].map(|n| bed.upstreams[n].arrivals().len());
    let before = arrived();
    for n in 0..MANY {
        let req = plain(&format!("s{}-{n}", before[0] + before[1]), "many");
        assert_eq!(bed.send(&req).await.status, 200);
    }
    let after = arrived();
    [after[0] - before[0], after[1] - before[1]]
}

#[actix_rt::test]
async fn its_upstreams_get_nothing_until_it_is_taken_back() {
    let bed = bed(PLAIN).await;
    assert!(served_by(&bed).await[0] > 0);
    bed.store.evacuate("a");
    until("it is in force", || !is_available(&bed.front.front, "u1")).await;
    assert_eq!(served_by(&bed).await, [0, MANY]);
    bed.store.take_back("a");
    until("it is taken back", || is_available(&bed.front.front, "u1")).await;
    assert!(served_by(&bed).await[0] > 0);
}

#[actix_rt::test]
async fn an_outage_of_the_store_does_not_lift_it() {
    let bed = bed(PLAIN).await;
    bed.store.evacuate("a");
    until("it is in force", || !is_available(&bed.front.front, "u1")).await;
    bed.store.set_fault(StoreFault::Refuse);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(served_by(&bed).await, [0, MANY]);
    bed.store.set_fault(StoreFault::None);
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert_eq!(served_by(&bed).await, [0, MANY]);
}

#[actix_rt::test]
async fn an_upstream_that_joins_later_gets_nothing_either() {
    let mut bed = bed(PLAIN).await;
    bed.store.evacuate("a");
    until("it is in force", || !is_available(&bed.front.front, "u1")).await;
    let late = Upstream::start("u4", PLAIN, "a").await;
    bed.store.put_upstream(&late, false);
    until("it is known", || {
        bed.front.front.upstreams.get("u4").is_some()
    })
    .await;
    bed.upstreams[0] = late;
    assert_eq!(served_by(&bed).await, [0, MANY]);
}

#[actix_rt::test]
async fn with_all_evacuated_callers_are_told_at_once_that_nothing_ran() {
    let bed = bed(PLAIN).await;
    bed.store.evacuate("a");
    bed.store.evacuate("b");
    until("both are in force", || {
        !is_available(&bed.front.front, "u1") && !is_available(&bed.front.front, "u3")
    })
    .await;
    let reply = bed.send(&plain("r1", "many")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after.is_some());
    assert!(bed.ran("r1").is_empty());
}

#[actix_rt::test]
async fn a_new_configuration_does_not_lift_it() {
    let bed = bed(PLAIN).await;
    bed.store.evacuate("a");
    until("it is in force", || !is_available(&bed.front.front, "u1")).await;
    bed.store.put_config(&config(2));
    until("the version is in force", || {
        bed.front.front.routing.version() == 2
    })
    .await;
    assert_eq!(served_by(&bed).await, [0, MANY]);
}

#[actix_rt::test]
async fn history_that_is_gone_is_made_up_for_by_listing() {
    let bed = bed(PLAIN).await;
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.evacuate("a");
    bed.store.forget_history();
    bed.store.set_fault(StoreFault::None);
    until("it is in force", || !is_available(&bed.front.front, "u1")).await;
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.take_back("a");
    bed.store.forget_history();
    bed.store.set_fault(StoreFault::None);
    until("it is taken back", || is_available(&bed.front.front, "u1")).await;
}

#[actix_rt::test]
async fn a_vm_that_starts_meanwhile_knows_it_before_it_serves() {
    let bed = bed(PLAIN).await;
    bed.store.evacuate("a");
    until("it is in force", || !is_available(&bed.front.front, "u1")).await;
    let late = start(&settings(&bed.store, "front-2", "")).await;
    let late = late.expect("a front");
    until("it is ready", || late.front.lifecycle.is_ready()).await;
    assert!(!is_available(&late.front, "u1"));
}

/// A second front whose store has all but the evacuations, as one that is cut off
/// from it has seen it last.
async fn out_of_touch(bed: &Bed) -> (Store, Running) {
    let store = Store::start().await;
    store.put_config(&config(1));
    for upstream in &bed.upstreams {
        store.put_upstream(upstream, false);
    }
    let front = start(&settings(&store, "front-2", "")).await;
    let front = front.expect("a front");
    until("it is ready", || front.front.lifecycle.is_ready()).await;
    (store, front)
}

#[actix_rt::test]
async fn a_vm_that_is_cut_off_from_the_store_hears_of_it_from_peers() {
    let bed = bed(PLAIN).await;
    let (store, late) = out_of_touch(&bed).await;
    store.set_fault(StoreFault::Silent);
    let (peers, own) = (&late.front.peers, &bed.front.front);
    let addr = *own.peer_addr.get().expect("an address");
    peers.insert(&own.name, addr, &own.failure_domain);
    until("they hear each other", || peers.has_heard(&own.name)).await;
    // Later than all that the other store has seen.
    bed.store.put_config(&config(7));
    bed.store.evacuate("a");
    until("it is in force", || !is_available(&late.front, "u1")).await;
    bed.store.take_back("a");
    until("it is taken back", || is_available(&late.front, "u1")).await;
}

#[actix_rt::test]
async fn what_runs_there_ends_there() {
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
async fn no_generation_is_moved_there() {
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
    until("it is in force", || {
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
async fn it_is_in_force_within_its_bound_though_the_watch_fell_silent() {
    let bed = bed(PLAIN).await;
    // Open watches say nothing more, and no connection is closed.
    bed.store.set_fault(StoreFault::DeafWatches);
    bed.store.evacuate("a");
    bed.store.set_fault(StoreFault::None);
    until("it is in force", || !is_available(&bed.front.front, "u1")).await;
    tokio::time::sleep(PAST_THE_BOUND).await;
    assert_eq!(served_by(&bed).await, [0, MANY]);
}
