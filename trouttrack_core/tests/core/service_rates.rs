//! Service rates of upstreams, estimated by many VMs with few samples each.

use crate::support::{SERVICE, placed, spec, submission, world};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use trouttrack_core::membership::{
    Conditions, LOCAL_FANOUT, REMOTE_FANOUT, UpstreamUse, heartbeat_interval,
};
use trouttrack_core::upstream::{RateSample, ReportedRate, ServiceRate, UpstreamSpec};
use trouttrack_core::world::{RequestKey, World};

const HOME: &str = "a";
const FAR: &str = "b";
const POLICY: &str = "trouttrack";
const EVENTS: u32 = 8;
/// Interval of reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

fn seconds(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

fn id(i: usize) -> String {
    format!("e{i}")
}

fn specs(upstreams: usize) -> Vec<UpstreamSpec> {
    let specs = (0..upstreams).map(|i| spec(&id(i), HOME, 1_000_000, 1_000));
    specs.map(|s| UpstreamSpec { born: 7, ..s }).collect()
}

/// Places a request on one upstream.
fn place_at(world: &mut World, now: Duration, upstream: &str, prompt_tokens: u64) -> RequestKey {
    let mut wanted = submission("r", "o", 0);
    let serving = world.upstreams.serving(SERVICE).expect("upstreams");
    let ids = serving
        .keys
        .iter()
        .map(|key| &world.upstreams.get(*key).expect("a row").spec.id);
    wanted.avoid = ids.filter(|id| *id != upstream).cloned().collect();
    wanted.prompt_tokens = prompt_tokens;
    world.submit(now, wanted);
    let placed = placed(&world.tick(now));
    assert_eq!(placed[0].1, upstream);
    placed[0].0
}

/// Runs a loaded generation at an upstream.
fn generation(world: &mut World, now: Duration, upstream: &str) -> RequestKey {
    let key = world.submit(now, submission("r", "o", 0));
    assert_eq!(placed(&world.tick(now)).len(), 1);
    world.relocate(now, key, upstream);
    key
}

fn events(gap: f64) -> RateSample {
    RateSample::Events {
        events: EVENTS,
        elapsed: seconds(gap * f64::from(EVENTS)),
    }
}

fn hear(world: &mut World, now: Duration, peer: &str, is_local: bool, rates: Vec<ReportedRate>) {
    let conditions = Conditions {
        rates,
        ..Conditions::default()
    };
    world.record_peer_conditions(now, peer, is_local, &conditions);
}

fn rate(world: &mut World, now: Duration, upstream: &str) -> ServiceRate {
    world.tick(now);
    let row = world.upstreams.get_by_id(upstream).expect("a row");
    row.service_rate(now)
}

fn slowdown(world: &mut World, now: Duration, upstream: &str) -> f64 {
    rate(world, now, upstream).slowdown
}

/// VMs of one failure domain that each run a generation at some of the upstreams.
struct Fleet {
    vms: Vec<World>,
    /// VM, upstream and request of each generation.
    streams: Vec<(usize, usize, RequestKey)>,
    /// Time between two events of each upstream.
    gaps: Vec<f64>,
    rng: SmallRng,
    now: Duration,
}

impl Fleet {
    /// Creates VMs that run `streams` generations each, at consecutive upstreams.
    fn new(vms: usize, gaps: Vec<f64>, streams: usize) -> Self {
        let now = seconds(1.0);
        let mut fleet = Self {
            vms: (0..vms).map(|_| world(POLICY, specs(gaps.len()))).collect(),
            streams: Vec::new(),
            gaps,
            rng: SmallRng::seed_from_u64(5),
            now,
        };
        for vm in 0..vms {
            for n in 0..streams {
                let upstream = (vm * streams + n) % fleet.gaps.len();
                let key = generation(&mut fleet.vms[vm], now, &id(upstream));
                fleet.streams.push((vm, upstream, key));
            }
        }
        fleet
    }

    /// Lets the time pass: each generation is sampled, and each VM hears the others.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += REPORT_INTERVAL;
            for (vm, upstream, key) in self.streams.clone() {
                // The noise of a few events that arrive together with others.
                let noise: f64 = (0..4).map(|_| self.rng.random_range(-0.1..0.1)).sum();
                let sample = events(self.gaps[upstream] * noise.exp());
                self.vms[vm].observe(self.now, key, sample);
            }
            let reports: Vec<_> = self.vms.iter().map(|w| w.local_rates(self.now)).collect();
            for (vm, world) in self.vms.iter_mut().enumerate() {
                for (peer, rates) in reports.iter().enumerate().filter(|(peer, _)| *peer != vm) {
                    hear(world, self.now, &format!("p{peer}"), true, rates.clone());
                }
            }
        }
    }

    fn slowdown(&mut self, vm: usize, upstream: usize) -> f64 {
        slowdown(&mut self.vms[vm], self.now, &id(upstream))
    }
}

#[test]
fn upstreams_of_three_speeds_are_known_to_vms_that_use_few_of_them() {
    // 12 upstreams; each VM uses two of them and sees less than one sample a second of each.
    let gaps = [0.024, 0.040, 0.065].repeat(4);
    let mut fleet = Fleet::new(12, gaps, 2);
    fleet.run(seconds(6.0));
    for upstream in 0..12 {
        let expected = [0.6, 1.0, 1.62][upstream % 3];
        let found = fleet.slowdown(0, upstream);
        assert!(
            (found / expected - 1.0).abs() < 0.15,
            "upstream {upstream}: {found}, in truth {expected}"
        );
    }
    let rate = rate(&mut fleet.vms[0], fleet.now, &id(5));
    let gap = rate.event_gap.expect("a known gap").as_secs_f64();
    assert!((gap / 0.065 - 1.0).abs() < 0.15, "{gap}");
}

#[test]
fn equal_upstreams_under_noise_stay_at_exactly_one() {
    let mut fleet = Fleet::new(12, vec![0.040; 12], 2);
    for _ in 0..20 {
        fleet.run(seconds(1.0));
        for vm in 0..12 {
            for upstream in 0..12 {
                assert_eq!(fleet.slowdown(vm, upstream), 1.0, "at {:?}", fleet.now);
            }
        }
    }
}

#[test]
fn upstream_that_is_slow_for_600_ms_is_not_a_slow_one() {
    let mut fleet = Fleet::new(12, vec![0.040; 12], 2);
    fleet.run(seconds(8.0));
    fleet.gaps[3] = 0.100;
    fleet.run(seconds(0.6));
    fleet.gaps[3] = 0.040;
    for _ in 0..10 {
        fleet.run(seconds(0.4));
        let found = fleet.slowdown(0, 3);
        assert!(found < 1.15, "{found}");
    }
}

#[test]
fn upstream_that_turns_slow_for_good_is_known_within_seconds() {
    let mut fleet = Fleet::new(12, vec![0.040; 12], 2);
    fleet.run(seconds(8.0));
    fleet.gaps[3] = 0.100;
    fleet.run(seconds(4.0));
    let found = fleet.slowdown(0, 3);
    assert!(found > 1.4, "{found}");
    fleet.run(seconds(8.0));
    let found = fleet.slowdown(0, 3);
    assert!(found > 2.0, "{found}");
    assert_eq!(fleet.slowdown(0, 4), 1.0);
}

#[test]
fn all_rates_unknown_leave_all_upstreams_equal() {
    let mut world = world(POLICY, specs(3));
    for upstream in 0..3 {
        let rate = rate(&mut world, seconds(1.0), &id(upstream));
        assert_eq!((rate.slowdown, rate.uncertainty), (1.0, 0.0));
        assert_eq!(rate.event_gap, None);
    }
}

#[test]
fn unknown_upstream_is_not_the_best_of_uneven_ones() {
    let gaps = [0.024, 0.040, 0.065].repeat(4);
    let mut fleet = Fleet::new(12, gaps, 2);
    fleet.run(seconds(6.0));
    let new = UpstreamSpec {
        born: 9,
        ..spec("new", HOME, 1_000_000, 1_000)
    };
    fleet.vms[0].put_upstream(new);
    let now = fleet.now;
    let unknown = rate(&mut fleet.vms[0], now, "new");
    assert!(
        unknown.slowdown > 1.0 && unknown.slowdown < 1.3,
        "{unknown:?}"
    );
    assert!(unknown.uncertainty > 0.2, "{unknown:?}");
}

#[test]
fn first_sample_in_a_slow_phase_does_not_make_a_new_upstream_slow() {
    let mut fleet = Fleet::new(12, vec![0.040; 13], 1);
    fleet.run(seconds(6.0));
    let now = fleet.now;
    let key = generation(&mut fleet.vms[0], now, "e12");
    fleet.vms[0].observe(now + seconds(0.8), key, events(0.100));
    assert_eq!(slowdown(&mut fleet.vms[0], now + seconds(1.0), "e12"), 1.0);
}

#[test]
fn new_upstream_of_an_uneven_service_is_known_within_two_seconds() {
    // The last upstream is new: its generations begin later.
    let gaps = [0.024, 0.040, 0.065].repeat(4);
    let mut fleet = Fleet::new(12, [gaps, vec![0.065]].concat(), 1);
    fleet.run(seconds(6.0));
    for vm in 0..3 {
        let key = generation(&mut fleet.vms[vm], fleet.now, "e12");
        fleet.streams.push((vm, 12, key));
    }
    fleet.run(seconds(2.0));
    let found = fleet.slowdown(9, 12);
    assert!((found / 1.62 - 1.0).abs() < 0.2, "{found}");
}

#[test]
fn slow_upstreams_are_known_in_other_failure_domains() {
    let mut fleet = Fleet::new(12, [0.024, 0.040, 0.065].repeat(4), 2);
    fleet.run(seconds(6.0));
    fleet.slowdown(0, 0);
    let report = fleet.vms[0].domain_rates(fleet.now);
    let mut far = specs(12);
    far.iter_mut().for_each(|s| s.failure_domain = FAR.into());
    let mut world = world(POLICY, far);
    hear(&mut world, fleet.now, "p", false, report);
    for upstream in 0..12 {
        let expected = [0.6, 1.0, 1.62][upstream % 3];
        let found = slowdown(&mut world, fleet.now + seconds(0.5), &id(upstream));
        assert!((found / expected - 1.0).abs() < 0.2, "{upstream}: {found}");
    }
}

#[test]
fn samples_while_prompts_load_beside_are_left_out() {
    let mut world = world(POLICY, specs(2));
    let now = seconds(1.0);
    let keys = [0, 1].map(|i| generation(&mut world, now, &id(i)));
    let beside = UpstreamUse {
        upstream: id(1),
        running: 1,
        peak_tokens: 3_000,
        held_tokens: 3_000,
        loading_tokens: 3_000,
        lost_ms: None,
        handovers: 0,
        recent_handovers: 0,
    };
    for step in 1..20 {
        let at = now + seconds(f64::from(step) * 0.5);
        world.record_peer_uses(at - seconds(0.1), "p", HOME, std::slice::from_ref(&beside));
        world.record_peer_uses(at - seconds(0.05), "p", HOME, &[]);
        world.observe(at, keys[0], events(0.040));
        world.observe(at, keys[1], events(0.100));
    }
    assert_eq!(slowdown(&mut world, now + seconds(10.0), "e1"), 1.0);
    assert_eq!(world.local_rates(now + seconds(10.0)).len(), 1);
}

#[test]
fn first_tokens_behind_other_prompts_are_left_out() {
    let mut world = world(POLICY, specs(3));
    let mut now = seconds(1.0);
    let first_token = |world: &mut World, now, i, elapsed| {
        let key = place_at(world, now, &id(i), 3_000);
        let at = now + seconds(elapsed);
        world.observe(at, key, RateSample::FirstToken(seconds(elapsed)));
        world.progress(key, 1);
        world.record_end(at, key, false, Some(1));
    };
    for _ in 0..12 {
        now += seconds(2.0);
        first_token(&mut world, now, 0, 0.3);
        first_token(&mut world, now, 1, 0.3);
        // Each of these loads behind another prompt.
        let ahead = place_at(&mut world, now, &id(2), 3_000);
        first_token(&mut world, now, 2, 0.9);
        world.record_end(now + seconds(0.9), ahead, false, Some(1));
    }
    assert_eq!(slowdown(&mut world, now + seconds(1.0), "e2"), 1.0);
    let typical = rate(&mut world, now + seconds(1.0), "e0");
    assert!(
        (typical.prefill_per_second / 10_000.0 - 1.0).abs() < 0.05,
        "{typical:?}"
    );
}

/// A VM that knows three of four upstreams at 40 ms, and a report that the other takes 100 ms.
fn heard_slow() -> (World, Vec<ReportedRate>, Duration) {
    let mut fleet = Fleet::new(1, vec![0.040; 4], 3);
    fleet.run(seconds(6.0));
    let mut peer = world(POLICY, specs(4));
    let key = generation(&mut peer, seconds(1.0), "e3");
    for step in 3..7 {
        peer.observe(seconds(f64::from(step)), key, events(0.100));
    }
    let now = fleet.now;
    let report = peer.local_rates(now);
    assert_eq!(report.len(), 1);
    (fleet.vms.remove(0), report, now)
}

#[test]
fn report_heard_twice_or_by_two_paths_counts_once() {
    let (mut once, report, now) = heard_slow();
    hear(&mut once, now, "p", true, report.clone());
    let later = now + seconds(0.5);
    let expected = rate(&mut once, later, "e3");
    let (mut repeatedly, report, _) = heard_slow();
    for _ in 0..5 {
        // A heartbeat and load updates.
        hear(&mut repeatedly, now, "p", true, report.clone());
        hear(&mut repeatedly, now, "p", true, Vec::new());
    }
    // The total of the own failure domain, which includes these samples.
    hear(&mut repeatedly, now, "q", false, report);
    assert_eq!(rate(&mut repeatedly, later, "e3"), expected);
    assert!(expected.slowdown > 1.0, "{expected:?}");
}

#[test]
fn domain_total_counts_once_whichever_vm_sends_it() {
    let mut fleet = Fleet::new(12, [0.024, 0.040, 0.065].repeat(4), 2);
    fleet.run(seconds(3.0));
    fleet.slowdown(0, 0);
    let report = fleet.vms[0].domain_rates(fleet.now);
    assert_eq!(report.len(), 12);
    let far = || {
        let mut specs = specs(12);
        specs.iter_mut().for_each(|s| s.failure_domain = FAR.into());
        world(POLICY, specs)
    };
    let (mut once, mut repeatedly) = (far(), far());
    hear(&mut once, fleet.now, "p", false, report.clone());
    for peer in ["p", "q", "r"] {
        hear(&mut repeatedly, fleet.now, peer, false, report.clone());
    }
    let later = fleet.now + seconds(0.5);
    for upstream in 0..12 {
        let expected = rate(&mut once, later, &id(upstream));
        assert_eq!(rate(&mut repeatedly, later, &id(upstream)), expected);
        assert!(expected.uncertainty > 0.0, "{expected:?}");
    }
}

#[test]
fn restarted_upstream_starts_unknown() {
    let (mut world, report, now) = heard_slow();
    hear(&mut world, now, "p", true, report.clone());
    let later = now + seconds(0.5);
    assert!(slowdown(&mut world, later, "e3") > 1.0);
    let restarted = UpstreamSpec {
        born: 8,
        ..specs(4).remove(3)
    };
    let other = UpstreamSpec {
        born: 8,
        ..spec("new", HOME, 1_000_000, 1_000)
    };
    world.put_upstream(restarted);
    world.put_upstream(other);
    assert_eq!(
        rate(&mut world, later, "e3"),
        rate(&mut world, later, "new")
    );
    // A late report of the previous incarnation.
    hear(&mut world, later, "p", true, report);
    assert_eq!(slowdown(&mut world, later + seconds(0.5), "e3"), 1.0);
}

#[test]
fn samples_of_silent_peer_expire() {
    let (mut world, report, now) = heard_slow();
    hear(&mut world, now, "p", true, report);
    assert!(slowdown(&mut world, now + seconds(0.5), "e3") > 1.0);
    // This VM's own samples go on.
    let key = generation(&mut world, now, "e1");
    for step in 1..40 {
        world.observe(now + seconds(f64::from(step)), key, events(0.040));
    }
    assert_eq!(slowdown(&mut world, now + seconds(40.0), "e3"), 1.0);
}

#[test]
fn reports_are_bounded_and_cover_all_upstreams_in_turn() {
    let mut world = world(POLICY, specs(60));
    let now = seconds(1.0);
    let keys: Vec<_> = (0..60)
        .map(|i| generation(&mut world, now, &id(i)))
        .collect();
    let mut heard = std::collections::HashSet::new();
    for step in 0..60_u64 {
        let at = now + Duration::from_millis(1_000 + 247 * step);
        for key in &keys {
            world.observe(at, *key, events(0.040));
        }
        let rates = world.local_rates(at);
        assert!(rates.len() <= 16, "{}", rates.len());
        heard.extend(rates.iter().map(|r| r.upstream));
    }
    assert_eq!(heard.len(), 60);
}

#[test]
fn equal_upstreams_are_not_reported_to_other_failure_domains() {
    let mut fleet = Fleet::new(12, vec![0.040; 12], 2);
    fleet.run(seconds(6.0));
    fleet.slowdown(0, 0);
    assert_eq!(fleet.vms[0].domain_rates(fleet.now), Vec::new());
    let mut uneven = Fleet::new(12, [0.024, 0.040, 0.065].repeat(4), 2);
    uneven.run(seconds(6.0));
    uneven.slowdown(0, 0);
    assert_eq!(uneven.vms[0].domain_rates(uneven.now).len(), 12);
}

/// Bytes that service rates add to a datagram.
fn encoded_bytes(rates: Vec<ReportedRate>) -> usize {
    let conditions = Conditions {
        rates,
        ..Conditions::default()
    };
    postcard::to_stdvec(&conditions).expect("it encodes").len()
}

#[test]
fn reports_of_79_vms_take_little_of_the_budget_for_control() {
    // 79 VMs in three failure domains before 45 upstreams of three speeds; a VM uses three.
    let (vms, upstreams) = (26, 15);
    let gaps = [0.024, 0.040, 0.065].repeat(upstreams / 3);
    let mut fleet = Fleet::new(vms, gaps, 3);
    fleet.run(seconds(6.0));
    fleet.slowdown(0, 0);
    let now = fleet.now;
    let local = encoded_bytes(fleet.vms[0].local_rates(now));
    let domain = encoded_bytes(fleet.vms[0].domain_rates(now));
    assert!((30..=60).contains(&local), "{local} bytes");
    assert!(domain <= 15 * 14 + 3, "{domain} bytes");
    let heartbeat = heartbeat_interval(79).as_secs_f64();
    let (mut local_sent, mut domain_sent) = (0, 0);
    for beat in 0..100 {
        let at = now + seconds(heartbeat * f64::from(beat));
        for (vm, _, key) in fleet.streams.iter().filter(|(vm, ..)| *vm == 0) {
            fleet.vms[*vm].observe(at, *key, events(0.040));
        }
        local_sent += encoded_bytes(fleet.vms[0].due_local_rates(at)) * LOCAL_FANOUT;
        domain_sent += encoded_bytes(fleet.vms[0].due_domain_rates(at)) * REMOTE_FANOUT;
    }
    let per_second = |bytes: usize| bytes as f64 / (100.0 * heartbeat);
    assert!(
        per_second(local_sent) < 2_000.0,
        "{}",
        per_second(local_sent)
    );
    assert!(
        per_second(domain_sent) < 500.0,
        "{}",
        per_second(domain_sent)
    );
}
