//! The headline ratios: trouttrack against the best baseline, and the oracle.

use super::figures::ServiceFigures;
use super::run::{Compared, PolicyName};
use super::workload::Mix;
use std::fmt;

/// Ratios of trouttrack to the best baseline of each figure; below 1 is better
/// for all but goodput.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Headline {
    /// Lookups' p99 time between tokens.
    pub gap_p99: f64,
    /// Lookups' p99 first token.
    pub ttft_p99: f64,
    /// Preemptions of all services.
    pub preemptions: f64,
    /// Stall time of all services.
    pub stall: f64,
    /// Requests within their deadline.
    pub goodput: f64,
    /// The worst of the lookups' two ratios to the oracle.
    pub oracle: f64,
}

impl fmt::Display for Headline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "gap_p99={:.3} ttft_p99={:.3} preemptions={:.3} stall={:.3} goodput={:.3} oracle={:.3}",
            self.gap_p99, self.ttft_p99, self.preemptions, self.stall, self.goodput, self.oracle
        )
    }
}

/// The worst of a figure over the lookups.
fn lookups(c: &Compared, mix: Mix, figure: impl Fn(&ServiceFigures) -> f64 + Copy) -> f64 {
    let services = mix.services.iter().enumerate().filter(|(_, s)| s.lookup);
    services
        .map(|(i, _)| c.median(i, figure))
        .fold(0.0, f64::max)
}

/// The sum of a figure over all services, each weighted by its share.
fn overall(c: &Compared, mix: Mix, figure: impl Fn(&ServiceFigures) -> f64 + Copy) -> f64 {
    let services = mix.services.iter().enumerate();
    services.map(|(i, s)| s.share * c.median(i, figure)).sum()
}

fn sum(c: &Compared, mix: Mix, figure: impl Fn(&ServiceFigures) -> f64 + Copy) -> f64 {
    (0..mix.services.len()).map(|i| c.median(i, figure)).sum()
}

/// Ratio of a to b; where both are nothing, nothing was lost.
fn ratio(a: f64, b: f64) -> f64 {
    match (a, b) {
        (a, b) if a == b => 1.0,
        (a, 0.0) => a / f64::EPSILON,
        (a, b) => a / b,
    }
}

/// The headline of a comparison; `None` without trouttrack or a baseline.
#[must_use]
pub fn headline(compared: &[Compared], mix: Mix) -> Option<Headline> {
    let own = compared
        .iter()
        .find(|c| c.policy == PolicyName::Trouttrack)?;
    let baselines: Vec<&Compared> = compared.iter().filter(|c| c.policy.baseline()).collect();
    if baselines.is_empty() {
        return None;
    }
    let least =
        |f: &dyn Fn(&Compared) -> f64| baselines.iter().map(|c| f(c)).fold(f64::MAX, f64::min);
    let most = |f: &dyn Fn(&Compared) -> f64| baselines.iter().map(|c| f(c)).fold(0.0, f64::max);
    let gap = |c: &Compared| lookups(c, mix, |s| s.gap_p99_ms);
    let first = |c: &Compared| lookups(c, mix, |s| s.first_p99_ms);
    let preemptions = |c: &Compared| overall(c, mix, |s| s.preemptions_each);
    let stall = |c: &Compared| overall(c, mix, |s| s.stall_ms_each);
    let goodput = |c: &Compared| sum(c, mix, |s| s.goodput_per_s);
    let oracle = compared.iter().find(|c| c.policy == PolicyName::Oracle);
    let to_oracle = oracle.map_or(f64::NAN, |o| {
        ratio(gap(own), gap(o)).max(ratio(first(own), first(o)))
    });
    Some(Headline {
        gap_p99: ratio(gap(own), least(&gap)),
        ttft_p99: ratio(first(own), least(&first)),
        preemptions: ratio(preemptions(own), least(&preemptions)),
        stall: ratio(stall(own), least(&stall)),
        goodput: ratio(goodput(own), most(&goodput)),
        oracle: to_oracle,
    })
}
