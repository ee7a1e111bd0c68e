//! Drawing stops beside crowded engines, and departures beside VMs that hear of them late.

use super::act::{Act, StoreFailure};
use super::draw::{SETTLE, Step};
use super::size::Size;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// The first seed whose plan holds them: those below give the same plans as before there
/// were any.
pub(super) const FIRST_WITH_DEPARTURES: u64 = 6000;
/// XORed with the seed.
const SALT: u64 = 0xd3a7;
/// The share of plans that hold nothing else: some promises can be judged only there.
const ALONE: f64 = 0.7;
/// How many of each kind a plan holds.
const COUNT: Range<usize> = 2..5;
/// How long a VM stands still, when the entry of the upstream that leaves meanwhile changes, for how
/// long, and when it goes, in seconds from the beginning.
const FREEZE: f64 = 1.0;
const CHANGES_AT: Range<f64> = 0.1..0.4;
const CHANGED: f64 = 0.05;
const LEAVES_AT: Range<f64> = 0.5..0.95;
/// How long the store turns a VM away, and how long before the end an upstream leaves, in seconds.
const TURNED_AWAY: Range<f64> = 2.0..3.5;
const LEAVES_BEFORE: Range<f64> = 0.0..0.6;
/// How long engines are crowded from a stop on, in seconds: until the VM has ended.
const CROWDED: f64 = 8.0;

/// How long before the stop they open their connections, in seconds.
const KEPT_BEFORE: f64 = 0.5;

/// What is drawn of departures.
pub(super) struct Departures {
    /// Whether the plan holds nothing else.
    pub(super) alone: bool,
    pub(super) steps: Vec<Step>,
}

/// Draws departures; `None` for a seed whose plan holds none.
pub(super) fn departures(seed: u64, size: Size, ends: Duration) -> Option<Departures> {
    if seed < FIRST_WITH_DEPARTURES {
        return None;
    }
    let rng = &mut SmallRng::seed_from_u64(seed ^ SALT);
    let alone = rng.random_bool(ALONE);
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(COUNT) {
        let vm = rng.random_range(0..size.vms);
        let upstream = rng.random_range(0..2 * size.upstreams);
        steps.extend(match rng.random_range(0..3) {
            0 => stop_beside_crowd(rng, vm, ends),
            1 => freeze_beside_departure(rng, vm, upstream, ends),
            _ => turn_away_beside_departure(rng, vm, upstream, ends),
        });
    }
    Some(Departures { alone, steps })
}

/// A VM stops while engines are crowded, and callers that kept their connections ask late.
fn stop_beside_crowd(rng: &mut SmallRng, vm: usize, ends: Duration) -> Vec<Step> {
    let at = begin(rng, ends);
    vec![
        step(at, CROWDED, Act::CrowdEngines),
        step(at, CROWDED, Act::AskLate(vm)),
        step(at + KEPT_BEFORE, 0.0, Act::Stop(vm)),
    ]
}

/// A VM stands still while an entry changes and then goes.
fn freeze_beside_departure(
    rng: &mut SmallRng,
    vm: usize,
    upstream: usize,
    ends: Duration,
) -> Vec<Step> {
    let at = begin(rng, ends);
    let changes = at + rng.random_range(CHANGES_AT);
    let leaves = at + rng.random_range(LEAVES_AT);
    vec![
        step(at, FREEZE, Act::Pause(vm)),
        step(changes, CHANGED, Act::TurnCold(upstream)),
        step(leaves, 0.0, Act::LeaveUnsaidSlowly(upstream)),
    ]
}

/// The store turns a VM away, and an upstream leaves shortly before it is served again.
fn turn_away_beside_departure(
    rng: &mut SmallRng,
    vm: usize,
    upstream: usize,
    ends: Duration,
) -> Vec<Step> {
    let at = begin(rng, ends);
    let lasts = rng.random_range(TURNED_AWAY);
    let failure = match rng.random_range(0..4) {
        0 => StoreFailure::Refuse,
        1 => StoreFailure::Reset,
        _ => StoreFailure::Silent,
    };
    let leaves = at + lasts - rng.random_range(LEAVES_BEFORE);
    vec![
        step(at, lasts, Act::TurnVmAway(vm, failure)),
        step(leaves, 0.0, Act::LeaveUnsaidSlowly(upstream)),
    ]
}

/// When one begins, in seconds: in the first part, since what follows takes long.
fn begin(rng: &mut SmallRng, ends: Duration) -> f64 {
    let first = SETTLE.as_secs_f64();
    rng.random_range(first..first.max(ends.as_secs_f64() / 3.0) + 0.5)
}

fn step(at: f64, lasts: f64, act: Act) -> Step {
    Step {
        at: Duration::from_secs_f64(at),
        lasts: Duration::from_secs_f64(lasts),
        act,
    }
}
