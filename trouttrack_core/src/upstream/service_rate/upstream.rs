//! The service rate of an upstream's row.

use super::estimate::ServiceRate;
use super::observed::ObservedRates;
use super::sample::RateSample;
use crate::Time;
use crate::upstream::{PeerUse, Upstream};

impl Upstream {
    /// Returns the rates at which it serves beside the requests that are running there.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use trouttrack_core::upstream::{UpstreamSpec, UpstreamTable};
    /// let mut table = UpstreamTable::default();
    /// let spec = UpstreamSpec {
    ///     id: "e1".into(),
    ///     failure_domain: "a".into(),
    ///     services: vec!["lookup".into()],
    ///     capacity_tokens: 1000,
    ///     max_running: 8,
    ///     warm_up_ends_at: Duration::ZERO,
    ///     version: String::new(),
    ///     born: 0,
    ///     cold_rate: 0.0,
    /// };
    /// table.configure(vec![spec], "a");
    /// let rate = table.get_by_id("e1").unwrap().service_rate(Duration::ZERO);
    /// assert_eq!((rate.slowdown, rate.event_gap), (1.0, None));
    /// ```
    #[must_use]
    pub fn service_rate(&self, now: Time) -> ServiceRate {
        self.rates.estimate().at_load(self.running_at(now))
    }

    /// Records a sample of one of this VM's running requests. Samples during the upstream's
    /// warm-up do not count.
    pub(crate) fn observe(&mut self, now: Time, prompt_tokens: u64, sample: RateSample) {
        self.note_loading(now);
        if self.coldness(now) > 0.0 {
            return;
        }
        let others = self.estimated_running().saturating_sub(1);
        match sample {
            RateSample::Events { events, elapsed } => {
                self.rates.record_events(now, events, elapsed, others);
            }
            RateSample::FirstToken(elapsed) => {
                self.rates.record_first_token(now, elapsed, prompt_tokens);
            }
            RateSample::Call(_) => {}
        }
    }

    /// Records the duration of a plain call as a multiple of the mean of its kind.
    pub(crate) fn observe_call(&mut self, now: Time, ratio: f64) {
        if self.coldness(now) == 0.0 {
            self.rates.record_call(now, ratio);
        }
    }

    /// Records how many prompts are known to be loading now. Called before and after each change
    /// of their number.
    pub(crate) fn note_loading(&mut self, now: Time) {
        let own = self.own.iter().filter(|r| !r.loaded).count();
        let loads = |p: &&PeerUse| p.backlog.tokens(now) > 0.0;
        let peers = self.peers.iter().filter(loads).count();
        self.rates.note_loading(now, own + peers);
    }

    /// Forgets the samples of an earlier incarnation.
    pub(in crate::upstream) fn reset_rates(&mut self) {
        self.rates = ObservedRates::default();
    }
}
