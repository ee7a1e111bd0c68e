//! VMs that are partitioned from upstreams, while callers, peers and the store reach them.

use crate::plain::CASES;
use crate::support::{Bed, ENGINES, PLAIN, events, long, plain, settings_in, until};
use std::net::Ipv4Addr;
use std::time::Duration;
use trouttrack_front::app::{Running, start, stop};
use trouttrack_platform_standin::{Behaviour, CutEnd, OpenConnections, Place, StreamCut, Upstream};

/// Local addresses of the VMs' connections to upstreams.
const SOURCES: [Ipv4Addr; 3] = [
    Ipv4Addr::new(127, 0, 0, 2),
    Ipv4Addr::new(127, 0, 0, 3),
    Ipv4Addr::new(127, 0, 0, 4),
];
/// Events of each stream.
const EVENTS: u64 = 3;
const GRACE: Duration = Duration::from_secs(8);

/// Three VMs in two failure domains, with two plain upstreams and two engines.
struct Fleet {
    bed: Bed,
    others: Vec<Running>,
}

impl Fleet {
    async fn new() -> Self {
        let source = |n: usize| format!("source = {}\n", SOURCES[n]);
        let mut bed = Bed::with(PLAIN, &source(0)).await;
        for id in ["e1", "e2"] {
            let engine = Upstream::start(id, ENGINES, "a").await;
            engine.always(Behaviour::Stream(EVENTS));
            bed.store.put_upstream(&engine, false);
            bed.upstreams.push(engine);
        }
        let mut others = Vec::new();
        for (n, domain) in [(1, "a"), (2, "b")] {
            let name = format!("front-{}", n + 1);
            let vm = start(&settings_in(&bed.store, &name, domain, &source(n))).await;
            others.push(vm.expect("the VM starts"));
        }
        let fleet = Self { bed, others };
        let count = fleet.vms().count();
        for vm in fleet.vms() {
            let front = &vm.front;
            until("each VM knows the others and the upstreams", || {
                let knows = |u: &Upstream| front.upstreams.get(&u.id).is_some();
                let peers = front.peers.live_names().len();
                peers + 1 == count
                    && fleet.bed.upstreams.iter().all(knows)
                    && front.lifecycle.is_ready()
            })
            .await;
        }
        fleet
    }

    fn vms(&self) -> impl Iterator<Item = &Running> + Clone {
        std::iter::once(&self.bed.front).chain(&self.others)
    }

    /// Partitions the first `vms` VMs from all upstreams.
    fn cut(&self, vms: usize, open: OpenConnections) {
        for upstream in &self.bed.upstreams {
            for source in &SOURCES[..vms] {
                upstream.partition_from(*source, open);
            }
        }
    }

    /// Sends requests to the first VM until it has noticed that its connections fail.
    async fn notice(&self) {
        for (n, route) in ["many", "once", "resume", "draft"]
            .iter()
            .cycle()
            .take(24)
            .enumerate()
        {
            let req = long(&format!("notice-{n}"), route).patience(Duration::from_millis(400));
            self.bed.send(&req).await;
        }
    }

    /// Sends requests of each kind to the first VM; returns the ids of those that were not
    /// answered at the first attempt.
    async fn unserved(&self, when: &str) -> Vec<String> {
        let mut unserved = Vec::new();
        for n in 0..8 {
            for route in ["many", "once", "resume", "draft"] {
                let id = format!("{when}-{route}-{n}");
                let req = match route {
                    "many" | "once" => plain(&id, route),
                    _ => long(&id, route),
                };
                let reply = self.bed.send(&req).await;
                if reply.status != 200 || !reply.whole {
                    unserved.push(format!("{id}: {}", reply.status));
                    continue;
                }
                assert_eq!(self.bed.ran(&id).len(), 1, "{id} ran once");
            }
        }
        unserved
    }
}

/// A fleet whose first VM has noticed that its paths to all upstreams are lost.
async fn partitioned(open: OpenConnections) -> Fleet {
    let fleet = Fleet::new().await;
    fleet.cut(1, open);
    fleet.notice().await;
    fleet
}

/// Guards against refusing callers of a VM that has lost its paths to all upstreams while its
/// peers reach them.
#[actix_rt::test]
async fn callers_of_a_vm_without_paths_to_upstreams_are_served() {
    for open in [
        OpenConnections::Hang,
        OpenConnections::Reset,
        OpenConnections::LiveOn,
    ] {
        let fleet = Fleet::new().await;
        assert!(fleet.unserved("before").await.is_empty());
        fleet.cut(1, open);
        fleet.notice().await;
        let unserved = fleet.unserved("cut").await;
        assert!(unserved.is_empty(), "{open:?}: {unserved:?}");
    }
}

/// Guards against holding requests, and blaming upstreams for all VMs, because connections of a
/// partitioned VM were reset.
#[actix_rt::test]
async fn a_partitioned_vm_blames_neither_requests_nor_upstreams() {
    let fleet = Fleet::new().await;
    for upstream in &fleet.bed.upstreams {
        let behaviour = match upstream.service.as_str() {
            PLAIN => Behaviour::Silent,
            _ => Behaviour::StreamSilent(9, 1),
        };
        upstream.always(behaviour);
    }
    let mut waiting = Vec::new();
    for n in 0..4 {
        for route in ["many", "draft"] {
            let (addr, id) = (fleet.bed.addr(), format!("{route}-{n}"));
            // Equal bodies, so that all count as the same request.
            waiting.push(actix_rt::spawn(
                async move { long(&id, route).send(addr).await },
            ));
        }
    }
    until("upstreams work on the requests", || {
        let working = fleet.bed.upstreams.iter().map(Upstream::working_on);
        working.sum::<usize>() == waiting.len()
    })
    .await;
    fleet.cut(1, OpenConnections::Reset);
    for answer in waiting {
        let reply = answer.await.expect("an answer");
        assert!(reply.status != 200 || !reply.whole, "{reply:?}");
    }
    for vm in fleet.vms() {
        assert!(vm.front.quarantine.is_empty(), "{}", vm.front.name);
        assert_eq!(vm.front.scheduler.unreachable(), 0, "{}", vm.front.name);
    }
}

/// Guards against taking the refusals of peers that are partitioned themselves for a proof that an
/// upstream is gone.
#[actix_rt::test]
async fn a_partitioned_peer_does_not_confirm_a_refusal() {
    let fleet = Fleet::new().await;
    fleet.cut(3, OpenConnections::Reset);
    // Its address refuses connections; those to the others hang.
    fleet.bed.upstreams[0].kill();
    for n in 0..6 {
        let req = plain(&format!("r{n}"), "once");
        assert_eq!(fleet.bed.send(&req).await.status, 503);
    }
    for vm in fleet.vms() {
        assert_eq!(vm.front.scheduler.unreachable(), 0, "{}", vm.front.name);
    }
}

/// Guards against sending a request that ends engines to all of them, because a partitioned VM takes
/// every end for its own network's.
#[actix_rt::test]
async fn a_partitioned_vm_counts_the_upstreams_that_end_under_a_request() {
    let fleet = partitioned(OpenConnections::Hang).await;
    for engine in &fleet.bed.upstreams {
        engine.ends_under("deadly");
    }
    let req = plain("r1", "draft").post("deadly").tokens(100, 400);
    assert_eq!(fleet.bed.send(&req).await.status, 502);
    let quarantine = &fleet.bed.front.front.quarantine;
    until("the end is counted", || !quarantine.is_empty()).await;
}

/// Both VMs of a failure domain are partitioned.
#[actix_rt::test]
async fn callers_of_a_partitioned_failure_domain_are_served() {
    let fleet = Fleet::new().await;
    fleet.cut(2, OpenConnections::Hang);
    fleet.notice().await;
    let unserved = fleet.unserved("cut").await;
    assert!(unserved.is_empty(), "{unserved:?}");
}

/// Nobody reaches the upstreams: refusals are true.
#[actix_rt::test]
async fn with_every_vm_partitioned_requests_are_refused_as_not_run() {
    let fleet = Fleet::new().await;
    fleet.cut(3, OpenConnections::Hang);
    fleet.notice().await;
    for n in 0..8 {
        for route in ["many", "once", "resume", "draft"] {
            let id = format!("cut-{route}-{n}");
            let reply = fleet.bed.send(&long(&id, route)).await;
            assert_eq!(reply.status, 503, "{id}");
            assert!(reply.retry_after.is_some(), "{id}");
            assert!(fleet.bed.ran(&id).is_empty(), "{id}");
        }
    }
}

/// The partition ends: connections are direct again, and no peer is asked.
#[actix_rt::test]
async fn after_a_partition_connections_are_direct() {
    let fleet = partitioned(OpenConnections::Hang).await;
    let paths = &fleet.bed.front.front.paths;
    assert!(paths.lost() > 0);
    for upstream in &fleet.bed.upstreams {
        upstream.rejoin(SOURCES[0]);
    }
    let mut n = 0;
    while paths.lost() > 0 {
        n += 1;
        assert!(n < 1000, "{} paths are still lost", paths.lost());
        let unserved = fleet.unserved(&format!("back-{n}")).await;
        assert!(unserved.is_empty(), "{unserved:?}");
        // Relayed connections carry requests for a second.
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Every fault of an upstream ends a relayed request like a direct one.
#[actix_rt::test]
async fn upstream_faults_yield_the_expected_status_on_relayed_connections() {
    let fleet = partitioned(OpenConnections::Hang).await;
    let plain_upstreams = || fleet.bed.upstreams.iter().filter(|u| u.service == PLAIN);
    for case in CASES {
        plain_upstreams().for_each(|u| u.always(case.behaviour));
        let id = format!("{:?}", case.behaviour);
        let reply = fleet.bed.send(&plain(&id, "once")).await;
        assert_eq!(reply.status, case.unrepeatable_status, "{id}");
        assert_eq!(fleet.bed.ran(&id).len(), case.unrepeatable_runs, "{id}");
        plain_upstreams().for_each(|u| u.always(Behaviour::Whole));
        // Failures in a row close an upstream.
        for n in 0..4 {
            fleet.bed.send(&plain(&format!("{id}-{n}"), "many")).await;
        }
    }
}

/// Guards against a relayed connection whose end passes for its upstream's, and against a sound
/// answer that is broken off because it ends with one.
#[actix_rt::test]
async fn unframed_streams_end_on_relayed_connections_as_at_their_upstreams() {
    let fleet = partitioned(OpenConnections::Hang).await;
    let engines = || fleet.bed.upstreams.iter().filter(|u| u.service == ENGINES);
    engines().for_each(|u| u.always(Behaviour::StreamUnframed(EVENTS)));
    let reply = fleet.bed.send(&long("whole", "draft")).await;
    assert!(reply.whole && !reply.framed);
    assert_eq!(reply.text(), events("whole", EVENTS));
    for place in [Place::BetweenEvents, Place::InsideEvent] {
        let cut = StreamCut {
            events: EVENTS,
            after: 1,
            place,
            end: CutEnd::Reset,
        };
        engines().for_each(|u| u.always(Behaviour::StreamCut(cut)));
        let reply = fleet.bed.send(&long("reset", "draft")).await;
        assert!(!reply.whole, "{place:?}");
        assert_eq!(reply.text(), events("reset", 1), "{place:?}");
    }
}

/// The work of a caller that leaves is cancelled through the relaying peer.
#[actix_rt::test]
async fn a_caller_that_leaves_cancels_its_relayed_work() {
    let fleet = partitioned(OpenConnections::Hang).await;
    let upstreams = &fleet.bed.upstreams;
    upstreams.iter().for_each(|u| u.always(Behaviour::Silent));
    let (req, addr) = (plain("r1", "once"), fleet.bed.addr());
    let waiting = actix_rt::spawn(async move { req.send(addr).await });
    until("an upstream has the request", || {
        upstreams.iter().any(|u| u.working_on() > 0)
    })
    .await;
    waiting.abort();
    until("the work is cancelled", || {
        upstreams.iter().all(|u| u.working_on() == 0)
    })
    .await;
}

/// A planned stop of the relaying peers cuts off no relayed stream.
#[actix_rt::test]
async fn a_planned_stop_waits_for_relayed_requests() {
    let fleet = partitioned(OpenConnections::Hang).await;
    for engine in &fleet.bed.upstreams {
        engine.always(Behaviour::Stream(100));
        engine.pace(Duration::from_millis(10));
    }
    let (req, addr) = (long("r1", "draft"), fleet.bed.addr());
    let answer = actix_rt::spawn(async move { req.send(addr).await });
    until("an engine is processing the request", || {
        fleet.bed.working().is_some()
    })
    .await;
    let relaying = fleet.others.iter().map(|vm| stop(&vm.front, GRACE));
    futures_util::future::join_all(relaying).await;
    let reply = answer.await.expect("an answer");
    assert!(reply.whole);
    assert_eq!(reply.text(), events("r1", 100));
}
