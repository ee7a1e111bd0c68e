//! A request that ends what runs it.
//!
//! Seen: on a day at 6 VMs before 9 engines, one short request came back 16 times within
//! nine seconds, at all VMs, and 23 engines ended, each with the summaries that it ran.
//! How: the request crashed each engine that began to run it. It was tried at two engines,
//! as its route allows, and its caller got a 502; then it came again under another id.
//! Cause: a VM judged each arrival by itself and remembered no request beyond its answer,
//! nor did VMs tell each other under which request an upstream had ended.
//! Proof: the lines of the VMs name it by its fingerprint: every engine that ended had it.

use crate::support::{Bed, ENGINES, PLAIN, config, plain, settings, until};
use std::time::Duration;
use trouttrack_front::app::{Running, start};
use trouttrack_platform_standin::{Behaviour, CallerRequest, Reply, Store, Upstream};

/// What ends an upstream.
const FATAL: &str = "what ends an upstream";
/// Upstreams that may end under a request before it is refused everywhere.
const MOST_ENDED: usize = 3;
/// Retries that are allowed after that, over all VMs.
const MOST_AFTER: usize = 3;
/// The time in which all VMs are to know, as the platform bounds it.
const ALL_KNOW: Duration = Duration::from_secs(3);
/// Arrivals at each VM, before and after that time.
const ARRIVALS: usize = 6;
/// More upstreams than end before all VMs know, however the arrivals fall.
const UPSTREAMS: usize = 24;

/// Two VMs before many upstreams, all of which end under one request.
struct Fatal {
    bed: Bed,
    other: Running,
    upstreams: Vec<Upstream>,
}

impl Fatal {
    async fn new(service: &str) -> Self {
        Self::lingering(service, Duration::ZERO).await
    }

    /// Their ports outlive their connections by so much.
    async fn lingering(service: &str, lingers: Duration) -> Self {
        let bed = Bed::new(service).await;
        let other = start(&settings(&bed.store, "front-2", "")).await;
        let other = other.expect("a front");
        let mut upstreams = bed.upstreams.clone();
        for n in upstreams.len()..UPSTREAMS {
            upstreams.push(Upstream::start(&format!("more-{n}"), service, "a").await);
        }
        for upstream in &upstreams {
            upstream.ends_under(FATAL);
            upstream.lingers(lingers);
            upstream.always(match service {
                ENGINES => Behaviour::Stream(4),
                _ => Behaviour::Whole,
            });
            bed.store.put_upstream(upstream, false);
        }
        let fatal = Self {
            bed,
            other,
            upstreams,
        };
        fatal.ready().await;
        fatal
    }

    async fn ready(&self) {
        for front in self.fronts() {
            let front = &front.front;
            until("it is ready", || front.lifecycle.is_ready()).await;
            until("keys are confirmed", || front.routing.is_fresh()).await;
            until("it knows the other", || !front.peers.others().is_empty()).await;
            until("it knows the upstreams", || {
                let known = |u: &Upstream| front.upstreams.get(&u.id).is_some();
                self.upstreams.iter().all(known)
            })
            .await;
        }
    }

    fn fronts(&self) -> [&Running; 2] {
        [&self.bed.front, &self.other]
    }

    fn ended(&self) -> usize {
        let ended = self.upstreams.iter().filter(|u| u.has_ended());
        ended.count()
    }

    /// The request comes once more to each VM. Those that have ended leave the store.
    async fn comes(&self, route: &str, ids: &str) -> Vec<Reply> {
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

    /// The request comes again and again; returns how many upstreams have ended by the
    /// time at which all VMs are to know, and how many in all.
    async fn comes_again(&self, route: &str) -> (usize, usize) {
        for n in 0..ARRIVALS {
            self.comes(route, &format!("early{n}")).await;
        }
        tokio::time::sleep(ALL_KNOW).await;
        let early = self.ended();
        for n in 0..ARRIVALS {
            self.comes(route, &format!("late{n}")).await;
        }
        (early, self.ended())
    }
}

fn fatal_request(id: &str, route: &str) -> CallerRequest {
    plain(id, route).post(FATAL).tokens(100, 8)
}

fn harmless(id: &str, route: &str) -> CallerRequest {
    plain(id, route).post("what is served").tokens(100, 8)
}

async fn is_stopped(service: &str, route: &str) {
    stops(Fatal::new(service).await, route).await;
}

async fn stops(fatal: Fatal, route: &str) {
    let (early, all) = fatal.comes_again(route).await;
    assert!((1..=MOST_ENDED).contains(&early), "{early} before all knew");
    assert!(
        all - early <= MOST_AFTER,
        "{all} ended, {} of them after all VMs had to know",
        all - early
    );
    // It is told so, truly, and when to return; all others are served.
    for reply in fatal.comes(route, "told").await {
        assert_eq!(reply.status, 503);
        assert!(reply.retry_after.is_some());
    }
    assert_eq!(fatal.ended(), all);
    for front in fatal.fronts() {
        let reply = harmless("harmless", route).send(front.callers).await;
        assert_eq!(reply.status, 200);
    }
}

/// All VMs lose power; one starts when no other runs.
#[actix_rt::test]
async fn what_is_held_outlives_all_vms() {
    let fatal = Fatal::new(ENGINES).await;
    fatal.comes_again("resume").await;
    until("the store has it", || !fatal.bed.store.holds().is_empty()).await;
    let store = Store::start().await;
    store.put_config(&config(1));
    store.inherit_holds(&fatal.bed.store);
    let upstream = Upstream::start("u1", ENGINES, "a").await;
    upstream.ends_under(FATAL);
    store.put_upstream(&upstream, false);
    let alone = start(&settings(&store, "front-1", "")).await;
    let alone = alone.expect("a front");
    until("it is ready", || alone.front.lifecycle.is_ready()).await;
    until("keys are confirmed", || alone.front.routing.is_fresh()).await;
    until("it has read it", || alone.front.suspects.held() > 0).await;
    let reply = fatal_request("alone", "resume").send(alone.callers).await;
    assert_eq!(reply.status, 503);
    assert!(!upstream.has_ended());
}

#[actix_rt::test]
async fn a_fatal_stream_is_not_tried_for_ever() {
    is_stopped(ENGINES, "resume").await;
    is_stopped(ENGINES, "draft").await;
}

/// A process that ends may break off its connections before it closes its port.
#[actix_rt::test]
async fn an_end_is_noticed_though_the_port_closes_last() {
    let fatal = Fatal::lingering(ENGINES, Duration::from_millis(30)).await;
    let before = fatal.comes("resume", "first").await;
    assert!(before.iter().all(|reply| reply.status == 502));
    until("it is held", || {
        let held = |f: &&Running| f.front.suspects.held() > 0;
        fatal.fronts().iter().all(held)
    })
    .await;
}

#[actix_rt::test]
async fn a_fatal_call_is_not_tried_for_ever() {
    is_stopped(PLAIN, "many").await;
    is_stopped(PLAIN, "once").await;
}
