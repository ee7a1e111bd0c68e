//! Quarantine of a request that crashes every upstream that runs it.
//!
//! Guards against a caller that repeats such a request under new ids: each arrival may crash
//! one upstream per attempt, unless VMs remember the fingerprint of the request and share it.
//! Without that, 16 arrivals within nine seconds at 6 VMs made 23 engines exit, in a fleet
//! of 9 engines, together with the other generations that they ran.

use crate::support::{Bed, ENGINES, PLAIN, config, knows_fleet, plain, settings, until};
use std::time::Duration;
use trouttrack_front::app::{Running, start};
use trouttrack_platform_standin::{Behaviour, CallerRequest, Reply, Store, Upstream};

/// Body of the request that makes an upstream exit.
const FATAL_BODY: &str = "fatal body";
/// Upstreams that may exit before the request is refused by all VMs.
const MAX_EXITS: usize = 3;
/// Exits caused by permitted retries after that, over all VMs.
const MAX_LATER_EXITS: usize = 3;
/// Time within which all VMs must know of the request, as bounded by the platform.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Arrivals at each VM before and after that time.
const ARRIVALS_PER_VM: usize = 6;
/// More upstreams than can exit before all VMs know of the request, for any order of arrivals.
const UPSTREAMS: usize = 24;

/// Two VMs with many upstreams, all of which exit when they run the fatal request.
struct FatalRequestBed {
    bed: Bed,
    other: Running,
    upstreams: Vec<Upstream>,
}

impl FatalRequestBed {
    async fn new(service: &str) -> Self {
        Self::with_port_linger(service, Duration::ZERO).await
    }

    /// Upstreams whose ports stay open for `port_linger` after their connections close.
    async fn with_port_linger(service: &str, port_linger: Duration) -> Self {
        let bed = Bed::new(service).await;
        let other = start(&settings(&bed.store, "front-2", "")).await;
        let other = other.expect("a front");
        let mut upstreams = bed.upstreams.clone();
        for n in upstreams.len()..UPSTREAMS {
            upstreams.push(Upstream::start(&format!("more-{n}"), service, "a").await);
        }
        for upstream in &upstreams {
            upstream.ends_under(FATAL_BODY);
            upstream.lingers(port_linger);
            upstream.always(match service {
                ENGINES => Behaviour::Stream(4),
                _ => Behaviour::Whole,
            });
            bed.store.put_upstream(upstream, false);
        }
        let fleet = Self {
            bed,
            other,
            upstreams,
        };
        fleet.wait_until_ready().await;
        fleet
    }

    async fn wait_until_ready(&self) {
        for front in self.fronts() {
            knows_fleet(front, &self.upstreams).await;
        }
    }

    fn fronts(&self) -> [&Running; 2] {
        [&self.bed.front, &self.other]
    }

    fn ended(&self) -> usize {
        let ended = self.upstreams.iter().filter(|u| u.has_ended());
        ended.count()
    }

    /// Sends the fatal request to each VM, and removes exited upstreams from the store.
    async fn send_to_each_vm(&self, route: &str, ids: &str) -> Vec<Reply> {
        let mut replies = Vec::new();
        for (n, front) in self.fronts().into_iter().enumerate() {
            let req = fatal_request(&format!("{ids}-{n}"), route);
            replies.push(req.send(front.callers).await);
            for upstream in self.upstreams.iter().filter(|u| u.has_ended()) {
                self.bed.store.remove_upstream(&upstream.id);
            }
        }
        replies
    }

    /// Sends the fatal request repeatedly. Returns the number of upstreams that exited by the
    /// time at which all VMs must know of it, and the total number.
    async fn send_repeatedly(&self, route: &str) -> (usize, usize) {
        for n in 0..ARRIVALS_PER_VM {
            self.send_to_each_vm(route, &format!("early{n}")).await;
        }
        tokio::time::sleep(PROPAGATION_TIME).await;
        let early_exits = self.ended();
        for n in 0..ARRIVALS_PER_VM {
            self.send_to_each_vm(route, &format!("late{n}")).await;
        }
        (early_exits, self.ended())
    }
}

fn fatal_request(id: &str, route: &str) -> CallerRequest {
    plain(id, route).post(FATAL_BODY).tokens(100, 8)
}

fn harmless_request(id: &str, route: &str) -> CallerRequest {
    plain(id, route).post("harmless body").tokens(100, 8)
}

async fn check_quarantined(service: &str, route: &str) {
    check_quarantined_in(FatalRequestBed::new(service).await, route).await;
}

async fn check_quarantined_in(fleet: FatalRequestBed, route: &str) {
    let (early_exits, total_exits) = fleet.send_repeatedly(route).await;
    assert!(
        (1..=MAX_EXITS).contains(&early_exits),
        "{early_exits} exited before all VMs knew"
    );
    assert!(
        total_exits - early_exits <= MAX_LATER_EXITS,
        "{total_exits} exited, {} of them after all VMs had to know",
        total_exits - early_exits
    );
    // The refusal has a retry delay, causes no run, and does not affect other requests.
    for reply in fleet.send_to_each_vm(route, "told").await {
        assert_eq!(reply.status, 503);
        assert!(reply.retry_after.is_some());
    }
    assert_eq!(fleet.ended(), total_exits);
    for front in fleet.fronts() {
        let reply = harmless_request("harmless", route)
            .send(front.callers)
            .await;
        assert_eq!(reply.status, 200);
    }
}

/// All VMs lose power, and one starts while no other is running.
#[actix_rt::test]
async fn quarantine_survives_the_loss_of_all_vms() {
    let fleet = FatalRequestBed::new(ENGINES).await;
    fleet.send_repeatedly("resume").await;
    until("the store has the quarantine entry", || {
        !fleet.bed.store.holds().is_empty()
    })
    .await;
    let store = Store::start().await;
    store.put_config(&config(1));
    store.inherit_holds(&fleet.bed.store);
    let upstream = Upstream::start("u1", ENGINES, "a").await;
    upstream.ends_under(FATAL_BODY);
    store.put_upstream(&upstream, false);
    let restarted = start(&settings(&store, "front-1", "")).await;
    let restarted = restarted.expect("a front");
    until("the VM is ready", || restarted.front.lifecycle.is_ready()).await;
    until("keys are confirmed", || restarted.front.routing.is_fresh()).await;
    until("the quarantine entry is read", || {
        restarted.front.quarantine.held() > 0
    })
    .await;
    let reply = fatal_request("alone", "resume")
        .send(restarted.callers)
        .await;
    assert_eq!(reply.status, 503);
    assert!(!upstream.has_ended());
}

#[actix_rt::test]
async fn fatal_stream_is_quarantined() {
    check_quarantined(ENGINES, "resume").await;
    check_quarantined(ENGINES, "draft").await;
}

/// An exiting process may close its connections before its port.
#[actix_rt::test]
async fn exit_is_detected_when_the_port_closes_last() {
    let fleet = FatalRequestBed::with_port_linger(ENGINES, Duration::from_millis(30)).await;
    let replies = fleet.send_to_each_vm("resume", "first").await;
    assert!(replies.iter().all(|reply| reply.status == 502));
    until("both VMs quarantine the request", || {
        let held = |f: &&Running| f.front.quarantine.held() > 0;
        fleet.fronts().iter().all(held)
    })
    .await;
}

#[actix_rt::test]
async fn fatal_plain_call_is_quarantined() {
    check_quarantined(PLAIN, "many").await;
    check_quarantined(PLAIN, "once").await;
}
