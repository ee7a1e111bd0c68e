//! The loads, and the fleet that they meet.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::StandardNormal;
use std::time::Duration;
use trouttrack_core::prefix::BLOCK_TOKENS;
use trouttrack_engine::EngineSettings;

/// Prompt tokens of a long request: a letter's.
const LONG_PROMPT: u64 = 3_000;
/// Tokens that a long request writes in the mean.
const LONG_OUTPUT: u64 = 470;
/// Prompt tokens of a short request: a clause's.
const SHORT_PROMPT: u64 = 2_500;
/// Tokens that a short request writes.
const SHORT_OUTPUT: u64 = 8;
/// The share of long requests.
const LONG_SHARE: f64 = 0.59;
/// Part of a caller's objective after which a first token is late: the objective.
const OBJECTIVE: Duration = Duration::from_millis(1_800);
/// The same for a short request where short ones are urgent.
const URGENT_OBJECTIVE: Duration = Duration::from_millis(1_500);
/// The share of long requests where two in three are short and urgent.
const FEW_LONG_SHARE: f64 = 0.34;
/// Sizes with a heavy tail, as one customer's sheet gives them: the mean, the spread
/// (standard deviation of the logarithm) and the most.
const TAIL_LONG_PROMPT: Sizes = Sizes::new(3_000.0, 0.35, 6_000.0);
const TAIL_LONG_OUTPUT: Sizes = Sizes::new(748.0, 1.344, 1_768.0);
const TAIL_SHORT_PROMPT: Sizes = Sizes::new(2_200.0, 0.6, 6_000.0);
const TAIL_SHORT_OUTPUT: Sizes = Sizes::new(8.0, 1.424, 32.0);

/// A distribution of sizes in tokens: logarithmically normal, cut at the most.
#[derive(Clone, Copy)]
struct Sizes {
    mean: f64,
    spread: f64,
    most: f64,
}

impl Sizes {
    const fn new(mean: f64, spread: f64, most: f64) -> Self {
        Self { mean, spread, most }
    }

    fn draw(self, rng: &mut SmallRng) -> u64 {
        // The mean of such a distribution is its median times this.
        let over_median = (self.spread * self.spread / 2.0).exp();
        let normal: f64 = rng.sample(StandardNormal);
        let drawn = self.mean / over_median * (self.spread * normal).exp();
        drawn.clamp(1.0, self.most) as u64
    }
}

/// A load, named by what makes it heavy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Many VMs choose among the same engines within the time that it takes to tell of
    /// a choice. Each sees one request in 50 of those that its choice depends on.
    ManyVms,
    /// The first failure domain gets half as many requests again as the others, with as
    /// many engines.
    CrowdedDomain,
    /// For two seconds twice as many requests come, all of them long.
    BurstOfLongPrompts,
    /// Every few seconds a seventh of the engines stops taking new work, and as many new
    /// ones come.
    EnginesLeave,
    /// Two in three requests are short and urgent; the long ones have lengths with a
    /// heavy tail, and what they hold nearly fills the engines.
    HeavyTail,
    /// The same with sizes as in [`ManyVms`](Self::ManyVms), and for some seconds the
    /// first failure domain is evacuated; its engines come back cold.
    DomainEvacuated,
    /// The same, and all engines are cold for the first seconds.
    AllCold,
}

/// How long an evacuation lasts in [`Pattern::DomainEvacuated`], from when on.
const EVACUATED: std::ops::Range<Duration> = Duration::from_secs(5)..Duration::from_secs(11);
/// How long engines are cold after it, and at the start in [`Pattern::AllCold`].
const COLD_FOR: Duration = Duration::from_secs(4);
/// Requests a second that a cold engine bears, as one customer's sheet gives it.
const COLD_RATE: f64 = 20.0;

/// The fleet: the same number of VMs and engines in each failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Layout {
    /// Failure domains.
    pub domains: usize,
    /// VMs in each.
    pub vms: usize,
    /// Engines in each.
    pub engines: usize,
    /// Requests a second for each engine, all VMs together.
    pub per_engine: f64,
    /// The way between two VMs of a failure domain.
    pub near: Duration,
    /// The way between VMs of two failure domains.
    pub far: Duration,
    /// Tokens of memory of an engine.
    pub memory_tokens: u64,
    /// The most prompt tokens that an engine loads in one step.
    pub prefill_chunk: u64,
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// Virtual time of arrivals.
    pub lasts: Duration,
}

impl Layout {
    /// The size from which on no VM sees enough by itself: some 50 VMs before 21
    /// engines in each failure domain. A quarter of an engine's time goes into loading
    /// prompts at 1.3 requests a second.
    #[must_use]
    pub fn large() -> Self {
        Self {
            domains: 3,
            vms: 49,
            engines: 21,
            per_engine: 1.3,
            near: Duration::from_micros(200),
            far: Duration::from_micros(1_400),
            memory_tokens: 33_600,
            prefill_chunk: 256,
            loss: 0.01,
            lasts: Duration::from_secs(12),
        }
    }

    /// A fleet whose engines hold six long requests: 16 VMs before 14 engines in each
    /// of four failure domains. That is what is left of 18 engines where a sixth leaves
    /// every 3.3 s and comes back 4 s later.
    #[must_use]
    pub fn tight() -> Self {
        Self {
            domains: 4,
            vms: 16,
            engines: 14,
            per_engine: 2.3,
            near: Duration::from_micros(200),
            far: Duration::from_micros(700),
            memory_tokens: 21_864,
            prefill_chunk: 112,
            loss: 0.01,
            lasts: Duration::from_secs(20),
        }
    }

    /// All VMs.
    #[must_use]
    pub fn all_vms(&self) -> usize {
        self.domains * self.vms
    }

    /// All engines.
    #[must_use]
    pub fn all_engines(&self) -> usize {
        self.domains * self.engines
    }
}

/// One engine of the fleet: 24 requests at once, 7 ms a step and 14 prompt tokens a
/// millisecond.
pub(super) fn engine_settings(layout: &Layout) -> EngineSettings {
    EngineSettings {
        blocks: layout.memory_tokens / BLOCK_TOKENS,
        max_batch: 24,
        step_base: Duration::from_millis(7),
        step_per_sequence: Duration::from_micros(150),
        per_prefill_token: Duration::from_nanos(71_400),
        prefill_chunk: layout.prefill_chunk,
    }
}

/// One request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Arrival {
    pub(super) at: Duration,
    /// The VM that takes it; VMs are numbered failure domain by failure domain.
    pub(super) vm: usize,
    pub(super) prompt: u64,
    pub(super) output: u64,
    /// Its class; 0 is the most urgent.
    pub(super) priority: u8,
    pub(super) objective: Duration,
}

impl Pattern {
    /// The requests, in order of their arrival.
    pub(super) fn arrivals(self, layout: &Layout, seed: u64) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        for domain in 0..layout.domains {
            let mut at = Duration::ZERO;
            loop {
                let rate = self.rate(layout, domain, at);
                let pause = -rng.random_range(f64::EPSILON..1.0).ln() / rate;
                at += Duration::from_secs_f64(pause);
                if at >= layout.lasts {
                    break;
                }
                let vm = domain * layout.vms + rng.random_range(0..layout.vms);
                arrivals.push(self.arrival(at, vm, &mut rng));
            }
        }
        arrivals.sort_by_key(|a| (a.at, a.vm));
        arrivals
    }

    fn arrival(self, at: Duration, vm: usize, rng: &mut SmallRng) -> Arrival {
        if self == Self::HeavyTail {
            return heavy_tailed(at, vm, rng);
        }
        let burst = self == Self::BurstOfLongPrompts && in_burst(at);
        let long = burst || rng.random_bool(LONG_SHARE);
        let (prompt, output) = match long {
            true => (LONG_PROMPT, LONG_OUTPUT),
            false => (SHORT_PROMPT, SHORT_OUTPUT),
        };
        // From half to one and a half times as much.
        let spread = rng.random_range(0.5..1.5);
        Arrival {
            at,
            vm,
            prompt: (prompt as f64 * spread) as u64,
            output: (output as f64 * spread).max(1.0) as u64,
            priority: 1,
            objective: OBJECTIVE,
        }
    }

    /// Requests a second of a failure domain.
    fn rate(self, layout: &Layout, domain: usize, at: Duration) -> f64 {
        let usual = layout.per_engine * layout.engines as f64;
        match self {
            Self::CrowdedDomain if domain == 0 => usual * 1.5,
            Self::BurstOfLongPrompts if in_burst(at) => usual * 2.0,
            _ => usual,
        }
    }

    /// When the first failure domain is evacuated, if it is.
    pub(super) fn evacuated(self) -> Option<std::ops::Range<Duration>> {
        (self == Self::DomainEvacuated).then_some(EVACUATED)
    }

    /// Until when the engines of a failure domain are cold, and what they bear then.
    pub(super) fn cold(self, domain: usize) -> (Duration, f64) {
        match self {
            Self::DomainEvacuated if domain == 0 => (EVACUATED.end + COLD_FOR, COLD_RATE),
            Self::AllCold => (COLD_FOR, COLD_RATE),
            _ => (Duration::ZERO, 0.0),
        }
    }

    /// The engines that stop taking new work at a time, if some do: a seventh, one
    /// after the other.
    pub(super) fn leaving(self, layout: &Layout, turn: usize) -> Option<(Duration, Vec<usize>)> {
        if self != Self::EnginesLeave {
            return None;
        }
        const EVERY: Duration = Duration::from_millis(3_300);
        const SHARE: usize = 7;
        let at = Duration::from_secs(1) + EVERY * u32::try_from(turn).unwrap_or(u32::MAX);
        let engines = (0..layout.all_engines()).filter(|e| e % SHARE == turn % SHARE);
        (at < layout.lasts).then(|| (at, engines.collect()))
    }
}

/// Whether a burst lasts: two seconds, once the fleet has its usual load.
fn in_burst(at: Duration) -> bool {
    (Duration::from_secs(5)..Duration::from_secs(7)).contains(&at)
}

/// One request of [`Pattern::HeavyTail`].
fn heavy_tailed(at: Duration, vm: usize, rng: &mut SmallRng) -> Arrival {
    let long = rng.random_bool(FEW_LONG_SHARE);
    let (prompt, output) = match long {
        true => (TAIL_LONG_PROMPT, TAIL_LONG_OUTPUT),
        false => (TAIL_SHORT_PROMPT, TAIL_SHORT_OUTPUT),
    };
    Arrival {
        at,
        vm,
        prompt: prompt.draw(rng),
        output: output.draw(rng),
        priority: u8::from(long),
        objective: match long {
            true => OBJECTIVE,
            false => URGENT_OBJECTIVE,
        },
    }
}
