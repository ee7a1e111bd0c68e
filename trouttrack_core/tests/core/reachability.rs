//! Upstreams whose address refuses connections: what a VM and its peers do about them.

use crate::support::{SERVICE, placed, settings, spec, submission, world};
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::{Conditions, UpstreamUse};
use trouttrack_core::request::UpstreamSearch;
use trouttrack_core::upstream::{Incarnation, UpstreamSpec};
use trouttrack_core::world::{Decision, NotRunReason, RequestKey, World, WorldSettings};

/// Backoff after a first refusal.
pub(crate) const INITIAL_BACKOFF: Time = Time::from_millis(500);
/// Silence of the store after which an engine that nobody has heard of is uncertain.
const UNHEARD_PERIOD: Time = Time::from_secs(1);
pub(crate) const MS: Time = Time::from_millis(1);

pub(crate) fn ids(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("e{n:02}")).collect()
}

pub(crate) fn specs(count: usize) -> Vec<UpstreamSpec> {
    let ids = ids(count);
    ids.iter().map(|id| spec(id, "a", 20_000, 24)).collect()
}

/// A VM of a failure domain that differs from others by its seed.
pub(crate) fn vm(failure_domain: &str, seed: u64, upstreams: usize) -> World {
    let mut world = World::new(WorldSettings {
        failure_domain: failure_domain.into(),
        seed,
        ..settings("trouttrack")
    });
    world.configure(specs(upstreams));
    world
}

pub(crate) fn incarnation(id: &str) -> Incarnation {
    Incarnation::new(id, 0)
}

/// Places a request and returns the upstream, if any.
pub(crate) fn place(world: &mut World, now: Time, id: &str) -> Option<(RequestKey, String)> {
    world.submit(now, submission(id, "o", 0));
    placed(&world.tick(now)).pop()
}

/// Passes on what a VM reports to a peer.
pub(crate) fn tell(from: &World, name: &str, to: &mut World, now: Time, is_local: bool) {
    to.record_peer_conditions(now, name, is_local, &from.conditions(now));
}

/// Sends one request through a VM: tries upstreams until one is not among `gone`. Returns the
/// number of refused connections, or `None` if the request was refused.
pub(crate) fn send(world: &mut World, now: Time, id: &str, gone: &[String]) -> Option<u32> {
    let mut search = UpstreamSearch::default();
    let mut req = submission(id, "o", 0);
    for refused in 0.. {
        let key = world.submit(now, req.clone());
        let (_, upstream) = placed(&world.tick(now)).pop()?;
        if !gone.contains(&upstream) {
            world.record_response(now, key);
            world.progress(key, 1);
            return Some(refused);
        }
        world.record_connection_refused(now, &incarnation(&upstream));
        world.record_end(now, key, false, None);
        req.avoid.push(upstream);
        search.record_refused(now + Duration::from_secs(1));
        if !search.may_continue(now, world.has_untried(now, SERVICE, None, &req.avoid)) {
            return None;
        }
    }
    None
}

/// A quarter of the engines is gone while the store is silent, so their entries stay. They look
/// empty; the VMs of a failure domain tell each other which refuse connections.
#[test]
fn engines_gone_while_the_store_is_silent_refuse_each_domain_once() {
    let gone = ids(45).split_off(34);
    let mut vms: Vec<World> = (0..26).map(|seed| vm("a", seed, 45)).collect();
    let mut refused = 0;
    for n in 0..260usize {
        let now = MS * (n as u32 + 1);
        let from = n % vms.len();
        refused += send(&mut vms[from], now, &format!("r{n}"), &gone).expect("served");
        let told = vms[from].conditions(now);
        for vm in &mut vms {
            vm.record_peer_conditions(now, &format!("vm{from}"), true, &told);
        }
    }
    assert_eq!(refused as usize, gone.len());
}

/// A VM that starts while a quarter of the engines is gone and the store is silent hears one
/// heartbeat, before it has listed the upstreams.
#[test]
fn a_vm_that_starts_learns_of_gone_engines_with_its_first_heartbeat() {
    let gone = ids(45).split_off(34);
    let mut first = vm("a", 1, 45);
    let mut now = Time::ZERO;
    // The latest trials were refused as well, some time ago.
    for backoff in [1, 2, 4, 8] {
        for id in &gone {
            first.record_connection_refused(now, &incarnation(id));
        }
        now += INITIAL_BACKOFF * backoff;
    }
    now -= INITIAL_BACKOFF;
    let mut started = World::new(settings("trouttrack"));
    tell(&first, "vm1", &mut started, now, true);
    started.configure(specs(45));
    for n in 0..100 {
        let refused = send(&mut started, now, &format!("r{n}"), &gone);
        assert_eq!(refused, Some(0));
    }
}

/// A VM's clock starts with it, so an older refusal would seem younger in what it passes on, and
/// close an upstream again that has answered since.
#[test]
fn a_vm_that_has_just_started_does_not_make_refusals_younger() {
    let (mut first, mut started) = (vm("a", 1, 1), vm("a", 2, 1));
    let at = Duration::from_secs(60);
    first.record_connection_refused(at, &incarnation("e00"));
    let told = first.conditions(at + MS * 400);
    started.record_peer_conditions(MS * 10, "vm1", true, &told);
    assert_eq!(started.unreachable(), 1);
    assert!(started.conditions(MS * 20).is_empty());
}

/// A cut refuses connections from one failure domain; the other domain reaches the upstream.
#[test]
fn refusals_in_another_failure_domain_do_not_close_an_upstream() {
    let (mut cut, mut other) = (vm("b", 1, 1), vm("a", 2, 1));
    cut.record_connection_refused(MS, &incarnation("e00"));
    assert_eq!(place(&mut cut, MS * 2, "r1"), None);
    tell(&cut, "vm1", &mut other, MS * 2, false);
    assert!(place(&mut other, MS * 2, "r2").is_some());
}

/// The report of a single VM that is cut off is wrong: the first answer ends it for all.
#[test]
fn a_wrong_report_ends_with_the_first_answer_at_any_vm() {
    let mut vms: Vec<World> = (0..3).map(|seed| vm("a", seed, 1)).collect();
    vms[0].record_connection_refused(MS, &incarnation("e00"));
    let told = vms[0].conditions(MS);
    for vm in &mut vms[1..] {
        vm.record_peer_conditions(MS, "vm0", true, &told);
        assert!(!vm.upstreams.get_by_id("e00").unwrap().is_available(MS));
    }
    let later = MS + INITIAL_BACKOFF;
    let (key, _) = place(&mut vms[1], later, "trial").expect("a trial request");
    assert_eq!(place(&mut vms[1], later, "second"), None, "a single one");
    vms[1].record_response(later, key);
    vms[1].progress(key, 1);
    let told = vms[1].conditions(later);
    for at in [0, 2] {
        vms[at].record_peer_conditions(later, "vm1", true, &told);
        assert!(place(&mut vms[at], later, "r1").is_some());
        assert!(place(&mut vms[at], later, "r2").is_some());
        assert_eq!(vms[at].unreachable(), 0);
    }
}

/// A VM that was cut off reports its refusals when it is back, to a VM that was answered since.
#[test]
fn a_late_report_is_refuted_by_a_vm_that_was_answered_since() {
    let (mut cut, mut other) = (vm("a", 1, 1), vm("a", 2, 1));
    cut.record_connection_refused(MS, &incarnation("e00"));
    let (key, _) = place(&mut other, MS * 2, "r1").unwrap();
    other.record_response(MS * 3, key);
    tell(&cut, "vm1", &mut other, MS * 100, true);
    assert!(place(&mut other, MS * 100, "r2").is_some());
    tell(&other, "vm2", &mut cut, MS * 101, true);
    assert!(place(&mut cut, MS * 101, "r3").is_some());
}

/// An engine that leaves closes its port while its generations run on: their tokens are no
/// sign that it accepts connections.
#[test]
fn tokens_of_earlier_requests_do_not_reopen_an_upstream() {
    let mut world = vm("a", 1, 1);
    let (key, _) = place(&mut world, MS, "r1").unwrap();
    world.record_connection_refused(MS * 2, &incarnation("e00"));
    world.record_response(MS * 3, key);
    assert_eq!(world.unreachable(), 1);
}

/// A trial that is refused too doubles the backoff; refusals within it count once.
#[test]
fn refused_trials_double_the_backoff() {
    let mut world = vm("a", 1, 1);
    let e = incarnation("e00");
    world.record_connection_refused(Time::ZERO, &e);
    world.record_connection_refused(MS, &e);
    let opens_at = |world: &World, now| world.available_at(now, SERVICE).unwrap();
    assert_eq!(opens_at(&world, MS), INITIAL_BACKOFF);
    let mut now = INITIAL_BACKOFF;
    for doubled in [2, 4, 8, 8] {
        world.record_connection_refused(now, &e);
        now += INITIAL_BACKOFF * doubled;
        assert_eq!(opens_at(&world, now - MS), now);
    }
}

/// The engine starts again under the same id.
#[test]
fn a_later_incarnation_is_open() {
    let mut world = vm("a", 1, 1);
    world.record_connection_refused(MS, &incarnation("e00"));
    world.put_upstream(UpstreamSpec {
        born: 9,
        ..spec("e00", "a", 20_000, 24)
    });
    assert!(place(&mut world, MS, "r1").is_some());
}

/// All but one of 30 engines are gone, and this VM hears of none: nothing is refused while an
/// untried upstream is left.
#[test]
fn nothing_is_refused_while_an_untried_upstream_is_left() {
    let gone = ids(30).split_off(1);
    for seed in 0..20 {
        let mut world = vm("a", seed, 30);
        assert!(send(&mut world, MS, "r1", &gone).is_some());
    }
}

/// All engines are gone: the refusal names the time of the next trial.
#[test]
fn with_all_upstreams_gone_the_caller_hears_when_one_is_tried_again() {
    let mut world = vm("a", 1, 5);
    for id in ids(5) {
        world.record_connection_refused(MS, &incarnation(&id));
    }
    let mut req = submission("r1", "o", 0);
    req.deadline = MS * 200;
    let request = world.submit(MS * 101, req);
    let refusal = Decision::Refuse {
        request,
        reason: NotRunReason::Unreachable,
        retry_after: INITIAL_BACKOFF - MS * 100,
    };
    assert_eq!(world.tick(MS * 101), vec![refusal]);
}

/// The search is bounded: by its end, by refused connections, by time-outs.
#[test]
fn the_search_for_an_upstream_is_bounded() {
    let mut refused = UpstreamSearch::default();
    let tries = (1..).find(|_| {
        refused.record_refused(MS * 10);
        !refused.may_continue(MS, true)
    });
    assert_eq!(tries, Some(32));
    let mut timed_out = UpstreamSearch::default();
    let tries = (1..).find(|_| {
        timed_out.record_failed(None);
        !timed_out.may_continue(MS, true)
    });
    assert_eq!(tries, Some(3));
}

/// Upstreams leave one after the other, each after a request was placed there and before it was
/// sent. Nothing was tried, so the request is not refused for it as for silent upstreams.
#[test]
fn upstreams_that_leave_before_the_request_is_sent_are_no_failed_connections() {
    let mut search = UpstreamSearch::default();
    let tries = (1..).find(|_| {
        search.record_left();
        !search.may_continue(MS, true)
    });
    assert_eq!(tries, Some(32));
    let mut mixed = UpstreamSearch::default();
    mixed.record_failed(None);
    mixed.record_failed(None);
    mixed.record_left();
    assert!(mixed.may_continue(MS, false), "it waits for another one");
    mixed.record_failed(None);
    assert!(!mixed.may_continue(MS, true));
}

/// A domain is cut off. Its engines have requests, and those of the others look empty: after one
/// time-out to each other domain the request is placed at home.
#[test]
fn a_cut_off_vm_tries_each_other_failure_domain_once() {
    let domains = ["a", "b", "c"];
    let engine = |n: usize| spec(&format!("e{n:02}"), domains[n % 3], 20_000, 24);
    let specs: Vec<UpstreamSpec> = (0..15).map(engine).collect();
    let mut world = world("trouttrack", specs.clone());
    let busy = specs.iter().filter(|s| s.failure_domain == "a");
    let uses: Vec<UpstreamUse> = busy.map(|s| peer_use(&s.id, 19_000, 9_000)).collect();
    world.record_peer_uses(MS, "vm1", "a", &uses);
    let mut search = UpstreamSearch::default();
    let mut tried = Vec::new();
    loop {
        let mut req = submission("r1", "o", 0);
        let avoided = specs.iter().filter(|s| search.avoids(&s.failure_domain));
        req.avoid = avoided.map(|s| s.id.clone()).collect();
        let key = world.submit(MS, req);
        let (_, upstream) = placed(&world.tick(MS)).pop().unwrap();
        let row = world.upstreams.get_by_id(&upstream).unwrap();
        let domain = row.spec.failure_domain.clone();
        tried.push(domain.clone());
        if domain == "a" {
            break;
        }
        search.record_failed(Some(&domain));
        assert!(search.may_continue(MS, true));
        world.record_unreachable(MS, key);
        world.record_end(MS, key, true, None);
    }
    tried.sort();
    assert_eq!(tried, domains);
}

fn peer_use(upstream: &str, held_tokens: u64, loading_tokens: u64) -> UpstreamUse {
    UpstreamUse {
        upstream: upstream.into(),
        running: 1,
        peak_tokens: held_tokens,
        held_tokens,
        loading_tokens,
        lost_ms: None,
        handovers: 0,
        recent_handovers: 0,
    }
}

/// While the store is silent an engine may be gone without a refusal (its VM drops packets). It
/// is empty, the others have a request each.
#[test]
fn emptiness_alone_attracts_nobody_while_the_store_is_silent() {
    let mut world = world("trouttrack", specs(4));
    let uses: Vec<UpstreamUse> = ids(3).iter().map(|id| peer_use(id, 3000, 0)).collect();
    let choose = |world: &mut World, now, id: &str| place(world, now, id).unwrap().1;
    world.record_peer_uses(MS, "vm1", "a", &uses);
    assert_eq!(
        choose(&mut world, MS, "r1"),
        "e03",
        "the store is in contact"
    );
    world.set_store_silent(MS * 2, true);
    world.record_peer_uses(MS * 3, "vm1", "a", &uses);
    let chosen = choose(&mut world, MS * 3 + UNHEARD_PERIOD, "r2");
    assert_ne!(chosen, "e03");
    world.set_store_silent(MS * 4 + UNHEARD_PERIOD, false);
    let chosen = choose(&mut world, MS * 5 + UNHEARD_PERIOD, "r3");
    assert_eq!(chosen, "e03", "it is in contact again");
}

/// Plain calls are spread as ever while the store is silent, also to the upstreams that this VM
/// has not called yet.
#[test]
fn silence_of_the_store_does_not_concentrate_plain_calls() {
    let plain = |id: &str| spec(id, "a", 0, 6);
    let mut world = world("trouttrack", vec![plain("p1"), plain("p2")]);
    world.set_store_silent(Time::ZERO, true);
    let mut used = Vec::new();
    for n in 0..40 {
        let now = UNHEARD_PERIOD + MS * n;
        let (key, upstream) = place(&mut world, now, &format!("r{n}")).unwrap();
        world.record_end(now, key, false, Some(0));
        used.push(upstream);
    }
    assert!(["p1", "p2"].iter().all(|id| used.iter().any(|u| u == id)));
}

/// A peer's request whose prompt is loading shows nothing of the engine; its first token does.
#[test]
fn a_peer_hears_of_an_upstream_with_the_first_token() {
    let mut world = world("trouttrack", specs(2));
    world.set_store_silent(MS, true);
    world.record_peer_uses(MS * 2, "vm1", "a", &[peer_use("e00", 3000, 0)]);
    world.record_peer_uses(MS * 2, "vm2", "a", &[peer_use("e01", 30, 30)]);
    let chosen = place(&mut world, MS * 2 + UNHEARD_PERIOD, "r1").unwrap().1;
    assert_eq!(chosen, "e00");
}

/// A generation whose engine crashed goes on elsewhere, not at an engine that is gone.
#[test]
fn a_generation_is_not_moved_to_an_upstream_that_is_gone() {
    let mut world = vm("a", 1, 3);
    let (key, at) = place(&mut world, MS, "r1").unwrap();
    let others: Vec<String> = ids(3).into_iter().filter(|id| *id != at).collect();
    world.record_connection_refused(MS * 2, &incarnation(&others[0]));
    let target = world.move_target(MS * 3, key, "a", "", &[]).unwrap();
    assert_eq!(target.upstream, others[1]);
}

/// Half of 200 engines are gone: a datagram carries the latest refusals only.
#[test]
fn reports_are_bounded() {
    let mut world = vm("a", 1, 200);
    for (n, id) in ids(200).iter().enumerate().take(100) {
        world.record_connection_refused(MS * n as u32, &incarnation(id));
    }
    let told: Conditions = world.conditions(MS * 100);
    assert_eq!(told.unreachable.len(), 24);
    assert_eq!(told.unreachable[0].age_ms, 1);
}
