//! Drawing slow and vanished upstreams, bursts and slow readers.

use super::act::Act;
use super::draw::{SETTLE, Step};
use super::size::Size;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// The first seed whose plan holds them: those below give the same plans as before there
/// were any.
const FIRST_SEED: u64 = 1000;
/// Taken with the seed.
const SALT: u64 = 0x4a7d;
/// The share of plans that hold nothing else: some promises can be judged only there.
const ALONE: f64 = 0.5;
/// Begins of each kind in a plan.
const BEGINS: Range<usize> = 1..3;
/// How likely an engine stays slow, upstreams vanish, and a VM is killed meanwhile.
const SLOW_FOR_GOOD: f64 = 0.5;
const VANISH: f64 = 0.6;
const KILL: f64 = 0.5;
/// How long each lasts, in seconds.
const LASTS_SLOW: Range<f64> = 0.4..0.6;
const LASTS_VANISH: Range<f64> = 1.5..4.0;
const LASTS_BURST: Range<f64> = 1.0..2.0;

/// What is drawn of hard load.
pub(super) struct HardLoad {
    /// Whether the plan holds nothing else.
    pub(super) alone: bool,
    pub(super) steps: Vec<Step>,
}

/// Draws hard load; `None` for a seed whose plan holds none.
pub(super) fn hard_load(seed: u64, size: Size, ends: Duration) -> Option<HardLoad> {
    if seed < FIRST_SEED {
        return None;
    }
    let rng = &mut SmallRng::seed_from_u64(seed ^ SALT);
    let alone = rng.random_bool(ALONE);
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(BEGINS) {
        let engine = size.upstreams + rng.random_range(0..size.upstreams);
        steps.push(step(rng, ends, LASTS_SLOW, Act::SlowDown(engine)));
        steps.push(step(rng, ends, LASTS_BURST, Act::Burst));
        let vm = rng.random_range(0..size.vms);
        steps.push(step(rng, ends, LASTS_SLOW, Act::SlowReaders(vm)));
    }
    if rng.random_bool(SLOW_FOR_GOOD) {
        let engine = size.upstreams + rng.random_range(0..size.upstreams);
        steps.push(step(rng, ends, LASTS_SLOW, Act::SlowForGood(engine)));
    }
    if rng.random_bool(VANISH) {
        let upstream = rng.random_range(0..2 * size.upstreams);
        let vanish = step(rng, ends, LASTS_VANISH, Act::Vanish(upstream));
        steps.push(vanish);
        if rng.random_bool(KILL) {
            let act = Act::Kill(rng.random_range(0..size.vms));
            let at = vanish.at + vanish.lasts / 4;
            steps.push(Step { at, act, ..vanish });
        }
    }
    Some(HardLoad { alone, steps })
}

fn step(rng: &mut SmallRng, ends: Duration, lasts: Range<f64>, act: Act) -> Step {
    let first = SETTLE.as_secs_f64();
    let latest = (ends.as_secs_f64() - lasts.end).max(first + lasts.end);
    Step {
        at: Duration::from_secs_f64(rng.random_range(first..latest)),
        lasts: Duration::from_secs_f64(rng.random_range(lasts)),
        act,
    }
}
