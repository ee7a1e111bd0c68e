//! Drawing a plan. A seed gives the same plan only as long as the order of the
//! draws stays.

use super::act::{Act, LinkFault, Place, StoreFailure};
use super::departures::{FIRST_WITH_DEPARTURES, departures};
use super::hard_load::hard_load;
use super::releases::releases;
use super::size::Size;
use crate::bed::DOMAINS;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;
use trouttrack_platform_standin::OpenConnections;

/// Before the first fault: the fleet finds itself.
pub(super) const SETTLE: Duration = Duration::from_millis(1500);
/// After the last fault has ended: everything serves again.
const RECOVER: Duration = Duration::from_secs(4);
/// How long a fault lasts, in seconds.
const LASTS: Range<f64> = 0.2..3.0;
/// Between the beginnings of two faults, in seconds: they overlap.
const GAP: Range<f64> = 0.05..1.0;
/// The share of plans that hold planned work only: what it must not cut off can
/// be judged only where nothing else is amiss.
const PLANNED_ONLY: f64 = 0.3;
/// Taken with the seed for what is drawn by itself.
const BESIDE: u64 = 0xe7ac;
/// The most of that in a plan.
const MOST_BESIDE: usize = 3;
/// How long it lasts, in seconds: longer than the bound within which an evacuation is in
/// force.
const LASTS_BESIDE: Range<f64> = 2.5..7.0;
/// Taken with the seed for the request that ends engines; the share of plans with one, and
/// how long it comes, in seconds: longer than until all VMs must know.
const ENDS_ENGINES: u64 = 0x3d1e;
const ENDING: f64 = 0.35;
const LASTS_ENDING: f64 = 6.0;
/// Taken with the seed for what upstreams say in their answers; the most of that in a plan.
const WORDS: u64 = 0x51a7;
const MOST_WORDS: usize = 3;
/// How long it lasts, in seconds: longer than the bound within which it must be heeded.
const LASTS_WORDS: Range<f64> = 2.5..6.0;
/// Taken with the seed for upstreams that name a limit; the most of them in a plan, and how
/// long it lasts, in seconds: longer than until it is judged and the time that it is judged by.
const LIMITS: u64 = 0x11a3;
const MOST_LIMITS: usize = 2;
const LASTS_LIMIT: Range<f64> = 7.5..12.0;
/// XORed with the seed to draw the backup and restore of the store.
const RESTORE_SALT: u64 = 0x6b05;
/// The probability that a plan with unplanned faults restores the store.
const RESTORE_PROBABILITY: f64 = 0.4;
/// The age of the backup when the outage before the restore begins, in seconds.
const BACKUP_AGE: Range<f64> = 0.5..3.0;
/// The longest time from the start of the outage until the lost data is rewritten, in seconds.
const MAX_RESTORE_DURATION: f64 = 3.0;
/// Taken with the seed for VMs that lose their paths to upstreams; the first seed whose plan has
/// any, the most of that in a plan, and how long it lasts, in seconds: longer than until callers of
/// these VMs must be served like others.
const LOST_PATHS: u64 = 0x9a71;
const FIRST_WITH_LOST_PATHS: u64 = 2000;
const MOST_LOST_PATHS: usize = 3;
const LASTS_LOST_PATHS: Range<f64> = 3.5..8.0;
/// The share of these plans that hold nothing else but new configurations and settings.
const LOST_PATHS_ALONE: f64 = 0.5;
/// The first seed whose upstreams have several software versions, and how many.
const FIRST_WITH_VERSIONS: u64 = 4000;
const VERSIONS: usize = 2;
/// The first seed whose plan may have a part of prompts that ends engines, what is XORed with it,
/// and the share of these plans.
const FIRST_WITH_PARTS: u64 = 5000;
const ENDS_ENGINES_BY_PART: u64 = 0x9a27;
const ENDING_BY_PART: f64 = 0.75;
/// XORed with a seed of these plans for a VM that gets most new connections; the share of plans
/// with one, and how long it lasts, in seconds.
const CROWD: u64 = 0xc409;
const CROWDED: f64 = 0.5;
const LASTS_CROWD: Range<f64> = 1.0..4.0;
/// How long bytes are delayed, in milliseconds.
const DELAY_MS: Range<u64> = 5..400;

/// One thing that is done, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins, from the first request on.
    pub at: Duration,
    /// How long it lasts, where it lasts.
    pub lasts: Duration,
    /// What it is.
    pub act: Act,
}

/// Everything that is done in one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// By their beginnings.
    pub steps: Vec<Step>,
    /// How many software versions upstreams have.
    pub versions: usize,
    /// Whether each VM stands in a failure domain of its own, so that all of them watch the store.
    pub apart: bool,
}

impl Plan {
    /// Draws a plan.
    ///
    /// # Examples
    ///
    /// ```
    /// use trouttrack_soak::{Plan, Size};
    /// let plan = Plan::draw(7, Size::default());
    /// assert_eq!(plan, Plan::draw(7, Size::default()));
    /// assert!(!plan.steps.is_empty());
    /// ```
    #[must_use]
    pub fn draw(seed: u64, size: Size) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let planned_only = rng.random_bool(PLANNED_ONLY);
        let ends = size.lasts.saturating_sub(RECOVER);
        let mut steps = Vec::new();
        let mut at = SETTLE;
        while at < ends {
            let lasts = Duration::from_secs_f64(rng.random_range(LASTS)).min(ends - at);
            let act = act(&mut rng, size);
            if !planned_only || act.is_planned() {
                steps.push(Step { at, lasts, act });
            }
            at += Duration::from_secs_f64(rng.random_range(GAP));
        }
        steps.extend(beside(seed, size, ends));
        if !planned_only {
            steps.extend(end_engines(seed, ends));
            steps.extend(restore_store(seed, ends));
        }
        let spoken = words(seed, size, ends).into_iter();
        steps.extend(spoken.filter(|s| !planned_only || s.act.is_planned()));
        steps.extend(limits(seed, size, ends));
        if let Some(hard) = hard_load(seed, size, ends) {
            steps.retain(|_| planned_only || !hard.alone);
            let hard = hard.steps.into_iter();
            steps.extend(hard.filter(|s| !planned_only || s.act.is_planned()));
        }
        if let Some(lost) = lost_paths(seed, size, ends) {
            steps.retain(|s| !lost.alone || matches!(s.act, Act::Configure | Act::Reload(_)));
            let lost = lost.steps.into_iter();
            steps.extend(lost.filter(|_| !planned_only));
        }
        if !planned_only {
            steps.extend(end_engines_by_part(seed, ends));
            steps.extend(crowd(seed, size, ends));
        }
        if let Some(departures) = departures(seed, size, ends) {
            let crowds = departures.steps.iter().any(|s| s.act == Act::CrowdEngines);
            // A crowded engine's stream lasts longer than one that leaves serves on.
            steps.retain(|s| !(departures.alone || crowds && s.act.is_announced_departure()));
            let departures = departures.steps.into_iter();
            steps.extend(departures.filter(|s| !planned_only || s.act.is_planned()));
        }
        let mut mixed = seed >= FIRST_WITH_VERSIONS;
        if let Some(releases) = releases(seed, size, ends) {
            mixed = releases.mixed;
            steps.retain(|_| !releases.alone);
            steps.extend(releases.steps);
        }
        steps.sort_by_key(|s| s.at);
        let versions = if mixed { VERSIONS } else { 1 };
        Self {
            steps,
            versions,
            apart: seed >= FIRST_WITH_DEPARTURES,
        }
    }
}

/// Evacuations and upstreams that turn cold, drawn by themselves: a seed that broke a
/// promise before there were any gives the same other steps as then.
fn beside(seed: u64, size: Size, ends: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ BESIDE);
    let mut steps = Vec::new();
    let most = ends.as_secs_f64().max(SETTLE.as_secs_f64() + GAP.end);
    for _ in 0..rng.random_range(0..=MOST_BESIDE) {
        let at = Duration::from_secs_f64(rng.random_range(SETTLE.as_secs_f64()..most));
        let lasts = Duration::from_secs_f64(rng.random_range(LASTS_BESIDE));
        let act = match rng.random_bool(0.5) {
            true => Act::Evacuate(DOMAINS[rng.random_range(0..DOMAINS.len())]),
            false => Act::TurnCold(rng.random_range(0..2 * size.upstreams)),
        };
        let lasts = lasts.min(ends.saturating_sub(at));
        steps.push(Step { at, lasts, act });
    }
    steps
}

/// The request that ends engines, drawn by itself as well.
fn end_engines(seed: u64, ends: Duration) -> Option<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ ENDS_ENGINES);
    let first = SETTLE.as_secs_f64();
    let latest = ends.as_secs_f64() - LASTS_ENDING;
    if !rng.random_bool(ENDING) || latest <= first {
        return None;
    }
    Some(Step {
        at: Duration::from_secs_f64(rng.random_range(first..latest)),
        lasts: Duration::from_secs_f64(LASTS_ENDING),
        act: Act::EndEngines,
    })
}

/// Draws when requests with a part that ends engines come. A separate generator keeps the other
/// steps of a seed unchanged.
fn end_engines_by_part(seed: u64, ends: Duration) -> Option<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ ENDS_ENGINES_BY_PART);
    let first = SETTLE.as_secs_f64();
    let latest = ends.as_secs_f64() - LASTS_ENDING;
    if seed < FIRST_WITH_PARTS || !rng.random_bool(ENDING_BY_PART) || latest <= first {
        return None;
    }
    Some(Step {
        at: Duration::from_secs_f64(rng.random_range(first..latest)),
        lasts: Duration::from_secs_f64(LASTS_ENDING),
        act: Act::EndEnginesByPart,
    })
}

/// Draws when a VM is crowded, by a separate generator as well.
fn crowd(seed: u64, size: Size, ends: Duration) -> Option<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ CROWD);
    let first = SETTLE.as_secs_f64();
    let latest = ends.as_secs_f64() - LASTS_CROWD.end;
    if seed < FIRST_WITH_PARTS || !rng.random_bool(CROWDED) || latest <= first {
        return None;
    }
    Some(Step {
        at: Duration::from_secs_f64(rng.random_range(first..latest)),
        lasts: Duration::from_secs_f64(rng.random_range(LASTS_CROWD)),
        act: Act::Crowd(rng.random_range(0..size.vms)),
    })
}

/// Draws a backup of the store and the restore from it. A separate generator keeps the times and
/// acts of a seed's other steps unchanged.
fn restore_store(seed: u64, ends: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ RESTORE_SALT);
    let first = SETTLE.as_secs_f64();
    let latest = ends.as_secs_f64() - BACKUP_AGE.end - MAX_RESTORE_DURATION;
    if !rng.random_bool(RESTORE_PROBABILITY) || latest <= first {
        return Vec::new();
    }
    let at = Duration::from_secs_f64(rng.random_range(first..latest));
    let age = Duration::from_secs_f64(rng.random_range(BACKUP_AGE));
    let step = |at, act| Step {
        at,
        lasts: Duration::ZERO,
        act,
    };
    vec![
        step(at, Act::BackUpStore),
        step(at + age, Act::RestoreStore),
    ]
}

/// Upstreams that name a limit, drawn by themselves.
fn limits(seed: u64, size: Size, ends: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ LIMITS);
    let first = SETTLE.as_secs_f64();
    let latest = (ends.as_secs_f64() - LASTS_LIMIT.end).max(first + GAP.end);
    let mut steps = Vec::new();
    for _ in 0..rng.random_range(0..=MOST_LIMITS) {
        let at = Duration::from_secs_f64(rng.random_range(first..latest));
        let lasts = Duration::from_secs_f64(rng.random_range(LASTS_LIMIT));
        let act = Act::NameLimit(rng.random_range(0..2 * size.upstreams));
        let lasts = lasts.min(ends.saturating_sub(at));
        steps.push(Step { at, lasts, act });
    }
    steps
}

/// Partitions of VMs from upstreams.
struct LostPaths {
    steps: Vec<Step>,
    /// Whether the plan holds little else, so that it can be judged who is served.
    alone: bool,
}

/// VMs that lose their paths to upstreams: some, or all.
fn lost_paths(seed: u64, size: Size, ends: Duration) -> Option<LostPaths> {
    if seed < FIRST_WITH_LOST_PATHS {
        return None;
    }
    let mut rng = SmallRng::seed_from_u64(seed ^ LOST_PATHS);
    let first = SETTLE.as_secs_f64();
    let latest = (ends.as_secs_f64() - LASTS_LOST_PATHS.start).max(first + GAP.end);
    let mut steps = Vec::new();
    let alone = rng.random_bool(LOST_PATHS_ALONE);
    for _ in 0..rng.random_range(1..=MOST_LOST_PATHS) {
        let at = Duration::from_secs_f64(rng.random_range(first..latest));
        let lasts = Duration::from_secs_f64(rng.random_range(LASTS_LOST_PATHS));
        let open = match rng.random_range(0..3) {
            0 => OpenConnections::Hang,
            1 => OpenConnections::Reset,
            _ => OpenConnections::LiveOn,
        };
        let (vm, count) = (
            rng.random_range(0..size.vms),
            rng.random_range(1..=size.vms),
        );
        steps.push(Step {
            at,
            lasts: lasts.min(ends.saturating_sub(at)),
            act: Act::LosePaths(vm, count, open),
        });
    }
    Some(LostPaths { steps, alone })
}

/// Upstreams that turn away and ask for rest, or leave by their answers, drawn by themselves.
fn words(seed: u64, size: Size, ends: Duration) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ WORDS);
    let mut steps = Vec::new();
    let most = ends.as_secs_f64().max(SETTLE.as_secs_f64() + GAP.end);
    for _ in 0..rng.random_range(0..=MOST_WORDS) {
        let at = Duration::from_secs_f64(rng.random_range(SETTLE.as_secs_f64()..most));
        let lasts = Duration::from_secs_f64(rng.random_range(LASTS_WORDS));
        let upstream = rng.random_range(0..2 * size.upstreams);
        let act = match rng.random_bool(0.5) {
            true => Act::TurnAway(upstream),
            false => Act::LeaveByAnswers(upstream),
        };
        let lasts = lasts.min(ends.saturating_sub(at));
        steps.push(Step { at, lasts, act });
    }
    steps
}

/// Any act. A VM and an upstream are drawn first, whether or not it needs them.
fn act(rng: &mut SmallRng, size: Size) -> Act {
    let vm = rng.random_range(0..size.vms);
    let upstream = rng.random_range(0..2 * size.upstreams);
    match rng.random_range(0..20) {
        0 | 1 => Act::Stop(vm),
        2 => Act::Kill(vm),
        3 => Act::Pause(vm),
        4 => Act::Reload(vm),
        5..=8 => Act::Link(place(rng, vm, upstream), link_fault(rng)),
        9 => Act::Store(store_failure(rng)),
        10 => Act::ForgetHistory,
        11 | 12 => Act::Leave(upstream),
        13 => Act::LeaveUnsaid(upstream),
        14 => Act::Crash(upstream),
        15 | 16 => Act::Misbehave(upstream),
        17 | 18 => Act::Configure,
        _ => Act::Revoke,
    }
}

fn place(rng: &mut SmallRng, vm: usize, upstream: usize) -> Place {
    match rng.random_range(0..3) {
        0 => Place::Callers(vm),
        1 => Place::Store(vm),
        _ => Place::Upstream(upstream),
    }
}

fn link_fault(rng: &mut SmallRng) -> LinkFault {
    match rng.random_range(0..6) {
        0 => LinkFault::Delay(Duration::from_millis(rng.random_range(DELAY_MS))),
        1 => LinkFault::CutToServer,
        2 => LinkFault::CutFromServer,
        3 => LinkFault::Silence,
        4 => LinkFault::Reset,
        _ => LinkFault::Refuse,
    }
}

fn store_failure(rng: &mut SmallRng) -> StoreFailure {
    match rng.random_range(0..5) {
        0 => StoreFailure::Refuse,
        1 => StoreFailure::Silent,
        2 => StoreFailure::Reset,
        3 => StoreFailure::DeafWatches,
        _ => StoreFailure::Lapse,
    }
}
