//! A retry budget that holds for a whole fleet without talk between its VMs.
//!
//! The fleet may make `ratio` retries for each request in a sliding window and
//! `extra` besides. Each VM spends the ratio on its own requests and an equal
//! part of the extra, so the sum stays within the bound whatever the others do
//! and whether or not they can see each other. What a VM has spent before it started
//! again it does not know, so in its first window it spends of the extra only what the lives
//! before left.

use crate::Time;
use std::collections::VecDeque;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The part of the bound that is spent: the window of whoever counts lies
/// elsewhere than ours, and counts a request when the caller sent it.
const USED_SHARE: f64 = 0.8;

/// The part of the above first window's share that is drawn, where a VM's part of the extra
/// is less than one retry: what is drawn adds up to its mean give or take the root of the
/// VMs, 32 of 1,000.
const DRAWN_AT_FIRST: f64 = 0.5;

/// Times of events in a sliding window.
#[derive(Clone, Debug, Default)]
struct Window {
    at: VecDeque<Time>,
}

impl Window {
    fn add(&mut self, now: Time) {
        self.at.push_back(now);
    }

    fn count(&mut self, now: Time, length: Duration) -> usize {
        while self.at.front().is_some_and(|&t| t + length < now) {
            self.at.pop_front();
        }
        self.at.len()
    }
}

/// One VM's part of a fleet's retry budget for one service.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::request::SharedBudget;
/// let mut budget = SharedBudget::new(0.2, 20.0, Duration::from_secs(10));
/// let now = Duration::from_secs(10);
/// // Eight VMs share 20 extra retries, of which 80 in 100 are used.
/// assert!(budget.try_retry(now, 8));
/// assert!(budget.try_retry(now, 8));
/// assert!(!budget.try_retry(now, 8));
/// // A VM that has just started may have spent its part in the life before.
/// let mut budget = SharedBudget::new(0.2, 20.0, Duration::from_secs(10));
/// assert!(!budget.try_retry(Duration::from_secs(1), 8));
/// ```
#[derive(Clone, Debug)]
pub struct SharedBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    first: Window,
    retries: Window,
    draws: Draws,
}

/// What a VM draws whose part of the budget is less than one retry: so many VMs may make
/// one that the parts add up. Without it none of 985 VMs that share 1,040 could make any.
#[derive(Clone, Copy, Debug, Default)]
struct Draws {
    seed: u64,
    count: u64,
    /// When the last one was made.
    at: Option<Time>,
    drawn: f64,
}

impl Draws {
    /// A number from 0 to 1 that stays the same for a window.
    fn get(&mut self, now: Time, window: Duration) -> f64 {
        if self.at.is_none_or(|at| now > at + window) {
            self.count += 1;
            self.at = Some(now);
            let drawn = xxh3_64_with_seed(&self.count.to_le_bytes(), self.seed);
            self.drawn = drawn as f64 / u64::MAX as f64;
        }
        self.drawn
    }
}

impl SharedBudget {
    /// A budget with nothing spent.
    #[must_use]
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self {
            ratio,
            extra,
            window,
            first: Window::default(),
            retries: Window::default(),
            draws: Draws::default(),
        }
    }

    /// The same with a seed, which differs from VM to VM: where many VMs share little, it
    /// draws which of them may make a retry.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::request::SharedBudget;
    /// // A thousand VMs share 500 extra retries, of which 80 in 100 are used.
    /// let now = Duration::from_secs(10);
    /// let budget = |seed| SharedBudget::new(0.2, 500.0, now).seeded(seed);
    /// let made = (0..1000).filter(|vm| budget(*vm).try_retry(now, 1000)).count();
    /// assert!((350..450).contains(&made));
    /// ```
    #[must_use]
    pub fn seeded(mut self, seed: u64) -> Self {
        self.draws.seed = seed;
        self
    }

    /// A request was sent for the first time.
    pub fn first_attempt(&mut self, now: Time) {
        self.first.count(now, self.window);
        self.first.add(now);
    }

    /// Takes one retry if the budget, shared by `vms` VMs, has one left. `now` is the time
    /// since this VM started.
    pub fn try_retry(&mut self, now: Time, vms: usize) -> bool {
        let first = self.first.count(now, self.window) as f64;
        let retries = self.retries.count(now, self.window) as f64;
        let part = self.extra / vms.max(1) as f64;
        let mut allowed = self.ratio * first * USED_SHARE + part * self.share_of_extra(now);
        if part * USED_SHARE < 1.0 {
            allowed = self.whole(now, allowed);
        }
        if retries + 1.0 > allowed {
            return false;
        }
        self.retries.add(now);
        true
    }

    /// A whole number of retries that is `allowed` in the mean over all VMs.
    fn whole(&mut self, now: Time, allowed: f64) -> f64 {
        let allowed = match now < self.window {
            true => allowed * DRAWN_AT_FIRST,
            false => allowed,
        };
        let more = self.draws.get(now, self.window) < allowed.fract();
        allowed.floor() + f64::from(u8::from(more))
    }

    /// In its first window a VM takes all to be spent that the life before could spend.
    /// Without this, seven VMs that were killed in a storm of retries made 84 in a window
    /// that bounds them to 54.
    fn share_of_extra(&self, now: Time) -> f64 {
        match now < self.window {
            true => 1.0 - USED_SHARE,
            false => USED_SHARE,
        }
    }
}
