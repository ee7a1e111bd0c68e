//! Samples of one incarnation of an upstream, by who has taken them.

use super::estimate::{Estimate, load_factor};
use super::log_mean::{INDEPENDENCE_TIME, LogMean};
use super::quantity::{PerQuantity, Quantity};
use super::sample::ReportedRate;
use super::typical::Typical;
use crate::Time;
use crate::upstream::ReportSource;
use std::time::Duration;

/// Age of a peer's last report at which its samples are dropped.
const MAX_REPORT_AGE: Duration = Duration::from_secs(20);
/// Age of the last sample up to which this VM's samples are reported.
const REPORT_PERIOD: Duration = Duration::from_secs(3);
/// Weight from which the mean of a VM is compared with those of others.
const MIN_COMPARED_WEIGHT: f64 = 0.3;
/// Ratio by which a slowdown has to change to be announced to operators again.
const ANNOUNCED_RATIO: f64 = 1.5;
/// Tolerance for a prompt that finishes loading as a sample starts: the first sample of a stream
/// starts when its own prompt has been loaded.
const START_TOLERANCE: Duration = Duration::from_millis(2);
/// Shortest prompt whose first token shows the prefill rate.
const MIN_PREFILL_TOKENS: u64 = 200;

/// Samples of one incarnation, and the estimate made from them.
#[derive(Clone, Debug)]
pub(crate) struct ObservedRates {
    own: PerQuantity<LogMean>,
    peers: Vec<PeerRates>,
    /// Time of the first sample or report.
    first_at: Option<Time>,
    /// Last time at which a prompt was known to be loading.
    loading_at: Option<Time>,
    /// Last time at which several prompts were known to be loading.
    several_loading_at: Option<Time>,
    estimate: Estimate,
    /// Slowdown that was last announced to operators.
    announced: f64,
}

/// Means of all samples of one upstream, and the variance of an independent sample where it is
/// known.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RowSamples {
    pub(super) means: PerQuantity<LogMean>,
    pub(super) variance: PerQuantity<Option<f64>>,
}

/// The samples of one peer or failure domain.
#[derive(Clone, Debug)]
struct PeerRates {
    source: ReportSource,
    is_local: bool,
    means: PerQuantity<LogMean>,
    at: Time,
}

impl Default for ObservedRates {
    fn default() -> Self {
        Self {
            own: PerQuantity::default(),
            peers: Vec::new(),
            first_at: None,
            loading_at: None,
            several_loading_at: None,
            estimate: Estimate::default(),
            announced: 1.0,
        }
    }
}

impl ObservedRates {
    /// Returns the current estimate.
    pub(crate) fn estimate(&self) -> &Estimate {
        &self.estimate
    }

    /// Whether there are no samples.
    pub(crate) fn is_unknown(&self) -> bool {
        self.first_at.is_none()
    }

    /// Records that this number of prompts is known to be loading now.
    pub(crate) fn note_loading(&mut self, now: Time, prompts: usize) {
        if prompts >= 1 {
            self.loading_at = Some(now);
        }
        if prompts >= 2 {
            self.several_loading_at = Some(now);
        }
    }

    /// Records events of a stream beside `others` generations, unless a prompt was loading
    /// meanwhile.
    pub(crate) fn record_events(
        &mut self,
        now: Time,
        events: u32,
        elapsed: Duration,
        others: usize,
    ) {
        let start = now.saturating_sub(elapsed) + START_TOLERANCE;
        if self.loading_at.is_some_and(|at| at > start) || events == 0 {
            return;
        }
        let gap = elapsed.as_secs_f64() / f64::from(events) / load_factor(others);
        self.record(now, Quantity::EventGap, gap);
    }

    /// Records a first token, unless other prompts were loading before it.
    pub(crate) fn record_first_token(&mut self, now: Time, elapsed: Duration, prompt_tokens: u64) {
        let start = now.saturating_sub(elapsed);
        let shared = self.several_loading_at.is_some_and(|at| at >= start);
        if shared || prompt_tokens < MIN_PREFILL_TOKENS {
            return;
        }
        let thousands = prompt_tokens as f64 / 1000.0;
        self.record(now, Quantity::Prefill, elapsed.as_secs_f64() / thousands);
    }

    /// Records the duration of a plain call as a multiple of the mean of its kind.
    pub(crate) fn record_call(&mut self, now: Time, ratio: f64) {
        self.record(now, Quantity::Call, ratio);
    }

    fn record(&mut self, now: Time, quantity: Quantity, seconds: f64) {
        let microseconds = (seconds * 1e6).max(1.0);
        self.own[quantity].sample(now, microseconds.ln());
        self.first_at.get_or_insert(now);
    }

    /// Replaces the samples of a peer or failure domain.
    pub(crate) fn set_peer(
        &mut self,
        now: Time,
        source: ReportSource,
        is_local: bool,
        reported: &ReportedRate,
    ) {
        self.peers.retain(|p| p.source != source);
        self.peers.push(PeerRates {
            source,
            is_local,
            means: reported.means(now),
            at: now,
        });
        self.first_at.get_or_insert(now);
    }

    /// Returns the samples of this VM and of the peers that `counts` selects. The weight of
    /// samples that several VMs took at the same time is limited to the time that they cover.
    fn merged(&self, now: Time, counts: impl Fn(&PeerRates) -> bool) -> PerQuantity<LogMean> {
        let observed = now.saturating_sub(self.first_at.unwrap_or(now));
        let covered = 1.0 + observed.as_secs_f64() / INDEPENDENCE_TIME.as_secs_f64();
        let mut merged = self.own;
        for quantity in Quantity::ALL {
            let mut most = covered.max(self.own[quantity].weight(now));
            for peer in self.peers.iter().filter(|p| counts(p)) {
                most = most.max(peer.means[quantity].weight(now));
                merged[quantity].merge(now, peer.means[quantity]);
            }
            merged[quantity].limit_weight(now, most);
        }
        merged
    }

    /// Returns all samples. Drops those of peers that have not reported for [`MAX_REPORT_AGE`].
    pub(crate) fn all(&mut self, now: Time) -> RowSamples {
        self.peers
            .retain(|p| now.saturating_sub(p.at) < MAX_REPORT_AGE);
        for peer in &mut self.peers {
            for quantity in Quantity::ALL {
                peer.means[quantity].age(now);
            }
        }
        let means = self.merged(now, |_| true);
        let mut variance = PerQuantity::default();
        for quantity in Quantity::ALL {
            variance[quantity] = self.variance(now, quantity, means[quantity].mean());
        }
        RowSamples { means, variance }
    }

    /// Variance of an independent sample, from how the means of several VMs differ.
    fn variance(&self, now: Time, quantity: Quantity, mean: f64) -> Option<f64> {
        let peers = self.peers.iter().map(|p| &p.means[quantity]);
        let sources = peers.chain([&self.own[quantity]]);
        let (mut sum, mut count) = (0.0, 0_u32);
        for source in sources {
            let weight = source.weight(now);
            if weight >= MIN_COMPARED_WEIGHT {
                sum += weight * (source.mean() - mean).powi(2);
                count += 1;
            }
        }
        (count > 1).then(|| sum / f64::from(count - 1))
    }

    /// Updates the estimate.
    pub(crate) fn update(&mut self, now: Time, samples: &RowSamples, typical: &Typical) {
        self.estimate = Estimate::of(now, &samples.means, typical);
    }

    /// Returns the slowdown announced before if the current one differs from it by more than
    /// [`ANNOUNCED_RATIO`], and marks the current one as announced.
    pub(crate) fn announce(&mut self) -> Option<f64> {
        let slowdown = self.estimate.slowdown();
        let ratio = slowdown / self.announced;
        let changed = !(ANNOUNCED_RATIO.recip()..=ANNOUNCED_RATIO).contains(&ratio);
        changed.then(|| std::mem::replace(&mut self.announced, slowdown))
    }

    /// Returns this VM's samples if they are recent.
    pub(crate) fn to_report(&self, now: Time, upstream: u32) -> Option<ReportedRate> {
        let is_recent = |quantity| {
            let mean: &LogMean = &self.own[quantity];
            mean.weight(now) > 0.0 && now.saturating_sub(mean.updated_at()) < REPORT_PERIOD
        };
        let recent = Quantity::ALL.into_iter().any(is_recent);
        let report = recent.then(|| ReportedRate::of(upstream, &self.own, now));
        report.filter(|r| !r.is_empty())
    }

    /// Returns the samples of all VMs of this failure domain.
    pub(crate) fn domain_report(&self, now: Time, upstream: u32) -> Option<ReportedRate> {
        let merged = self.merged(now, |p| p.is_local);
        Some(ReportedRate::of(upstream, &merged, now)).filter(|r| !r.is_empty())
    }
}
