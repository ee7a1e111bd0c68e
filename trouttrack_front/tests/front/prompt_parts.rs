//! Quarantine of a part of prompts that crashes every upstream that begins to answer a request
//! with it.
//!
//! Guards against requests that have such a part in common and nothing else: no two are alike,
//! so a quarantine of whole requests refuses none of them, and each crashes one upstream per
//! attempt. Without a quarantine of parts, 20 engines of a fleet of 9 exited within ten seconds.
//! Sound requests share the organisation and all other parts with them, and must be served.

use crate::support::{Bed, ENGINES, ORGANISATION, config, plain, settings, until};
use std::time::{Duration, Instant};
use trouttrack_front::app::{Running, start};
use trouttrack_platform_standin::{Behaviour, CallerRequest, Reply, Store, Upstream};

/// Part under which upstreams exit, and two sound ones.
const FATAL: &str = "bad0";
const COMMON: &str = "5c1e07a2";
const OTHER: &str = "91bd3f06";
/// Exits under the part after which VMs have a bounded time to refuse it.
const BOUNDED_AFTER: usize = 5;
/// That time, the contact bound of the platform.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Requests with the part that may reach upstreams later.
const MAX_LATER: usize = 3;
/// More upstreams than can exit before all VMs know of the part.
const UPSTREAMS: usize = 30;
/// Pause between two arrivals.
const PAUSE: Duration = Duration::from_millis(20);

/// Two VMs with many upstreams, all of which exit when they begin to answer a request with the
/// fatal part.
struct PartBed {
    bed: Bed,
    other: Running,
    upstreams: Vec<Upstream>,
}

impl PartBed {
    async fn new() -> Self {
        let bed = Bed::new(ENGINES).await;
        let other = start(&settings(&bed.store, "front-2", "")).await;
        let other = other.expect("a front");
        let mut upstreams = bed.upstreams.clone();
        for n in upstreams.len()..UPSTREAMS {
            upstreams.push(Upstream::start(&format!("more-{n}"), ENGINES, "a").await);
        }
        for upstream in &upstreams {
            upstream.ends_under_part(FATAL);
            upstream.always(Behaviour::Stream(4));
            bed.store.put_upstream(upstream, false);
        }
        let fleet = Self {
            bed,
            other,
            upstreams,
        };
        for front in fleet.fronts() {
            let front = &front.front;
            until("the VM is ready", || front.lifecycle.is_ready()).await;
            until("keys are confirmed", || front.routing.is_fresh()).await;
            until("it knows the other VM", || !front.peers.others().is_empty()).await;
            until("it knows the upstreams", || {
                let known = |u: &Upstream| front.upstreams.get(&u.id).is_some();
                fleet.upstreams.iter().all(known)
            })
            .await;
        }
        fleet
    }

    fn fronts(&self) -> [&Running; 2] {
        [&self.bed.front, &self.other]
    }

    fn ended(&self) -> usize {
        let ended = self.upstreams.iter().filter(|u| u.has_ended());
        ended.count()
    }

    /// Number of requests with this prefix of their ids that reached an upstream.
    fn reached(&self, prefix: &str) -> usize {
        let arrivals = self.upstreams.iter().flat_map(Upstream::arrivals);
        arrivals.filter(|a| a.id.starts_with(prefix)).count()
    }

    /// Sends a request to one of the VMs, and removes exited upstreams from the store.
    async fn send(&self, n: usize, req: CallerRequest) -> Reply {
        let reply = req.send(self.fronts()[n % 2].callers).await;
        for upstream in self.upstreams.iter().filter(|u| u.has_ended()) {
            self.bed.store.remove_upstream(&upstream.id);
        }
        reply
    }

    /// Sends requests with the fatal part at both VMs for `time`, and sound ones between them.
    /// Returns the share of the sound ones that were answered in full.
    async fn send_for(&self, time: Duration, ids: &str, route: &str, shared: [&str; 2]) -> f64 {
        let until = Instant::now() + time;
        let (mut sound, mut answered) = (0, 0);
        for n in 0.. {
            if Instant::now() > until {
                break;
            }
            self.send(n, request(&format!("fatal-{ids}-{n}"), route, &shared))
                .await;
            let kept: Vec<&str> = shared.into_iter().filter(|id| *id != FATAL).collect();
            let req = request(&format!("sound-{ids}-{n}"), route, &kept);
            let reply = self.send(n / 2, req).await;
            sound += 1;
            answered += usize::from(reply.status == 200 && reply.whole);
            tokio::time::sleep(PAUSE).await;
        }
        f64::from(answered as u32) / f64::from(sound)
    }
}

/// A request with these shared parts and a part, a path and a body of its own.
fn request(id: &str, route: &str, shared: &[&str]) -> CallerRequest {
    let own = format!("{id}-own");
    let parts: Vec<&str> = shared.iter().copied().chain([own.as_str()]).collect();
    let mut req = plain(id, route)
        .post("a prompt")
        .tokens(100, 8)
        .parts(&parts);
    req.target = format!("/{route}/{id}");
    req.body = id.to_owned().into();
    req
}

async fn check_held(route: &str, shared: [&str; 2]) {
    let fleet = PartBed::new().await;
    fleet
        .send_for(PROPAGATION_TIME, "early", route, shared)
        .await;
    let early = fleet.ended();
    let before = fleet.reached("fatal");
    let served = fleet
        .send_for(PROPAGATION_TIME, "late", route, shared)
        .await;
    let later = fleet.reached("fatal") - before;
    assert!(
        (1..=BOUNDED_AFTER).contains(&early),
        "{early} upstreams exited before all VMs had to know of the part"
    );
    assert!(
        later <= MAX_LATER,
        "{later} requests with the part reached upstreams afterwards, {} exited in all",
        fleet.ended()
    );
    assert!(served >= 0.9, "{served} of the sound requests were served");
    for n in 0..2 {
        let reply = fleet.send(n, request("fatal-told", route, &shared)).await;
        assert_eq!(reply.status, 503);
        assert!(reply.retry_after.is_some());
    }
}

#[actix_rt::test]
async fn a_part_of_prompts_that_crashes_upstreams_is_held_and_nothing_else() {
    check_held("draft", [COMMON, FATAL]).await;
}

/// Each attempt at another upstream crashes that one as well.
#[actix_rt::test]
async fn a_fatal_part_of_resumable_streams_is_held_and_nothing_else() {
    check_held("resume", [COMMON, FATAL]).await;
}

#[actix_rt::test]
async fn a_fatal_first_part_of_prompts_is_held_and_nothing_else() {
    check_held("resume", [FATAL, OTHER]).await;
}
