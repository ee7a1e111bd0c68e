//! Drawing releases of upstreams beside VMs that are all killed, and streams that are out of order.

use super::act::{Act, Departure, LinkFault, Place};
use super::draw::{SETTLE, Step};
use super::size::Size;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use trouttrack_platform_standin::OpenConnections;

/// The first seed whose plan holds them: those below give the same plans as before there were any.
pub(super) const FIRST_WITH_RELEASES: u64 = 7000;
/// XORed with the seed.
const SALT: u64 = 0x0e5e;
/// The share of plans that hold nothing else, and of those whose upstreams have several versions
/// from the beginning on.
const ALONE: f64 = 0.7;
const MIXED: f64 = 0.25;
/// Releases of a plan, and how long the older upstreams take to leave, in seconds.
const RELEASES: Range<usize> = 0..3;
const LASTS_RELEASE: Range<f64> = 0.05..2.0;
/// When all VMs are killed after the beginning of a release, in seconds: while both versions serve,
/// or soon enough that no upstream of the older one is listed when they are back.
const KILLED_AFTER: Range<f64> = 0.0..4.0;
const KILLED_SOON: Range<f64> = 0.0..1.0;
/// The share of releases beside crowded engines, whose streams last longer, and for how many seconds
/// before and after.
const CROWDED: f64 = 0.5;
const CROWDED_BEFORE: f64 = 1.0;
const CROWDED_FOR: f64 = 6.0;
/// How long all VMs are down, in seconds, and the share of kills that are followed by another one
/// before all VMs are back.
const DOWN: Range<f64> = 0.2..2.6;
const KILLED_AGAIN: f64 = 0.4;
/// Faults beside, how long they last, in seconds, and how long bytes are delayed, in milliseconds.
const BESIDE: Range<usize> = 4..12;
const LASTS_BESIDE: Range<f64> = 0.1..2.0;
const DELAY_MS: Range<u64> = 5..300;

/// The first seed whose upstreams answer without end, what is XORed with it, and how often.
const FIRST_WITH_ENDLESS: u64 = 7400;
const ENDLESS: u64 = 0xe4d1;
const BEGINS_ENDLESS: Range<usize> = 1..5;

/// What is drawn of releases.
pub(super) struct Releases {
    /// Whether the plan holds nothing else.
    pub(super) alone: bool,
    /// Whether upstreams have several versions from the beginning on.
    pub(super) mixed: bool,
    pub(super) steps: Vec<Step>,
}

/// Draws releases; `None` for a seed whose plan holds none.
pub(super) fn releases(seed: u64, size: Size, ends: Duration) -> Option<Releases> {
    if seed < FIRST_WITH_RELEASES {
        return None;
    }
    let rng = &mut SmallRng::seed_from_u64(seed ^ SALT);
    let (alone, mixed) = (rng.random_bool(ALONE), rng.random_bool(MIXED));
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(RELEASES) {
        let at = begin(rng, ends);
        let lasts = rng.random_range(LASTS_RELEASE);
        let first = rng.random_range(1..=size.upstreams);
        let (departure, killed) = match rng.random_range(0..4) {
            0 => (Departure::Said, KILLED_AFTER),
            1 => (Departure::Mixed, KILLED_AFTER),
            _ => (Departure::Unsaid, KILLED_SOON),
        };
        steps.push(step(at, lasts, Act::Release(first, departure)));
        let killed = at + rng.random_range(killed);
        steps.extend(kill_all(rng, killed));
        if rng.random_bool(CROWDED) {
            let from = (at - CROWDED_BEFORE).max(0.0);
            steps.push(step(from, CROWDED_FOR, Act::CrowdEngines));
        }
    }
    let at = begin(rng, ends);
    steps.extend(kill_all(rng, at));
    for _ in 0..rng.random_range(BESIDE) {
        let at = begin(rng, ends);
        let lasts = rng.random_range(LASTS_BESIDE);
        steps.push(step(at, lasts, beside(rng, size)));
    }
    steps.extend(endless(seed, size, ends));
    Some(Releases {
        alone,
        mixed,
        steps,
    })
}

/// Upstreams that answer without end, drawn by themselves.
fn endless(seed: u64, size: Size, ends: Duration) -> Vec<Step> {
    if seed < FIRST_WITH_ENDLESS {
        return Vec::new();
    }
    let rng = &mut SmallRng::seed_from_u64(seed ^ ENDLESS);
    let count = rng.random_range(BEGINS_ENDLESS);
    let mut draw = || {
        let at = begin(rng, ends);
        let upstream = rng.random_range(0..2 * size.upstreams);
        step(at, 0.0, Act::AnswerEndlessly(upstream))
    };
    (0..count).map(|_| draw()).collect()
}

/// All VMs are killed, and perhaps once more before all of them are back.
fn kill_all(rng: &mut SmallRng, at: f64) -> Vec<Step> {
    let down = rng.random_range(DOWN);
    let mut steps = vec![step(at, down, Act::KillAll)];
    if rng.random_bool(KILLED_AGAIN) {
        let again = at + down * rng.random_range(0.5..1.5);
        let down = rng.random_range(DOWN);
        steps.push(step(again, down, Act::KillAll));
    }
    steps
}

fn beside(rng: &mut SmallRng, size: Size) -> Act {
    let vm = rng.random_range(0..size.vms);
    let engine = size.upstreams + rng.random_range(0..size.upstreams);
    match rng.random_range(0..12) {
        0..=2 => Act::Disorder(engine),
        3 => Act::Leave(engine),
        4 => Act::LeaveUnsaid(engine),
        5 => Act::Crash(engine),
        6 => Act::Kill(vm),
        7 => Act::Pause(vm),
        8 => Act::Link(place(rng, vm, engine), link_fault(rng)),
        9 => Act::Burst,
        10 => Act::LosePaths(vm, 1, OpenConnections::Hang),
        _ => Act::OddEntries,
    }
}

fn place(rng: &mut SmallRng, vm: usize, engine: usize) -> Place {
    match rng.random_bool(0.5) {
        true => Place::Callers(vm),
        false => Place::Upstream(engine),
    }
}

fn link_fault(rng: &mut SmallRng) -> LinkFault {
    match rng.random_range(0..4) {
        0 => LinkFault::Delay(Duration::from_millis(rng.random_range(DELAY_MS))),
        1 => LinkFault::CutFromServer,
        2 => LinkFault::Silence,
        _ => LinkFault::Reset,
    }
}

/// When one begins, in seconds.
fn begin(rng: &mut SmallRng, ends: Duration) -> f64 {
    let first = SETTLE.as_secs_f64();
    rng.random_range(first..ends.as_secs_f64().max(first + 1.0))
}

fn step(at: f64, lasts: f64, act: Act) -> Step {
    Step {
        at: Duration::from_secs_f64(at),
        lasts: Duration::from_secs_f64(lasts),
        act,
    }
}
