//! How many requests an upstream is given whose rate is bounded over all VMs.
//!
//! An upstream that has just started bears a rate of requests, and falls over well above
//! it. The rate is one over all VMs, and there is nobody to ask: each VM counts what it
//! has handed over itself and what peers tell, which they do as they place. The VMs of
//! the upstream's own failure domain hear of all of it and may use the whole rate
//! together; those of another one hear each other, and keep to a part that is safe
//! whatever others do.

use crate::Time;
use std::collections::VecDeque;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The time over which requests are counted: the rate is one a second.
const WINDOW: Time = Time::from_secs(1);
/// The part of the rate that is used: what several VMs place within the milliseconds
/// that it takes to tell comes on top.
const USED: f64 = 0.95;
/// The part of an even share that VMs elsewhere use. With all failure domains but one
/// elsewhere they use half of the rate before the VMs nearby have heard of it, who then
/// leave it to them: at most one and a half times the rate in any second.
const ELSEWHERE: f64 = 0.5;

/// The part of an even share that VMs use that hear none of their peers: what they hand
/// over adds up by chance, at times to more than is meant.
const CHANCE: f64 = 0.5;

/// The parts of a bounded rate that this VM and the peers that it hears may use together.
///
/// # Examples
///
/// ```
/// use trouttrack_core::upstream::RateShare;
/// // All 16 VMs of one of four equal failure domains hear each other.
/// let share = RateShare::of(16, 16, 64);
/// assert_eq!((share.near, share.far), (1.0, 0.125));
/// // One that hears nobody takes what is safe if all others do the same.
/// let share = RateShare::of(1, 16, 64);
/// assert_eq!(share.near, 0.033203125);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Of upstreams in the own failure domain.
    pub near: f64,
    /// Of upstreams elsewhere.
    pub far: f64,
    /// The VMs that use these parts together, this one among them.
    pub vms: usize,
}

impl RateShare {
    /// Nothing: while the number of VMs is not known, any part may be too much.
    pub const NONE: Self = Self {
        near: 0.0,
        far: 0.0,
        vms: 1,
    };

    /// The shares of a VM that hears `heard` of the `near` VMs of its failure domain,
    /// itself included, in a fleet of `all`.
    #[must_use]
    pub fn of(heard: usize, near: usize, all: usize) -> Self {
        let vms = heard.max(1);
        let heard = vms as f64;
        let near = (near as f64).max(heard);
        let all = (all as f64).max(near);
        let certain = CHANCE + (1.0 - CHANCE) * heard / near;
        Self {
            near: heard / near * certain,
            far: heard / all * ELSEWHERE * certain,
            vms,
        }
    }
}

/// The requests that this VM has handed over to an upstream while its rate was bounded.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentHandovers {
    given_at: VecDeque<Time>,
}

impl RecentHandovers {
    /// A request is handed over.
    pub(crate) fn given(&mut self, now: Time) {
        self.given_at.retain(|at| now.saturating_sub(*at) < WINDOW);
        self.given_at.push_back(now);
    }

    /// Requests handed over within the last second.
    pub(crate) fn count(&self, now: Time) -> usize {
        let recent = |at: &&Time| now.saturating_sub(**at) < WINDOW;
        self.given_at.iter().filter(recent).count()
    }
}

/// What a peer told of its requests to an upstream whose rate is bounded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ToldHandovers {
    /// When.
    pub(crate) at: Time,
    /// How many it had handed over within the second before.
    pub(crate) count: usize,
}

impl ToldHandovers {
    /// Those that may lie within the last second.
    pub(crate) fn count(&self, now: Time) -> usize {
        match now.saturating_sub(self.at) < WINDOW {
            true => self.count,
            false => 0,
        }
    }
}

/// Requests a second that some VMs may hand over together.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    /// Requests a second.
    pub(crate) per_second: f64,
    /// How many VMs use it.
    pub(crate) vms: usize,
}

impl Allowance {
    /// What may be used of a rate of which `part` is left to these VMs.
    pub(crate) fn of(rate: f64, part: f64, vms: usize) -> Self {
        Self {
            per_second: rate * USED * part,
            vms,
        }
    }

    /// Whether one more request is within it; `known` were handed over in the last second,
    /// as far as was heard.
    ///
    /// What it has beyond whole requests is one request more in some of the seconds. Each VM
    /// draws for itself, with its part of the chance: `id` and `seed` make the VMs of a fleet
    /// draw differently.
    pub(crate) fn admits(self, known: usize, now: Time, id: &str, seed: u64) -> bool {
        let whole = self.per_second.floor();
        let chance = self.per_second.fract() / self.vms as f64;
        let known = known as f64;
        known < whole || (known - whole).abs() < 0.5 && draw(now, id, seed) < chance
    }
}

/// A number from 0 to 1 that stays the same for a second.
fn draw(now: Time, id: &str, seed: u64) -> f64 {
    let drawn = xxh3_64_with_seed(id.as_bytes(), seed.wrapping_add(now.as_secs()));
    drawn as f64 / u64::MAX as f64
}
