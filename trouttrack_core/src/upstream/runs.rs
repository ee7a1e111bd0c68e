//! What uses an upstream: own requests and those of peers, and the memory that
//! they are forecast to need.

use super::backlog::Backlog;
use crate::world::RequestKey;
use crate::{FailureDomain, Time};

/// Where one of this process's running requests stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnRun {
    /// The request.
    pub key: RequestKey,
    /// Tokens that it holds.
    pub tokens: f64,
    /// Tokens that it is forecast still to write.
    pub remaining: f64,
    /// Whether it has written anything: until then its prompt is to be loaded.
    pub loaded: bool,
}

/// Who tells of the use of upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Teller {
    /// A VM, of its own use.
    Vm(String),
    /// A VM of another failure domain, of the use by all VMs there.
    FailureDomain(FailureDomain),
}

/// What a teller last said of the use of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PeerUse {
    /// Who said it.
    pub(crate) teller: Teller,
    /// Whether that is a VM of the own failure domain.
    pub(crate) near: bool,
    /// Its hand-overs that have not ended.
    pub(crate) running: usize,
    /// The most tokens that they are forecast to hold.
    pub(crate) peak_tokens: f64,
    /// The tokens that they held when it said so.
    pub(crate) held_tokens: f64,
    /// Their prompts that are still to be loaded.
    pub(crate) loading: Backlog,
    /// When a request of its own last lost its connection there before any answer.
    pub(crate) lost_at: Option<Time>,
}

/// How long a call that a peer told of is taken to run.
const CALL_RUNS: Time = Time::from_millis(100);
/// Peaks of several VMs' requests do not come at the same time: this share of the
/// growth up to them is counted. Tuned in the decision bench; see
/// docs/design/decisions.md.
const PEAKS_TOGETHER: f64 = 0.75;

impl PeerUse {
    /// Its calls that may still run at a plain upstream. It tells of a call when it tells of
    /// something else, and that the call has ended with the next heartbeat, which may go to
    /// others.
    pub(crate) fn running_calls(&self, now: Time) -> usize {
        match now.saturating_sub(self.loading.at()) > CALL_RUNS {
            true => 0,
            false => self.running,
        }
    }

    /// The tokens that are counted for it: all that is held, which surely is there, and
    /// part of the growth up to its peak. With long prompts nearly all is held; taking
    /// the same part of the whole peak saw engines as 85 in 100 full that held more
    /// than their memory.
    pub(crate) fn expected_tokens(&self) -> f64 {
        let growth = (self.peak_tokens - self.held_tokens).max(0.0);
        self.held_tokens + growth * PEAKS_TOGETHER
    }
}

/// The largest sum of tokens of the runs, and of `new` if given, over the time
/// to come: a run holds `tokens + t` until `t` reaches what remains of it.
pub(super) fn peak(runs: &[OwnRun], new: Option<OwnRun>) -> f64 {
    let mut all: Vec<(f64, f64)> = runs
        .iter()
        .chain(&new)
        .map(|r| (r.remaining, r.tokens))
        .collect();
    all.sort_unstable_by(|a, b| b.0.total_cmp(&a.0));
    let (mut held, mut most) = (0.0, 0.0f64);
    for (i, (remaining, tokens)) in all.iter().enumerate() {
        // Just before this one ends, it and all that end later are there.
        held += tokens;
        most = most.max(held + (i + 1) as f64 * remaining);
    }
    most
}
