//! Requests with much and with little time that compete for the memory of engines.

use crate::support::{placed, settings, spec, submission};
use std::collections::BTreeSet;
use std::time::Duration;
use trouttrack_core::membership::{Conditions, Evacuations, ReportedDemand, Revision};
use trouttrack_core::upstream::UpstreamSpec;
use trouttrack_core::world::{
    AdmissionSettings, Decision, NotRunReason, RequestKey, ServiceLevel, Submission, World,
    WorldSettings,
};

const CAPACITY: u64 = 100_000;
const URGENT_OBJECTIVE: Duration = Duration::from_millis(1_500);
const PATIENT_OBJECTIVE: Duration = Duration::from_secs(4);
const TICK: Duration = Duration::from_millis(20);
/// Time in which urgent work that has ceased is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(4);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn engines(count: usize) -> Vec<UpstreamSpec> {
    let engine = |n: usize| {
        let domain = ["a", "b", "c"][n % 3];
        spec(&format!("e{n}"), domain, CAPACITY, 64)
    };
    (0..count).map(engine).collect()
}

fn contended(admission: AdmissionSettings, engines_count: usize) -> World {
    let mut world = World::new(WorldSettings {
        placed_fill: 1.15,
        urgent_reserve: 0.1,
        growth_quantile: 0.5,
        admission,
        ..settings("trouttrack")
    });
    world.configure(engines(engines_count));
    world
}

/// A request with an objective; it may wait for 0.6 of it.
fn request(now: Duration, class: u8, prompt: u64, objective: Duration) -> Submission {
    Submission {
        prompt_tokens: prompt,
        guessed_tokens: Some(if class == 0 { 8 } else { 700 }),
        version: None,
        known_tokens: Some(if class == 0 { 8 } else { 700 }),
        deadline: now + objective.mul_f64(0.6),
        service_level: ServiceLevel {
            due: now + objective,
            longest_pause: None,
            expires: now + 8 * objective,
        },
        ..submission("r", "o", class)
    }
}

fn patient(now: Duration) -> Submission {
    request(now, 2, 3_000, PATIENT_OBJECTIVE)
}

fn urgent(now: Duration) -> Submission {
    request(now, 0, 2_200, URGENT_OBJECTIVE)
}

/// Urgent requests of `class`, one in each tick and each held for `hold`, until `end`; returns
/// the time at which the last of them has ended.
fn urgent_work(world: &mut World, class: u8, hold: Duration, end: Duration) -> Duration {
    let mut running: Vec<(Duration, RequestKey)> = Vec::new();
    let mut now = Duration::ZERO;
    while now < end || !running.is_empty() {
        running.retain(|&(ends_at, key)| {
            if ends_at <= now {
                world.record_end(now, key, false, Some(8));
            }
            ends_at > now
        });
        if now < end {
            world.submit(now, request(now, class, 2_200, URGENT_OBJECTIVE));
        }
        for (key, _) in placed(&world.tick(now)) {
            running.push((now + hold, key));
        }
        now += TICK;
    }
    now
}

fn burst(world: &mut World, now: Duration, count: usize) -> usize {
    for _ in 0..count {
        world.submit(now, patient(now));
    }
    placed(&world.tick(now)).len()
}

fn fills(world: &World) -> Vec<f64> {
    let rows = world.upstreams.iter().map(|(_, u)| u);
    rows.map(|u| u.fill_with(None)).collect()
}

/// How many of a burst of patient requests are placed after 4 s of urgent work, and the
/// largest fill then.
fn placed_after_urgent(admission: AdmissionSettings, class: u8, hold: Duration) -> (usize, f64) {
    let mut world = contended(admission, 6);
    let end = Duration::from_secs(5);
    let end = urgent_work(&mut world, class, hold, end);
    let placed = burst(&mut world, end, 200);
    (placed, fills(&world).into_iter().fold(0.0, f64::max))
}

#[test]
fn a_burst_of_patient_long_requests_leaves_room_for_urgent_short_ones() {
    let (all, full) = placed_after_urgent(AdmissionSettings::OFF, 0, ms(500));
    let (some, left) = placed_after_urgent(AdmissionSettings::default(), 0, ms(500));
    assert!(full > 1.0, "without kept room, engines are full: {full}");
    // 110,000 tokens a second for half a second are 9 % of the engines' memory.
    assert!(left <= 1.0 - 0.08, "room is left: {left}");
    assert!(some < all && some > all / 2, "{some} of {all} were placed");
}

#[test]
fn longer_urgent_requests_get_more_room() {
    let (short, _) = placed_after_urgent(AdmissionSettings::default(), 1, ms(300));
    let (long, _) = placed_after_urgent(AdmissionSettings::default(), 1, ms(1_500));
    assert!(long < short, "{long} and {short} patient requests placed");
}

#[test]
fn room_is_divided_over_the_upstreams_that_are_left_by_an_evacuation() {
    let after = |evacuated: &[&str]| {
        let mut world = contended(AdmissionSettings::default(), 6);
        let end = Duration::from_secs(5);
        let end = urgent_work(&mut world, 0, ms(500), end);
        world.set_evacuations(evacuations(evacuated));
        burst(&mut world, end, 200);
        fills(&world)
    };
    let (all, two_thirds) = (after(&[]), after(&["c"]));
    let fullest = |fills: &[f64]| fills.iter().copied().fold(0.0, f64::max);
    assert_eq!(two_thirds.iter().filter(|fill| **fill == 0.0).count(), 2);
    assert!(fullest(&two_thirds) < fullest(&all) + 1e-9);
    assert!(fullest(&two_thirds) <= 1.0 - 0.12, "{two_thirds:?}");
}

#[test]
fn room_that_nobody_uses_is_given_away_within_four_seconds() {
    let mut world = contended(AdmissionSettings::default(), 6);
    let end = Duration::from_secs(5);
    let end = urgent_work(&mut world, 0, ms(500), end);
    let mut unbound = contended(AdmissionSettings::OFF, 6);
    let later = end + FORGOTTEN;
    assert_eq!(
        burst(&mut world, later, 200),
        burst(&mut unbound, later, 200)
    );
}

#[test]
fn a_patient_request_gets_the_room_before_its_objective_needs_it() {
    let mut world = contended(AdmissionSettings::default(), 6);
    let end = Duration::from_secs(5);
    let end = urgent_work(&mut world, 0, ms(500), end);
    let at_once = burst(&mut world, end, 200);
    // The rest waits while urgent requests keep coming, and gets the room as time runs out.
    let mut late = 0;
    let mut now = end + TICK;
    while now < end + PATIENT_OBJECTIVE {
        world.submit(now, urgent(now));
        for (key, _) in placed(&world.tick(now)) {
            let (_, row) = world.requests().find(|(k, _)| *k == key).unwrap();
            match row.submission.priority {
                0 => {
                    world.record_end(now, key, false, Some(8));
                }
                _ => late += 1,
            }
        }
        now += TICK;
    }
    let mut unbound = contended(AdmissionSettings::OFF, 6);
    let most = burst(&mut unbound, end, 200);
    assert!(at_once < most, "{at_once} of {most} at once");
    assert!(at_once + late >= most, "{at_once} and {late} of {most}");
}

#[test]
fn urgent_requests_of_other_vms_get_room() {
    let placed_with = |reported_at: Option<Duration>| {
        let mut world = contended(AdmissionSettings::default(), 6);
        world.set_fleet_size(3);
        if let Some(at) = reported_at {
            for peer in ["vm2", "vm3"] {
                world.record_peer_conditions(at, peer, true, &urgent_demand());
            }
        }
        let now = Duration::from_secs(10);
        burst(&mut world, now, 200)
    };
    let unbound = placed_with(None);
    assert!(placed_with(Some(ms(9_500))) < unbound);
    assert_eq!(placed_with(Some(ms(7_900))), unbound, "a stale report ends");
}

#[test]
fn what_a_vm_reports_is_what_arrived() {
    let mut world = contended(AdmissionSettings::default(), 6);
    world.submit(ms(1_000), urgent(ms(1_000)));
    world.submit(ms(1_000), urgent(ms(1_000)));
    let demand = world.conditions(ms(1_200)).demand;
    assert_eq!(demand.len(), 1);
    assert_eq!((demand[0].class, demand[0].requests), (0, 2));
    assert_eq!(demand[0].objective_ms, 1_500);
    assert!(world.conditions(ms(6_000)).demand.is_empty());
}

#[test]
fn a_flooding_organisation_does_not_delay_another_one() {
    let mut world = contended(AdmissionSettings::default(), 3);
    let now = Duration::from_secs(1);
    for _ in 0..150 {
        let mut flood = patient(now);
        flood.organisation = "flood".into();
        // The flood is due earlier, which must not help it against others.
        flood.service_level.due = now + ms(2_000);
        world.submit(now, flood);
    }
    let running = placed(&world.tick(now));
    let mut other = patient(now + TICK);
    other.organisation = "other".into();
    let other = world.submit(now + TICK, other);
    let mut freed = 0;
    let mut now = now + TICK;
    for (key, _) in running {
        freed += 1;
        world.record_end(now, key, false, Some(700));
        now += TICK;
        if placed(&world.tick(now)).iter().any(|(k, _)| *k == other) {
            break;
        }
    }
    assert!(freed <= 4, "the other waited for {freed} ends");
}

#[test]
fn of_one_organisation_the_request_that_is_due_first_goes_first() {
    let order = |admission: AdmissionSettings| {
        let mut world = contended(admission, 1);
        let now = Duration::from_secs(1);
        let first = burst(&mut world, now, 200);
        assert!(first > 0);
        let mut hurried = patient(now);
        hurried.id = "hurried".into();
        hurried.service_level.due = now + ms(2_000);
        let hurried = world.submit(now, hurried);
        let running: Vec<_> = world
            .requests()
            .filter(|(_, r)| r.upstream.is_some())
            .map(|(k, _)| k)
            .collect();
        let mut now = now;
        for key in running.into_iter().take(2) {
            now += TICK;
            world.record_end(now, key, false, Some(700));
        }
        placed(&world.tick(now)).iter().any(|(k, _)| *k == hurried)
    };
    assert!(order(AdmissionSettings::default()));
    assert!(!order(AdmissionSettings::OFF));
}

#[test]
fn a_large_request_is_not_passed_over_by_small_ones() {
    let is_placed = |admission: AdmissionSettings| {
        let mut world = contended(admission, 2);
        let mut now = Duration::from_secs(1);
        let mut running: Vec<(Duration, RequestKey)> = Vec::new();
        let mut large = None;
        for step in 0..200_u64 {
            if step == 50 {
                let mut big = request(now, 2, 80_000, 10 * PATIENT_OBJECTIVE);
                big.deadline = now + Duration::from_secs(3);
                large = Some(world.submit(now, big));
            }
            for _ in 0..8 {
                let mut small = request(now, 2, 1_500, 10 * PATIENT_OBJECTIVE);
                small.deadline = now + ms(200);
                world.submit(now, small);
            }
            for (key, _) in placed(&world.tick(now)) {
                if Some(key) == large {
                    return true;
                }
                running.push((now + ms(600), key));
            }
            now += TICK;
            running.retain(|&(ends_at, key)| {
                if ends_at <= now {
                    world.record_end(now, key, false, Some(700));
                }
                ends_at > now
            });
        }
        false
    };
    assert!(!is_placed(AdmissionSettings::OFF));
    assert!(is_placed(AdmissionSettings::default()));
}

/// Decisions on a burst to one engine after ten requests ended there within two seconds.
fn overload(admission: AdmissionSettings, count: usize) -> Vec<Decision> {
    let mut world = contended(admission, 1);
    let mut now = Duration::from_secs(1);
    for _ in 0..10 {
        world.submit(now, request(now, 2, 3_000, URGENT_OBJECTIVE));
        for (key, _) in placed(&world.tick(now)) {
            now += ms(200);
            world.record_end(now, key, false, Some(700));
        }
    }
    for _ in 0..count {
        world.submit(now, request(now, 2, 3_000, URGENT_OBJECTIVE));
    }
    world.tick(now)
}

fn overloaded(decisions: &[Decision]) -> Vec<Duration> {
    let delay = |d: &Decision| match d {
        Decision::Refuse {
            reason: NotRunReason::Overloaded,
            retry_after,
            ..
        } => Some(*retry_after),
        _ => None,
    };
    decisions.iter().filter_map(delay).collect()
}

#[test]
fn hopeless_requests_are_refused_on_arrival_and_return_at_different_times() {
    assert!(overloaded(&overload(AdmissionSettings::OFF, 150)).is_empty());
    let delays = overloaded(&overload(AdmissionSettings::default(), 150));
    assert!(delays.len() > 30, "{} refused", delays.len());
    let distinct: BTreeSet<u128> = delays.iter().map(Duration::as_millis).collect();
    assert!(distinct.len() > delays.len() / 2, "{distinct:?}");
    assert!(delays.iter().all(|d| *d >= ms(200) && *d <= ms(5_000)));
}

#[test]
fn nobody_is_refused_while_room_is_free() {
    let decisions = overload(AdmissionSettings::default(), 5);
    assert_eq!(placed(&decisions).len(), 5);
    // Room that is kept for urgent requests is not room that is lacking.
    let mut world = contended(AdmissionSettings::default(), 6);
    let end = Duration::from_secs(5);
    let end = urgent_work(&mut world, 0, ms(500), end);
    let before = burst(&mut world, end, 200);
    assert!(before < 200);
    let limit = fills(&world).into_iter().fold(0.0, f64::max);
    assert!(limit < 1.0);
    assert!(overloaded(&world.tick(end + TICK)).is_empty());
}

#[test]
fn with_nearly_equal_objectives_every_decision_is_as_without_admission() {
    let replay = |admission: AdmissionSettings| {
        let mut world = contended(admission, 6);
        let mut running: Vec<(Duration, RequestKey)> = Vec::new();
        let mut decisions = Vec::new();
        for step in 0..400_u64 {
            let now = step as u32 * TICK;
            for _ in 0..8 {
                world.submit(now, request(now, 1, 2_500 + step, ms(1_800)));
            }
            if step % 3 == 0 {
                world.submit(now, urgent(now));
            }
            for decision in world.tick(now) {
                if let Decision::Place { request, .. } = &decision {
                    running.push((now + ms(500 + step * 7 % 400), *request));
                }
                decisions.push(decision);
            }
            running.retain(|&(ends_at, key)| {
                if ends_at <= now {
                    world.record_end(now, key, false, Some(300));
                }
                ends_at > now
            });
        }
        decisions
    };
    // Refusing at once what would be refused at its deadline is meant to differ.
    let with = replay(AdmissionSettings {
        refuse_hopeless: false,
        ..AdmissionSettings::default()
    });
    let without = replay(AdmissionSettings::OFF);
    assert_eq!(with.len(), without.len());
    for (n, (a, b)) in with.iter().zip(&without).enumerate() {
        assert_eq!(a, b, "decision {n}");
    }
}

#[test]
fn requests_without_objectives_are_placed_as_without_admission() {
    let replay = |admission: AdmissionSettings| {
        let mut world = contended(admission, 4);
        let mut decisions = Vec::new();
        for step in 0..200_u32 {
            let class = (step % 3) as u8;
            world.submit(step * TICK, submission(&format!("r{step}"), "o", class));
            decisions.extend(world.tick(step * TICK));
        }
        decisions
    };
    assert_eq!(
        replay(AdmissionSettings::default()),
        replay(AdmissionSettings::OFF)
    );
}

#[test]
fn a_lone_vm_without_reports_keeps_nothing_for_others() {
    let now = Duration::from_secs(1);
    let mut unbound = contended(AdmissionSettings::OFF, 2);
    let mut bound = contended(AdmissionSettings::default(), 2);
    bound.set_fleet_size(60);
    assert_eq!(burst(&mut bound, now, 200), burst(&mut unbound, now, 200));
}

#[test]
fn waiting_requests_of_many_vms_do_not_fill_a_new_upstream_at_once() {
    let mut worlds: Vec<World> = (0..30).map(waiting_world).collect();
    let opened_at = Duration::from_secs(2);
    let mut placed_at = Vec::new();
    for tick in 0..25 {
        let now = opened_at + tick * TICK;
        let count = |world: &mut World| placed(&world.tick(now)).len();
        placed_at.push(worlds.iter_mut().map(count).sum::<usize>());
        if tick == 0 {
            for world in &mut worlds {
                world.put_upstream(spec("new", "a", CAPACITY, 64));
            }
        }
    }
    assert_eq!(
        placed_at.iter().sum::<usize>(),
        30,
        "all within half a second"
    );
    assert!(placed_at.iter().all(|n| *n <= 10), "{placed_at:?}");
}

/// A VM on which one patient request waits for room.
fn waiting_world(seed: u64) -> World {
    let mut world = World::new(WorldSettings {
        placed_fill: 1.15,
        admission: AdmissionSettings::default(),
        seed,
        ..settings("trouttrack")
    });
    world.configure(engines(1));
    let now = ms(1_500);
    world.record_peer_conditions(now, "vm2", true, &urgent_demand());
    let running = burst(&mut world, now, 100);
    let waiting: Vec<_> = world
        .requests()
        .filter(|(_, row)| row.upstream.is_none())
        .map(|(key, _)| key)
        .collect();
    assert!(running > 0 && waiting.len() > 1);
    for key in &waiting[1..] {
        world.record_end(now, *key, false, None);
    }
    world
}

fn urgent_demand() -> Conditions {
    Conditions {
        demand: vec![ReportedDemand {
            service: crate::support::SERVICE.into(),
            class: 0,
            requests: 100,
            tokens: 220_000,
            objective_ms: 1_500,
        }],
        ..Conditions::default()
    }
}

fn evacuations(domains: &[&str]) -> Evacuations {
    let domains = domains.iter().map(|domain| (*domain).to_owned());
    Evacuations::as_of(Revision::new(1, 1), domains)
}
