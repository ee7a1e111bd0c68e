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

/// The part of the bound that is spent: the window of whoever counts lies
/// elsewhere than ours, and counts a request when the caller sent it.
const USED_SHARE: f64 = 0.8;

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
        }
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
        let extra = self.extra / vms.max(1) as f64 * self.share_of_extra(now);
        let allowed = self.ratio * first * USED_SHARE + extra;
        if retries + 1.0 > allowed {
            return false;
        }
        self.retries.add(now);
        true
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
