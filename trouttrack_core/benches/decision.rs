//! Benchmarks of one routing decision: a request is submitted, placed and ended, with many
//! upstreams and organisations.
//!
//! `cargo bench -p trouttrack_core` prints criterion's results, then the tail latency of
//! single decisions.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use std::hint::black_box;
use std::ops::Range;
use std::time::{Duration, Instant};
use trouttrack_core::length::LengthKey;
use trouttrack_core::membership::{Conditions, UpstreamUse};
use trouttrack_core::upstream::{
    Incarnation, ReportedMean, ReportedRate, UpstreamSpec, incarnation_hash,
};
use trouttrack_core::world::{
    AdmissionSettings, Decision, ServiceLevel, Submission, World, WorldSettings,
};

const UPSTREAMS: [usize; 3] = [10, 100, 900];
const ORGANISATIONS: [usize; 2] = [10, 18_000];
/// Number of requests that run at each upstream throughout.
const RUNNING_PER_UPSTREAM: usize = 12;
/// Maximum number of upstreams listed in a heartbeat.
const UPSTREAMS_PER_HEARTBEAT: usize = 30;
/// Decisions between two reports of service rates, with this number of upstreams each.
const DECISIONS_PER_REPORT: usize = 100;
const RATES_PER_REPORT: usize = 16;
/// Number of peers that report the rate of an upstream.
const PEERS_PER_UPSTREAM: usize = 10;
/// Time between two events at engines of three speeds, as [`ReportedMean::log_us`]: 24, 40 and
/// 65 ms.
const THREE_SPEEDS: [u16; 3] = [10_086, 10_597, 11_082];
/// Number of peers, whose heartbeats arrive in turn.
const PEERS: usize = 340;

fn world(upstreams: usize, organisations: usize) -> World {
    let mut world = World::new(WorldSettings {
        failure_domain: "d0".into(),
        ageing: Duration::from_secs(5),
        max_wait: Duration::from_secs(30),
        max_queued: 1_000_000,
        urgent_reserve: 0.1,
        growth_quantile: 0.5,
        placed_fill: 1.0,
        moved_fill: 1.0,
        look_ahead: 512,
        policy: "trouttrack".parse().expect("the policy is known"),
        admission: AdmissionSettings::default(),
        seed: 1,
    });
    world.configure((0..upstreams).map(spec).collect());
    for i in 0..upstreams * RUNNING_PER_UPSTREAM {
        world.submit(Duration::ZERO, submission(i, organisations));
    }
    world.tick(Duration::ZERO);
    world
}

fn spec(i: usize) -> UpstreamSpec {
    UpstreamSpec {
        id: format!("e{i}"),
        failure_domain: format!("d{}", i % 8),
        services: vec!["s".into()],
        capacity_tokens: 49_152,
        max_running: 64,
        warm_up_ends_at: Duration::ZERO,
        version: String::new(),
        born: 0,
        cold_rate: 0.0,
    }
}

fn submission(i: usize, organisations: usize) -> Submission {
    let organisation = format!("o{}", i % organisations);
    Submission {
        id: format!("r{i}"),
        weight: 1.0,
        service: "s".into(),
        length_key: LengthKey::new("s", "m", &organisation),
        organisation,
        priority: (i % 4) as u8,
        prompt_tokens: 400,
        deadline: Duration::MAX / 2,
        service_level: ServiceLevel::UNBOUNDED,
        max_running: None,
        avoid: Vec::new(),
        guessed_tokens: None,
        version: None,
        known_tokens: None,
    }
}

/// Number of the first decision of which the tail is printed.
const TAIL_START: usize = 10_000_000;

/// How the rates of upstreams differ.
#[derive(Clone, Copy, Debug)]
enum Speeds {
    /// By little, as those of equal upstreams do.
    Equal,
    Three,
}

fn decide(world: &mut World, i: usize, organisations: usize, speeds: Speeds) {
    let now = Duration::from_millis(i as u64);
    if i.is_multiple_of(DECISIONS_PER_REPORT) {
        let first = i / DECISIONS_PER_REPORT * RATES_PER_REPORT;
        let upstreams = first..first + RATES_PER_REPORT;
        hear_rates(world, now, "vm-1", upstreams, speeds);
    }
    world.submit(now, submission(i, organisations));
    for d in world.tick(now) {
        if let Decision::Place { request, .. } = black_box(d) {
            world.record_end(now, request, false, Some(100));
        }
    }
}

/// Applies a peer's report of the service rates of some upstreams.
fn hear_rates(
    world: &mut World,
    now: Duration,
    peer: &str,
    upstreams: Range<usize>,
    speeds: Speeds,
) {
    let conditions = Conditions {
        rates: upstreams.map(|i| rate(i, speeds)).collect(),
        ..Conditions::default()
    };
    world.record_peer_conditions(now, peer, true, &conditions);
}

fn rate(i: usize, speeds: Speeds) -> ReportedRate {
    let n = i % UPSTREAMS[2];
    let mean = |log_us| ReportedMean { weight: 24, log_us };
    let (event_gap, prefill) = match speeds {
        Speeds::Equal => (10_000 + i % 7 * 100, 12_000 + i % 5 * 100),
        Speeds::Three => {
            let gap = usize::from(THREE_SPEEDS[n % 3]);
            (gap, gap + 1_600)
        }
    };
    ReportedRate {
        upstream: incarnation_hash(&Incarnation::new(&format!("e{n}"), 0)),
        event_gap: mean(event_gap as u16),
        prefill: mean(prefill as u16),
        call: ReportedMean::default(),
    }
}

/// Benchmarks the estimates of all service rates, which are updated a few times a second.
fn rates(c: &mut Criterion) {
    let mut group = c.benchmark_group("rates");
    for upstreams in UPSTREAMS {
        let mut world = world(upstreams, 10);
        let mut now = Duration::from_secs(1);
        for peer in 0..PEERS_PER_UPSTREAM {
            let peer = format!("vm-{peer}");
            hear_rates(&mut world, now, &peer, 0..upstreams, Speeds::Equal);
        }
        group.bench_function(BenchmarkId::new("estimate", upstreams), |b| {
            b.iter(|| {
                // As short as keeps the reports valid.
                now += Duration::from_nanos(1);
                world.update_rates(now);
            });
        });
    }
    group.finish();
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision");
    for upstreams in UPSTREAMS {
        for organisations in ORGANISATIONS {
            let mut world = world(upstreams, organisations);
            let mut i = 1_000_000;
            let id = BenchmarkId::from_parameter(format!("{upstreams}x{organisations}"));
            group.bench_function(id, |b| {
                b.iter(|| {
                    i += 1;
                    decide(&mut world, i, organisations, Speeds::Equal);
                });
            });
            print_tail(&mut world, upstreams, organisations, Speeds::Equal);
        }
    }
    group.finish();
}

/// Benchmarks decisions among upstreams of three speeds, whose samples and predictions are larger.
fn uneven_decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decision_three_speeds");
    let organisations = ORGANISATIONS[0];
    for upstreams in UPSTREAMS {
        let mut world = world(upstreams, organisations);
        let mut i = 1_000_000;
        hear_all_rates(&mut world, i, upstreams);
        let slow = world.known_rates().slow;
        assert!(slow * 4 > upstreams, "{slow} of {upstreams} are slow");
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            b.iter(|| {
                i += 1;
                decide(&mut world, i, organisations, Speeds::Three);
            });
        });
        hear_all_rates(&mut world, TAIL_START, upstreams);
        print_tail(&mut world, upstreams, organisations, Speeds::Three);
    }
    group.finish();
}

/// Applies reports of all upstreams, of three speeds, at the time of decision `i`.
fn hear_all_rates(world: &mut World, i: usize, upstreams: usize) {
    let now = Duration::from_millis(i as u64);
    for peer in 0..PEERS_PER_UPSTREAM {
        let peer = format!("vm-{peer}");
        hear_rates(world, now, &peer, 0..upstreams, Speeds::Three);
    }
    world.update_rates(now);
}

/// Prints the tail latency of single decisions, which the mean hides.
fn print_tail(world: &mut World, upstreams: usize, organisations: usize, speeds: Speeds) {
    const DECISIONS: usize = 20_000;
    let mut times: Vec<Duration> = (0..DECISIONS)
        .map(|i| {
            let start = Instant::now();
            decide(world, TAIL_START + i, organisations, speeds);
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    println!(
        "upstreams={upstreams} organisations={organisations} speeds={speeds:?} p50_us={:.1} p99_us={:.1}",
        times[DECISIONS / 2].as_secs_f64() * 1e6,
        times[DECISIONS * 99 / 100].as_secs_f64() * 1e6
    );
}

/// Benchmarks applying a peer's heartbeat and updating or replacing an upstream.
fn membership(c: &mut Criterion) {
    let mut group = c.benchmark_group("membership");
    for upstreams in UPSTREAMS {
        let mut world = world(upstreams, 10);
        let mut now = Duration::ZERO;
        let uses: Vec<UpstreamUse> = (0..upstreams.min(UPSTREAMS_PER_HEARTBEAT))
            .map(upstream_use)
            .collect();
        group.bench_function(BenchmarkId::new("heartbeat", upstreams), |b| {
            let mut peer = 0;
            b.iter(|| {
                peer = (peer + 1) % PEERS;
                now += Duration::from_millis(1);
                world.record_peer_uses(now, &format!("vm-{peer}"), "a", &uses);
            });
        });
        group.bench_function(BenchmarkId::new("entry", upstreams), |b| {
            let mut n = 0;
            b.iter(|| {
                n = (n + 1) % upstreams;
                world.put_upstream(spec(n));
            });
        });
        group.bench_function(BenchmarkId::new("replaced", upstreams), |b| {
            let mut n = 0;
            b.iter(|| {
                n = (n + 1) % upstreams;
                world.remove_upstream(&format!("e{n}"));
                world.put_upstream(spec(n));
            });
        });
    }
    group.finish();
}

fn upstream_use(i: usize) -> UpstreamUse {
    UpstreamUse {
        upstream: format!("e{i}"),
        running: 2,
        peak_tokens: 900,
        held_tokens: 0,
        loading_tokens: 100,
        lost_ms: None,
        handovers: 0,
        recent_handovers: 0,
    }
}

criterion_group!(benches, decisions, uneven_decisions, membership, rates);
criterion_main!(benches);
