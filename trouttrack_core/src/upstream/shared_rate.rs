//! How many requests an upstream is given whose rate is bounded over all VMs.
//!
//! An upstream that has just started bears a rate of requests, and falls over well above
//! it. The rate is one over all VMs, and there is nobody to ask: each VM counts what it
//! has handed over itself and what peers tell, which they do as they place. The VMs of
//! the upstream's own failure domain hear of all of it and may use the whole rate
//! together; those of another one hear each other, and keep to a part that is safe
//! whatever others do.

use super::runs::Teller;
use crate::Time;
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A rate of less than one request in this time is drawn for.
const SECOND: Time = Time::from_secs(1);
/// The requests of this time may come together.
const BURST: Time = Time::from_millis(250);
/// For how long hand-overs are counted.
const STEADY: Time = Time::from_secs(4);
/// The most hand-overs that are counted: those of a high rate are repaid in less time.
const MOST_COUNTED: usize = 256;
/// The part of a rate that is used: what several VMs place within the milliseconds that it
/// takes to tell comes on top.
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

/// What a VM tells of its hand-overs to an upstream whose rate is bounded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ToldHandovers {
    /// All since it started.
    pub(crate) all: u32,
    /// Those of the last seconds.
    pub(crate) recent: u32,
}

/// What was handed over to an upstream while its rate was bounded, as far as is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct Handovers {
    /// How many this VM has handed over in all.
    own: u32,
    /// When it handed the last ones over.
    own_at: VecDeque<Time>,
    /// How many each peer has told of in all.
    told: HashMap<Teller, u32>,
    /// When the last ones were handed over or told of.
    at: VecDeque<Time>,
}

impl Handovers {
    /// This VM hands over a request.
    pub(crate) fn given(&mut self, now: Time) {
        self.own = self.own.saturating_add(1);
        self.own_at.retain(|at| now.saturating_sub(*at) < STEADY);
        self.own_at.push_back(now);
        self.add(now, 1);
    }

    /// A peer tells how many it has handed over, in all and lately. What it told before may
    /// be unknown, or of a former start of it.
    pub(crate) fn told(&mut self, now: Time, teller: &Teller, told: ToldHandovers) {
        if told.all == 0 {
            return;
        }
        let before = self.told.insert(teller.clone(), told.all);
        let new = before.and_then(|before| told.all.checked_sub(before));
        self.add(now, new.unwrap_or(told.recent));
    }

    fn add(&mut self, now: Time, count: u32) {
        self.at.retain(|at| now.saturating_sub(*at) < STEADY);
        let count = (count as usize).min(MOST_COUNTED);
        self.at.extend(std::iter::repeat_n(now, count));
        let older = self.at.len().saturating_sub(MOST_COUNTED);
        self.at.drain(..older);
    }

    /// What this VM has handed over, to be told.
    pub(crate) fn own(&self, now: Time) -> ToldHandovers {
        let recent = |at: &&Time| now.saturating_sub(**at) < STEADY;
        ToldHandovers {
            all: self.own,
            recent: self.own_at.iter().filter(recent).count() as u32,
        }
    }

    fn within(&self, now: Time, window: Time) -> usize {
        let recent = |at: &&Time| now.saturating_sub(**at) < window;
        self.at.iter().filter(recent).count()
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

    /// Whether one more request is within it.
    pub(crate) fn admits(self, known: &Handovers, now: Time, id: &str, seed: u64) -> bool {
        match self.per_second < 1.0 {
            true => self.admits_rarely(known, now, id, seed),
            false => self.is_repaid(known, now),
        }
    }

    /// Whether what was handed over has been repaid by the time that passed, but for what
    /// may come together. VMs that hand over within the milliseconds that it takes to tell
    /// exceed it for a moment, and all of them wait for that to be repaid.
    fn is_repaid(self, known: &Handovers, now: Time) -> bool {
        let each = Time::from_secs_f64(1.0 / self.per_second);
        let together = (self.per_second * BURST.as_secs_f64()).floor().max(1.0);
        let repaid_at = known
            .at
            .iter()
            .fold(Time::ZERO, |repaid_at, at| repaid_at.max(*at) + each);
        repaid_at <= now + each.mul_f64(together - 1.0)
    }

    /// Less than one request a second is one request in some of the seconds. Each VM draws
    /// for itself, with its part of the chance, so that many of them do not save up a
    /// request each: `id` and `seed` make the VMs of a fleet draw differently.
    fn admits_rarely(self, known: &Handovers, now: Time, id: &str, seed: u64) -> bool {
        let steady = (self.per_second * STEADY.as_secs_f64()).floor().max(1.0);
        let chance = self.per_second / self.vms as f64;
        let free = known.within(now, SECOND) == 0;
        free && (known.within(now, STEADY) as f64) < steady && draw(now, id, seed) < chance
    }
}

/// A number from 0 to 1 that stays the same for a second.
fn draw(now: Time, id: &str, seed: u64) -> f64 {
    let second = xxh3_64(&now.as_secs().to_le_bytes());
    let drawn = xxh3_64_with_seed(id.as_bytes(), seed ^ second);
    drawn as f64 / u64::MAX as f64
}
