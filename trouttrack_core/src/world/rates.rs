//! Observed service rates: samples of this VM's requests, and the reports of peers.
//!
//! The VMs of a failure domain report their own samples to each other. To other failure domains
//! each of them reports the merged samples of the whole domain, for the domain's own upstreams.
//! A newer report of a domain replaces the previous one, so that no sample counts twice.

use super::tables::{RequestKey, World};
use crate::upstream::{
    CallKinds, RateSample, ReportSource, ReportedRate, ServiceRate, Upstream, incarnation_hash,
};
use crate::{Time, UpstreamId};
use std::time::Duration;

/// Interval at which estimates are updated; equal to [`LOCAL_REPORT_INTERVAL`].
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of service rates in a report to this VM's failure domain, at about 13 bytes
/// each.
const MAX_LOCAL_RATES: usize = 16;
/// Minimum interval of reports to this VM's failure domain.
const LOCAL_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// As [`MAX_LOCAL_RATES`] for reports to other failure domains. Each covers the whole domain.
const MAX_DOMAIN_RATES: usize = 48;
/// Minimum interval of reports to other failure domains, traffic to which is billed.
const DOMAIN_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of slowdown changes that are announced to operators at once.
const MAX_ANNOUNCED: usize = 4;
/// Slowdown from which an upstream counts as slow in summaries.
const SLOW: f64 = 1.25;

/// A slowdown that differs significantly from the one announced before.
#[derive(Clone, Debug, PartialEq)]
pub struct SlowdownChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Slowdown when it was last announced.
    pub previous: f64,
    /// Its rates now.
    pub rate: ServiceRate,
}

/// Number of upstreams by what is known of their speed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownRates {
    /// Upstreams with samples.
    pub known: usize,
    /// Upstreams that take at least a quarter longer than the typical one of their service.
    pub slow: usize,
}

/// When the estimates of service rates were last updated.
#[derive(Debug, Default)]
pub(crate) struct RateEstimates {
    updated_at: Time,
    /// Whether there are any samples.
    has_samples: bool,
    /// When rates were last reported in this VM's failure domain, and to others.
    reported_at: Time,
    domain_reported_at: Time,
    call_kinds: CallKinds,
}

impl World {
    /// Records a sample of the speed of a running request's upstream.
    pub fn observe(&mut self, now: Time, key: RequestKey, sample: RateSample) {
        let Some(row) = self.requests.get(key) else {
            return;
        };
        let prompt_tokens = row.submission.prompt_tokens;
        let kind = row.submission.length_key.service();
        let Some(u) = row.upstream.and_then(|u| self.upstreams.get_mut(u)) else {
            return;
        };
        let estimates = &mut self.rate_estimates;
        estimates.has_samples = true;
        match sample {
            RateSample::Call(elapsed) => {
                if let Some(ratio) = estimates.call_kinds.ratio(now, kind, elapsed) {
                    u.observe_call(now, ratio);
                }
            }
            sample => u.observe(now, prompt_tokens, sample),
        }
    }

    /// Records a peer's samples. `is_local` tells whether it is in this VM's failure domain.
    pub(super) fn record_peer_rates(
        &mut self,
        now: Time,
        peer: &str,
        is_local: bool,
        rates: &[ReportedRate],
    ) {
        for reported in rates {
            let Some(u) = self.upstreams.by_hash_mut(reported.upstream) else {
                continue;
            };
            let in_own_domain = u.spec.failure_domain == self.settings.failure_domain;
            let source = match is_local {
                true => ReportSource::Vm(peer.to_owned()),
                false if in_own_domain => continue,
                false => ReportSource::FailureDomain(u.spec.failure_domain.clone()),
            };
            u.rates.set_peer(now, source, is_local, reported);
            self.rate_estimates.has_samples = true;
        }
    }

    /// Returns this VM's samples, for peers in its failure domain.
    #[must_use]
    pub fn local_rates(&self, now: Time) -> Vec<ReportedRate> {
        let rows = self.upstreams.iter().map(|(_, u)| u);
        let rates = rows.filter_map(|u| u.rates.to_report(now, hash_of(u)));
        limited(now, rates.collect(), MAX_LOCAL_RATES)
    }

    /// As [`Self::local_rates`] if a report is due, otherwise none.
    pub fn due_local_rates(&mut self, now: Time) -> Vec<ReportedRate> {
        match is_due(
            now,
            &mut self.rate_estimates.reported_at,
            LOCAL_REPORT_INTERVAL,
        ) {
            true => self.local_rates(now),
            false => Vec::new(),
        }
    }

    /// As [`Self::domain_rates`] if a report is due, otherwise none.
    pub fn due_domain_rates(&mut self, now: Time) -> Vec<ReportedRate> {
        match is_due(
            now,
            &mut self.rate_estimates.domain_reported_at,
            DOMAIN_REPORT_INTERVAL,
        ) {
            true => self.domain_rates(now),
            false => Vec::new(),
        }
    }

    /// Returns the samples of all VMs of this failure domain, for peers in other ones. Upstreams
    /// that do not differ from the typical one are left out.
    #[must_use]
    pub fn domain_rates(&self, now: Time) -> Vec<ReportedRate> {
        let home = &self.settings.failure_domain;
        let rows = self.upstreams.iter().map(|(_, u)| u);
        let rates = rows
            .filter(|u| u.spec.failure_domain == *home && u.rates.estimate().slowdown() != 1.0)
            .filter_map(|u| u.rates.domain_report(now, hash_of(u)));
        limited(now, rates.collect(), MAX_DOMAIN_RATES)
    }

    /// Returns the upstreams whose slowdown differs significantly from the one announced before,
    /// a few at most, and marks these as announced.
    pub fn take_slowdown_changes(&mut self, now: Time) -> Vec<SlowdownChange> {
        let changed = self.upstreams.iter_mut().filter_map(|u| {
            Some(SlowdownChange {
                previous: u.rates.announce()?,
                upstream: u.spec.id.clone(),
                rate: u.service_rate(now),
            })
        });
        changed.take(MAX_ANNOUNCED).collect()
    }

    /// Counts the upstreams whose speed is known.
    #[must_use]
    pub fn known_rates(&self) -> KnownRates {
        let rows = self.upstreams.iter().map(|(_, u)| &u.rates);
        let known = rows.filter(|rates| !rates.is_unknown());
        known.fold(KnownRates::default(), |sum, rates| KnownRates {
            known: sum.known + 1,
            slow: sum.slow + usize::from(rates.estimate().slowdown() >= SLOW),
        })
    }

    /// Updates the estimates if they are due.
    pub(super) fn estimate_rates(&mut self, now: Time) {
        let estimates = &self.rate_estimates;
        let age = now.saturating_sub(estimates.updated_at);
        if !estimates.has_samples || age < ESTIMATE_INTERVAL {
            return;
        }
        self.update_rates(now);
    }

    /// Updates the estimates of all upstreams.
    pub fn update_rates(&mut self, now: Time) {
        self.rate_estimates.updated_at = now;
        self.upstreams.estimate_rates(now);
    }
}

fn hash_of(u: &Upstream) -> u32 {
    incarnation_hash(&u.incarnation())
}

/// Whether `interval` has passed since `last`, which is then set to `now`.
fn is_due(now: Time, last: &mut Time, interval: Duration) -> bool {
    let due = now.saturating_sub(*last) >= interval;
    if due {
        *last = now;
    }
    due
}

/// Limits the number of rates to `most`. Which ones are left out rotates with time.
fn limited(now: Time, mut rates: Vec<ReportedRate>, most: usize) -> Vec<ReportedRate> {
    if rates.len() > most {
        let start = now.as_millis() as usize % rates.len();
        rates.rotate_left(start);
        rates.truncate(most);
    }
    rates
}
