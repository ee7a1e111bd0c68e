//! Use of an upstream by this VM's requests and by those of peers, and the memory that
//! they are forecast to need.

use super::backlog::Backlog;
use crate::routing::long_share;
use crate::world::RequestKey;
use crate::{FailureDomain, Time};

/// Progress of one running request of this process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnRun {
    /// The request.
    pub key: RequestKey,
    /// Tokens that it currently holds.
    pub tokens: f64,
    /// Tokens that it is forecast to generate from now on.
    pub remaining: f64,
    /// Whether it has generated its first token; until then its prompt awaits prefill.
    pub loaded: bool,
}

/// Source of a usage report.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ReportSource {
    /// A VM, reporting its own use.
    Vm(String),
    /// A VM of another failure domain, reporting the total use by all VMs there.
    FailureDomain(FailureDomain),
}

/// The last reported use of an upstream by one peer or failure domain.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeerUse {
    /// Source of the report.
    pub(crate) source: ReportSource,
    /// Whether the source is a VM in this VM's failure domain.
    pub(crate) is_local: bool,
    /// Requests that were handed over and have not ended.
    pub(crate) running: usize,
    /// Forecast peak of the tokens that these requests hold.
    pub(crate) peak_tokens: f64,
    /// Tokens that they held at the time of the report.
    pub(crate) held_tokens: f64,
    /// Prompt tokens that await prefill.
    pub(crate) backlog: Backlog,
    /// When a request of the source last lost its connection to the upstream before any
    /// response.
    pub(crate) lost_at: Option<Time>,
}

/// Assumed duration of a call reported by a peer.
const CALL_DURATION: Time = Time::from_millis(100);
/// Assumed duration of a call at a brittle upstream, which most calls do not exceed.
const LONG_CALL_DURATION: Time = Time::from_millis(300);
/// Fraction of the forecast growth that is counted, because the peaks of several VMs'
/// requests do not coincide. See docs/design/decisions.md.
const GROWTH_FRACTION: f64 = 0.75;

impl PeerUse {
    /// Returns the number of calls that may still run at a plain upstream. A peer includes a
    /// running call in whatever it reports next, but reports its end only with its next
    /// heartbeat, which may go to other VMs. Of a brittle upstream it reports each change, so that
    /// only the ends of calls at upstreams of other failure domains are missing.
    pub(crate) fn running_calls(&self, now: Time, is_brittle: bool) -> usize {
        let longest = match is_brittle {
            true => LONG_CALL_DURATION,
            false => CALL_DURATION,
        };
        match now.saturating_sub(self.backlog.observed_at()) > longest {
            true => 0,
            false => self.running,
        }
    }

    /// Returns the expected token use: all held tokens plus a fraction of the growth up to
    /// the peak. With long prompts nearly all of the peak is already held; applying the
    /// fraction to the whole peak rated engines 85% full that held more than their memory.
    pub(crate) fn expected_tokens(&self) -> f64 {
        self.held_tokens + self.growth() * GROWTH_FRACTION
    }

    /// Mean number of tokens that each of its requests has yet to generate.
    pub(super) fn mean_remaining(&self) -> f64 {
        self.growth() / self.running.max(1) as f64
    }

    /// Number of its requests that are long generations; others count by how long they are.
    pub(super) fn long_generations(&self) -> f64 {
        self.running as f64 * long_share(self.mean_remaining())
    }

    fn growth(&self) -> f64 {
        (self.peak_tokens - self.held_tokens).max(0.0)
    }
}

/// Returns the peak of the total tokens held by the runs, and by `new` if given, from now
/// on. A run holds `tokens + t` until `t` reaches its `remaining`.
pub(super) fn peak(runs: &[OwnRun], new: Option<OwnRun>) -> f64 {
    let mut all: Vec<(f64, f64)> = runs
        .iter()
        .chain(&new)
        .map(|r| (r.remaining, r.tokens))
        .collect();
    all.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
    let (mut held, mut most) = (0.0, 0.0f64);
    for (i, (remaining, tokens)) in all.iter().enumerate() {
        // Just before this run ends, it and all runs that end later still hold tokens.
        held += tokens;
        most = most.max(held + (i + 1) as f64 * remaining);
    }
    most
}
