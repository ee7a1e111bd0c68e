//! Observed service rates: samples of this VM's requests, and the reports of peers.
//!
//! The VMs of a failure domain report their own samples to each other. Other failure domains
//! receive the samples of all of them together, of the upstreams in the sender's failure domain,
//! from whichever VM they hear. No sample is in two reports that the same VM counts.

use super::tables::{RequestKey, World};
use crate::Time;
use crate::upstream::{RateSample, ReportSource, ReportedRate, Upstream, incarnation_hash};
use std::time::Duration;

/// Interval at which estimates are updated.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of service rates in a datagram, at about 13 bytes each.
const MAX_RATES_PER_DATAGRAM: usize = 16;

/// When the estimates of service rates were last updated.
#[derive(Debug, Default)]
pub(crate) struct RateEstimates {
    updated_at: Time,
    /// Whether there are any samples.
    has_samples: bool,
}

impl World {
    /// Records what a running request shows of its upstream's speed.
    pub fn observe(&mut self, now: Time, key: RequestKey, sample: RateSample) {
        let Some(row) = self.requests.get(key) else {
            return;
        };
        let prompt_tokens = row.submission.prompt_tokens;
        let upstream = row.upstream.and_then(|u| self.upstreams.get_mut(u));
        if let Some(u) = upstream {
            u.observe(now, prompt_tokens, sample);
            self.rate_estimates.has_samples = true;
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
        limited(now, rates.collect())
    }

    /// Returns the samples of all VMs of this failure domain, for peers in other ones. Upstreams
    /// that do not differ from the typical one are left out.
    #[must_use]
    pub fn domain_rates(&self, now: Time) -> Vec<ReportedRate> {
        let home = &self.settings.failure_domain;
        let rows = self.upstreams.iter().map(|(_, u)| u);
        let rates = rows
            .filter(|u| u.spec.failure_domain == *home && u.rates.estimate().differs())
            .filter_map(|u| u.rates.domain_report(now, hash_of(u)));
        limited(now, rates.collect())
    }

    /// Updates the estimates if they are due.
    pub(super) fn estimate_rates(&mut self, now: Time) {
        let estimates = &mut self.rate_estimates;
        let age = now.saturating_sub(estimates.updated_at);
        if !estimates.has_samples || age < ESTIMATE_INTERVAL {
            return;
        }
        estimates.updated_at = now;
        self.upstreams.estimate_rates(now);
    }
}

fn hash_of(u: &Upstream) -> u32 {
    incarnation_hash(&u.incarnation())
}

/// Limits the number of rates. Others are reported the next time.
fn limited(now: Time, mut rates: Vec<ReportedRate>) -> Vec<ReportedRate> {
    if rates.len() > MAX_RATES_PER_DATAGRAM {
        let start = now.as_millis() as usize % rates.len();
        rates.rotate_left(start);
        rates.truncate(MAX_RATES_PER_DATAGRAM);
    }
    rates
}
