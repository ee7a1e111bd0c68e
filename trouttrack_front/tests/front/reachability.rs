//! Upstreams at whose address nobody listens.

use crate::support::{Bed, ENGINES, PLAIN, long, plain, settings, until};
use trouttrack_front::app::{Running, start};
use trouttrack_platform_standin::{Behaviour, StoreFault, Upstream};

/// More gone upstreams than a request may have failed connections by time-out.
const GONE: usize = 6;

/// A fleet whose upstreams but `u1` and `u2` are gone, with entries that the store still lists.
async fn bed_with_gone_upstreams(service: &str) -> Bed {
    let mut bed = Bed::new(service).await;
    for n in 0..GONE {
        let gone = Upstream::start(&format!("gone{n}"), service, "a").await;
        bed.store.put_upstream(&gone, false);
        gone.kill();
        bed.upstreams.push(gone);
    }
    let front = &bed.front.front;
    until("all upstreams are listed", || {
        (0..GONE).all(|n| front.upstreams.get(&format!("gone{n}")).is_some())
    })
    .await;
    bed
}

async fn second_vm(bed: &Bed) -> Running {
    let other = start(&settings(&bed.store, "front-2", "")).await;
    let other = other.expect("second VM starts");
    until("the VMs have discovered each other", || {
        let has_peer = |vm: &Running| !vm.front.peers.others().is_empty();
        has_peer(&bed.front) && has_peer(&other) && other.front.lifecycle.is_ready()
    })
    .await;
    other
}

/// Most of the upstreams are gone, and the request may be sent only once.
#[actix_rt::test]
async fn refused_connections_are_no_attempts() {
    let bed = bed_with_gone_upstreams(PLAIN).await;
    for upstream in &bed.upstreams {
        upstream.kill();
    }
    let last = Upstream::start("last", PLAIN, "a").await;
    bed.store.put_upstream(&last, false);
    let front = &bed.front.front;
    until("the last upstream is listed", || {
        front.upstreams.get("last").is_some()
    })
    .await;
    for n in 0..4 {
        let reply = bed.send(&plain(&format!("r{n}"), "once")).await;
        assert_eq!(reply.status, 200);
    }
    assert_eq!(last.ran().len(), 4);
}

/// One VM is refused; the other one is informed, though the first has nothing running.
#[actix_rt::test]
async fn a_refused_connection_is_reported_to_the_other_vm() {
    let bed = Bed::new(PLAIN).await;
    let other = second_vm(&bed).await;
    bed.store.set_fault(StoreFault::Refuse);
    bed.upstreams[0].kill();
    let mut n = 0;
    while !bed.front.front.scheduler.refuses_connections("u1") {
        n += 1;
        let reply = bed.send(&plain(&format!("r{n}"), "many")).await;
        assert_eq!(reply.status, 200);
    }
    until("the other VM is informed", || {
        other.front.scheduler.refuses_connections("u1")
    })
    .await;
}

/// All upstreams are gone: the refusal is true, and names when one is tried again.
#[actix_rt::test]
async fn with_all_upstreams_gone_the_request_is_refused_as_not_run() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        upstream.always(Behaviour::Stream(3));
        upstream.kill();
    }
    let reply = bed.send(&long("r1", "draft")).await;
    assert_eq!(reply.status, 503);
    assert!(bed.ran("r1").is_empty());
    assert_eq!(bed.front.front.scheduler.unreachable(), 2);
    assert!(reply.retry_after.is_some_and(|seconds| seconds > 0.0));
}
