//! Distributed rate limiting: bounds the request rate that all VMs together send to an
//! upstream.
//!
//! An upstream that has just started sustains a limited request rate and fails well above
//! it. The limit applies to all VMs together, without a coordinator: each VM counts its own
//! hand-overs and those that peers report as they place requests. The VMs in the upstream's
//! failure domain receive all of these reports and may use the whole rate together. The VMs
//! of another failure domain receive only each other's reports, and keep to a share that is
//! safe whatever the other VMs do.

use super::runs::ReportSource;
use crate::Time;
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Rates below one request per this period are admitted at random.
const SECOND: Time = Time::from_secs(1);
/// The requests allowed in this period may arrive as one burst.
const BURST_PERIOD: Time = Time::from_millis(250);
/// How long a hand-over is counted.
const COUNT_WINDOW: Time = Time::from_secs(4);
/// Maximum number of counted hand-overs. At high rates, older ones no longer affect
/// admission.
const MAX_COUNTED: usize = 256;
/// Fraction of a rate that is used. The rest is headroom for requests that several VMs place
/// within the milliseconds that a report takes.
const RATE_UTILIZATION: f64 = 0.95;
/// Fraction of an even share that VMs of other failure domains use. Together they use at most
/// half of the rate before the VMs in the upstream's failure domain have heard of it and
/// yield, so the total is at most one and a half times the rate in any second.
const REMOTE_FRACTION: f64 = 0.5;
/// Fraction of an even share that a VM uses while it receives reports from no peer.
/// Uncoordinated VMs coincide at random, and their sum at times exceeds the intended rate.
const ISOLATED_FRACTION: f64 = 0.5;

/// The fractions of a bounded rate that this VM and the peers that it hears from may use
/// together.
///
/// # Examples
///
/// ```
/// use trouttrack_core::upstream::RateShare;
/// // All 16 VMs of one of four equal failure domains hear each other.
/// let share = RateShare::of(16, 16, 64);
/// assert_eq!((share.local, share.remote), (1.0, 0.125));
/// // One that hears nobody takes what is safe if all others do the same.
/// let share = RateShare::of(1, 16, 64);
/// assert_eq!(share.local, 0.033203125);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Fraction for upstreams in this VM's failure domain.
    pub local: f64,
    /// Fraction for upstreams in other failure domains.
    pub remote: f64,
    /// Number of VMs that use these fractions together, including this one.
    pub vms: usize,
}

impl RateShare {
    /// No share, used while the number of VMs is unknown: any fraction might be too much.
    pub const NONE: Self = Self {
        local: 0.0,
        remote: 0.0,
        vms: 1,
    };

    /// Computes the share of a VM that hears from `heard` of the `local` VMs in its failure
    /// domain (both counts include itself), in a fleet of `all` VMs.
    #[must_use]
    pub fn of(heard: usize, local: usize, all: usize) -> Self {
        let vms = heard.max(1);
        let heard = vms as f64;
        let local = (local as f64).max(heard);
        let all = (all as f64).max(local);
        let coordination = ISOLATED_FRACTION + (1.0 - ISOLATED_FRACTION) * heard / local;
        Self {
            local: heard / local * coordination,
            remote: heard / all * REMOTE_FRACTION * coordination,
            vms,
        }
    }
}

/// Hand-over counts that a VM reports for an upstream whose rate is bounded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ReportedHandovers {
    /// Total since the VM started.
    pub(crate) total: u32,
    /// Number within the last `COUNT_WINDOW`.
    pub(crate) recent: u32,
}

/// Known hand-overs to an upstream while its rate was bounded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Handovers {
    /// Total number of hand-overs by this VM.
    own_total: u32,
    /// Times of this VM's recent hand-overs.
    own_times: VecDeque<Time>,
    /// Last reported total of each peer.
    peer_totals: HashMap<ReportSource, u32>,
    /// Times at which recent hand-overs were made by this VM or reported by peers.
    times: VecDeque<Time>,
}

impl Handovers {
    /// Records a hand-over by this VM at `now`.
    pub(crate) fn record_own(&mut self, now: Time) {
        self.own_total = self.own_total.saturating_add(1);
        self.own_times
            .retain(|at| now.saturating_sub(*at) < COUNT_WINDOW);
        self.own_times.push_back(now);
        self.add(now, 1);
    }

    /// Records the counts reported by a peer. If its previous total is unknown, or higher
    /// because the peer has restarted, its recent count is used.
    pub(crate) fn record_peer(
        &mut self,
        now: Time,
        source: &ReportSource,
        reported: ReportedHandovers,
    ) {
        if reported.total == 0 {
            return;
        }
        let before = self.peer_totals.insert(source.clone(), reported.total);
        let new = before.and_then(|before| reported.total.checked_sub(before));
        self.add(now, new.unwrap_or(reported.recent));
    }

    fn add(&mut self, now: Time, count: u32) {
        self.times
            .retain(|at| now.saturating_sub(*at) < COUNT_WINDOW);
        let count = (count as usize).min(MAX_COUNTED);
        self.times.extend(std::iter::repeat_n(now, count));
        let older = self.times.len().saturating_sub(MAX_COUNTED);
        self.times.drain(..older);
    }

    /// Returns this VM's own counts, to be reported to peers.
    pub(crate) fn own_counts(&self, now: Time) -> ReportedHandovers {
        let recent = |at: &&Time| now.saturating_sub(**at) < COUNT_WINDOW;
        ReportedHandovers {
            total: self.own_total,
            recent: self.own_times.iter().filter(recent).count() as u32,
        }
    }

    fn count_within(&self, now: Time, window: Time) -> usize {
        let recent = |at: &&Time| now.saturating_sub(**at) < window;
        self.times.iter().filter(recent).count()
    }
}

/// The rate that a group of VMs may use together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// Requests per second.
    pub(crate) per_second: f64,
    /// Number of VMs that share the rate.
    pub(crate) vms: usize,
}

impl Allowance {
    /// Creates the allowance of `vms` VMs that may use the fraction `part` of `rate`.
    pub(crate) fn of(rate: f64, part: f64, vms: usize) -> Self {
        Self {
            per_second: rate * RATE_UTILIZATION * part,
            vms,
        }
    }

    /// Returns whether one more request is within the allowance.
    pub(crate) fn admits(self, known: &Handovers, now: Time, id: &str, seed: u64) -> bool {
        match self.per_second < 1.0 {
            true => self.admits_at_random(known, now, id, seed),
            false => self.conforms(known, now),
        }
    }

    /// Returns whether one more request conforms to the rate, by the generic cell rate
    /// algorithm with a burst of `BURST_PERIOD`. VMs that place requests within the
    /// milliseconds that a report takes exceed the rate for a moment; all of them then wait
    /// until the average is back within it.
    fn conforms(self, known: &Handovers, now: Time) -> bool {
        let each = Time::from_secs_f64(1.0 / self.per_second);
        let burst = (self.per_second * BURST_PERIOD.as_secs_f64())
            .floor()
            .max(1.0);
        let next_at = known
            .times
            .iter()
            .fold(Time::ZERO, |next_at, at| next_at.max(*at) + each);
        next_at <= now + each.mul_f64(burst - 1.0)
    }

    /// Admits requests at rates below one per second: one request in some of the seconds,
    /// chosen at random. Each VM draws by itself with its share of the probability, so that
    /// many VMs do not each accumulate one request. `id` and `seed` make the VMs of a fleet
    /// draw differently.
    fn admits_at_random(self, known: &Handovers, now: Time, id: &str, seed: u64) -> bool {
        let max_in_window = (self.per_second * COUNT_WINDOW.as_secs_f64())
            .floor()
            .max(1.0);
        let chance = self.per_second / self.vms as f64;
        let free = known.count_within(now, SECOND) == 0;
        free && (known.count_within(now, COUNT_WINDOW) as f64) < max_in_window
            && draw(now, id, seed) < chance
    }
}

/// Returns a pseudo-random number from 0 to 1 that is constant within each second.
fn draw(now: Time, id: &str, seed: u64) -> f64 {
    let second = xxh3_64(&now.as_secs().to_le_bytes());
    let drawn = xxh3_64_with_seed(id.as_bytes(), seed ^ second);
    drawn as f64 / u64::MAX as f64
}
