//! Both fleets' mixes, as seeded arrivals with heavy-tailed lengths.

use super::bench::bench;
use super::options::BenchOptions;
use super::run::PolicyName;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use trouttrack_core::prefix::BLOCK_TOKENS;
use trouttrack_engine::LengthDraw;

/// One service of a mix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceMix {
    /// Its name.
    pub name: &'static str,
    /// Its share of the requests.
    pub share: f64,
    /// Its class; 0 is the most urgent.
    pub priority: u8,
    /// Tokens of a prompt, from and to.
    pub prompt: (u64, u64),
    /// Tokens at the head of the prompt that all its requests share.
    pub shared: u64,
    /// How much is written.
    pub lengths: LengthDraw,
    /// A request that ends later than this after its arrival is not good.
    pub deadline: Duration,
    /// How long a request may wait to be placed.
    pub queue_deadline: Duration,
    /// Whether someone waits at a counter for it: the headline figures are
    /// those of these services.
    pub lookup: bool,
}

/// A fleet's mix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// The fleet's name.
    pub name: &'static str,
    /// Its services.
    pub services: &'static [ServiceMix],
}

const fn lengths(median: f64, spread: f64, longest: u64) -> LengthDraw {
    LengthDraw {
        median,
        spread,
        longest,
    }
}

const fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

#[rustfmt::skip]
const UMURAGE: &[ServiceMix] = &[
    ServiceMix { name: "price-lookup", share: 0.60, priority: 0, prompt: (150, 400), shared: 128, lengths: lengths(24.0, 0.5, 400), deadline: seconds(5), queue_deadline: seconds(5), lookup: true },
    ServiceMix { name: "clause-check", share: 0.25, priority: 2, prompt: (300, 900), shared: 256, lengths: lengths(120.0, 0.7, 2_000), deadline: seconds(40), queue_deadline: seconds(30), lookup: false },
    ServiceMix { name: "offer-letter", share: 0.15, priority: 3, prompt: (600, 1_600), shared: 512, lengths: lengths(900.0, 0.9, 16_000), deadline: seconds(600), queue_deadline: seconds(120), lookup: false },
];

#[rustfmt::skip]
const FERRY: &[ServiceMix] = &[
    ServiceMix { name: "customs-summary", share: 0.20, priority: 1, prompt: (1_500, 3_500), shared: 512, lengths: lengths(1_000.0, 0.9, 24_000), deadline: seconds(900), queue_deadline: seconds(300), lookup: false },
    ServiceMix { name: "berth-advisory", share: 0.22, priority: 0, prompt: (200, 500), shared: 128, lengths: lengths(60.0, 0.5, 1_000), deadline: seconds(10), queue_deadline: seconds(10), lookup: true },
    ServiceMix { name: "booking-lookup", share: 0.58, priority: 2, prompt: (120, 300), shared: 64, lengths: lengths(24.0, 0.5, 400), deadline: seconds(20), queue_deadline: seconds(20), lookup: true },
];

impl Mix {
    /// Every mix.
    pub const ALL: [Self; 2] = [
        Self {
            name: "umurage",
            services: UMURAGE,
        },
        Self {
            name: "ferry",
            services: FERRY,
        },
    ];

    /// A mix by name.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(trouttrack_load::compare::Mix::by_name("ferry").is_some());
    /// ```
    #[must_use]
    pub fn by_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|m| m.name == name)
    }
}

/// One request of a workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it arrives.
    pub at: Duration,
    /// Which service of the mix.
    pub service: usize,
    /// Which organisation.
    pub organisation: usize,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Chained hashes of its prompt's blocks.
    pub prefix: Vec<u64>,
    /// Tokens that it will write.
    pub output_tokens: u64,
}

/// A seeded workload.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// The mix.
    pub mix: Mix,
    /// The arrivals, in order.
    pub arrivals: Vec<Arrival>,
}

/// Organisations of a workload; a few are large.
const ORGANISATIONS: usize = 10;
/// Bursts: this much more often, for a part of each period.
const BURST: f64 = 2.0;
const BURST_EVERY: f64 = 30.0;
const BURST_LASTS: f64 = 5.0;

/// A change of the lengths in mid run, and a flood, for the robust figures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Shift {
    /// From this time on outputs are this many times as long.
    pub longer: Option<(Duration, f64)>,
    /// Organisation 0 sends this many times its share.
    pub flood: Option<f64>,
}

impl Workload {
    /// `rate` requests a second for `lasts`.
    #[must_use]
    pub fn new(mix: Mix, rate: f64, lasts: Duration, seed: u64, shift: Shift) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        // The bursts are part of the rate.
        let share = BURST_LASTS / BURST_EVERY;
        let calm = rate / (1.0 + (BURST - 1.0) * share);
        while at < lasts.as_secs_f64() {
            let burst = at % BURST_EVERY < BURST_LASTS;
            let now = if burst { calm * BURST } else { calm };
            at += -(1.0 - rng.random::<f64>()).ln() / now;
            arrivals.push(arrival(&mix, at, shift, &mut rng));
        }
        Self { mix, arrivals }
    }

    /// `count` requests that all arrive at the start.
    fn all_at_once(mix: Mix, count: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let one = |_| arrival(&mix, 0.0, Shift::default(), &mut rng);
        let arrivals = (0..count).map(one).collect();
        Self { mix, arrivals }
    }
}

fn arrival(mix: &Mix, at: f64, shift: Shift, rng: &mut SmallRng) -> Arrival {
    let at = Duration::from_secs_f64(at);
    let mut draw = rng.random::<f64>();
    let mut service = mix.services.len() - 1;
    for (i, s) in mix.services.iter().enumerate() {
        if draw < s.share {
            service = i;
            break;
        }
        draw -= s.share;
    }
    let s = &mix.services[service];
    let longer = match shift.longer {
        Some((from, times)) if at >= from => times,
        _ => 1.0,
    };
    let lengths = LengthDraw {
        median: s.lengths.median * longer,
        ..s.lengths
    };
    let prompt_tokens = rng.random_range(s.prompt.0..=s.prompt.1);
    let own: u64 = rng.random();
    let shared_blocks = s.shared / BLOCK_TOKENS;
    let prefix = (0..prompt_tokens / BLOCK_TOKENS)
        .map(|block| match block < shared_blocks {
            true => (service as u64 + 1) << 32 | block,
            false => own.wrapping_add(block) | 1 << 63,
        })
        .collect();
    Arrival {
        at,
        service,
        organisation: organisation(shift.flood, rng),
        prompt_tokens,
        prefix,
        output_tokens: lengths.draw(rng.random()),
    }
}

/// Organisations by falling shares: the first has about a third.
fn organisation(flood: Option<f64>, rng: &mut SmallRng) -> usize {
    let weight = |i: usize| {
        let times = if i == 0 { flood.unwrap_or(1.0) } else { 1.0 };
        times / (i as f64 + 1.0)
    };
    let total: f64 = (0..ORGANISATIONS).map(weight).sum();
    let mut left = rng.random::<f64>() * total;
    for i in 0..ORGANISATIONS {
        left -= weight(i);
        if left <= 0.0 {
            return i;
        }
    }
    ORGANISATIONS - 1
}

/// Requests a second that the engines complete when there are always enough:
/// what "1.0 of capacity" means, for every policy alike. It is the better of
/// two: placed by one gateway that knows every length and keeps no reserve, or
/// all handed over at once to the engines' own queues.
#[must_use]
pub fn capacity(mix: Mix, options: &BenchOptions) -> f64 {
    const COUNT: usize = 4000;
    const SEED: u64 = 99;
    let workload = Workload::all_at_once(mix, COUNT, SEED);
    let mut options = BenchOptions {
        endless: true,
        engines: options.engines.clone(),
        gateways: 1,
        ..BenchOptions::default()
    };
    options.settings.urgent_reserve = 0.0;
    [PolicyName::Oracle, PolicyName::LeastOutstanding]
        .into_iter()
        .map(|policy| completed_per_second(&bench(&workload, policy, &options).ends))
        .fold(0.0, f64::max)
}

/// The rate in the middle of a run: its start is cold and its end a long tail.
fn completed_per_second(ends: &[Duration]) -> f64 {
    let (a, b) = (ends.len() / 5, ends.len() * 7 / 10);
    match (ends.get(a), ends.get(b)) {
        (Some(from), Some(to)) => (b - a) as f64 / (*to - *from).as_secs_f64(),
        _ => 0.0,
    }
}
