//! Fleet-wide retry budget that needs no communication between VMs.
//!
//! In a sliding window the fleet may make `ratio` retries per request plus `extra` retries.
//! Each VM applies the ratio to its own requests and takes an equal part of the extra, so
//! the total stays within the bound regardless of the other VMs and of network partitions.
//! After a restart a VM knows neither what it has spent before nor how often it was
//! restarted within the window. In its first window it therefore uses none of the extra,
//! unless it is known to run for the first time. The ratio needs no history, because the
//! requests that allow its retries are this incarnation's own.

use crate::Time;
use std::collections::VecDeque;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Share of the bound that is used. The margin is needed because an observer's window is
/// not aligned with this VM's, and counts a request at the time the caller sent it.
const USED_SHARE: f64 = 0.8;

/// Share of the first window's allowance that is used where a VM's part of the extra is
/// less than one retry. The margin covers the deviation of the sum over all VMs from its
/// mean, which is about the square root of their number: 32 for 1,000 VMs.
const FIRST_WINDOW_DRAW_SHARE: f64 = 0.5;

/// Event times in a sliding window.
#[derive(Clone, Debug, Default)]
struct Window {
    times: VecDeque<Time>,
}

impl Window {
    fn add(&mut self, now: Time) {
        self.times.push_back(now);
    }

    fn count(&mut self, now: Time, length: Duration) -> usize {
        while self.times.front().is_some_and(|&t| t + length < now) {
            self.times.pop_front();
        }
        self.times.len()
    }
}

/// One VM's part of the fleet's retry budget for one service.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::request::SharedBudget;
/// let mut budget = SharedBudget::new(0.2, 20.0, Duration::from_secs(10));
/// let now = Duration::from_secs(10);
/// // Eight VMs share 20 extra retries, of which 80 % are used.
/// assert!(budget.try_retry(now, 8));
/// assert!(budget.try_retry(now, 8));
/// assert!(!budget.try_retry(now, 8));
/// // Previous incarnations of a VM that has just started may have spent its part. Its own
/// // requests allow retries all the same.
/// let mut budget = SharedBudget::new(0.2, 20.0, Duration::from_secs(10));
/// let now = Duration::from_secs(1);
/// assert!(!budget.try_retry(now, 1));
/// (0..10).for_each(|_| budget.first_attempt(now));
/// assert!(budget.try_retry(now, 1));
/// // A VM that runs for the first time has no previous incarnation.
/// budget.set_unspent();
/// assert!((0..16).all(|_| budget.try_retry(now, 1)));
/// ```
#[derive(Clone, Debug)]
pub struct SharedBudget {
    ratio: f64,
    extra: f64,
    window: Duration,
    first_attempts: Window,
    retries: Window,
    draw: RandomDraw,
    /// Whether no previous incarnation of this VM can have spent anything.
    is_unspent: bool,
}

/// Randomized rounding for VMs whose part of the budget is less than one retry: a VM may
/// make a retry with the probability that keeps the expected total. Without it none of
/// 985 VMs that share 1,040 retries could make any.
#[derive(Clone, Copy, Debug, Default)]
struct RandomDraw {
    seed: u64,
    count: u64,
    /// Time of the last draw.
    drawn_at: Option<Time>,
    value: f64,
}

impl RandomDraw {
    /// A random number between 0 and 1 that is kept for a window.
    fn get(&mut self, now: Time, window: Duration) -> f64 {
        if self.drawn_at.is_none_or(|at| now > at + window) {
            self.count += 1;
            self.drawn_at = Some(now);
            let value = xxh3_64_with_seed(&self.count.to_le_bytes(), self.seed);
            self.value = value as f64 / u64::MAX as f64;
        }
        self.value
    }
}

impl SharedBudget {
    /// Creates the budget of a VM that may have run before.
    #[must_use]
    pub fn new(ratio: f64, extra: f64, window: Duration) -> Self {
        Self {
            ratio,
            extra,
            window,
            first_attempts: Window::default(),
            retries: Window::default(),
            draw: RandomDraw::default(),
            is_unspent: false,
        }
    }

    /// Records that this VM runs for the first time: no previous incarnation has spent anything.
    pub fn set_unspent(&mut self) {
        self.is_unspent = true;
    }

    /// Sets the seed of the randomized rounding, which must differ between VMs. It decides
    /// which VMs may make a retry if there are fewer retries than VMs.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::request::SharedBudget;
    /// // 1,000 VMs share 500 extra retries, of which 80 % are used.
    /// let now = Duration::from_secs(10);
    /// let budget = |seed| SharedBudget::new(0.2, 500.0, now).seeded(seed);
    /// let made = (0..1000).filter(|vm| budget(*vm).try_retry(now, 1000)).count();
    /// assert!((350..450).contains(&made));
    /// ```
    #[must_use]
    pub fn seeded(mut self, seed: u64) -> Self {
        self.draw.seed = seed;
        self
    }

    /// Records the first attempt of a request.
    pub fn first_attempt(&mut self, now: Time) {
        self.first_attempts.count(now, self.window);
        self.first_attempts.add(now);
    }

    /// Takes one retry if the budget, shared by `vms` VMs, has one left. `now` is the time
    /// since the start of this VM.
    pub fn try_retry(&mut self, now: Time, vms: usize) -> bool {
        let vm_share = self.extra / vms.max(1) as f64;
        let mut allowed = self.allowed_by_ratio(now) + vm_share * self.extra_share(now);
        if vm_share * USED_SHARE < 1.0 {
            allowed = self.round_randomly(now, allowed);
        }
        self.try_within(now, allowed)
    }

    /// As [`Self::try_retry`] while the number of VMs is unknown: only this VM's own requests
    /// allow retries, because any assumed number would be too small for some fleet.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::request::SharedBudget;
    /// let now = Duration::from_secs(10);
    /// let mut budget = SharedBudget::new(0.2, 20.0, now);
    /// assert!(!budget.try_retry_of_own(now));
    /// (0..10).for_each(|_| budget.first_attempt(now));
    /// assert!(budget.try_retry_of_own(now));
    /// assert!(!budget.try_retry_of_own(now));
    /// ```
    pub fn try_retry_of_own(&mut self, now: Time) -> bool {
        let allowed = self.allowed_by_ratio(now);
        self.try_within(now, allowed)
    }

    fn allowed_by_ratio(&mut self, now: Time) -> f64 {
        let first = self.first_attempts.count(now, self.window) as f64;
        self.ratio * first * USED_SHARE
    }

    /// Takes one retry if fewer than `allowed` were made in the window.
    fn try_within(&mut self, now: Time, allowed: f64) -> bool {
        let retries = self.retries.count(now, self.window) as f64;
        let is_allowed = retries + 1.0 <= allowed;
        if is_allowed {
            self.retries.add(now);
        }
        is_allowed
    }

    /// Rounds to a whole number of retries whose mean over all VMs is `allowed`; in the first
    /// window the mean is reduced by [`FIRST_WINDOW_DRAW_SHARE`].
    fn round_randomly(&mut self, now: Time, allowed: f64) -> f64 {
        let allowed = match now < self.window {
            true => allowed * FIRST_WINDOW_DRAW_SHARE,
            false => allowed,
        };
        let more = self.draw.get(now, self.window) < allowed.fract();
        allowed.floor() + f64::from(u8::from(more))
    }

    /// Share of the extra that may be used.
    fn extra_share(&self, now: Time) -> f64 {
        match now < self.window && !self.is_unspent {
            true => 0.0,
            false => USED_SHARE,
        }
    }
}
