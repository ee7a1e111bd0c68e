//! Memory that an engine holds for no running request: copies of generations that run elsewhere,
//! and what ended requests left pinned.

use super::room::Runs;
use super::row::Upstream;
use crate::Time;
use crate::upstream::runs::PeerUse;

/// Age after which a report no longer counts. Engines are asked several times in that time.
const REPORT_EXPIRY: Time = Time::from_secs(1);
/// Tokens that a running generation advances until retained memory is assumed to be freed: it is
/// kept for seconds, and no report tells for how long.
const TOKENS_UNTIL_FREED: f64 = 500.0;

/// Memory of an engine as it reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryReport {
    /// Tokens that cannot be evicted.
    pub used_tokens: u64,
    /// Tokens held by the running requests that the report lists.
    pub listed_tokens: u64,
}

/// Memory retained by one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Retained {
    reported_at: Time,
    pub(super) tokens: f64,
}

impl Retained {
    /// The memory as a source of which nothing is freed soon.
    pub(super) fn runs(self) -> Option<Runs> {
        (self.tokens > 0.0).then(|| Runs::one(self.tokens, TOKENS_UNTIL_FREED))
    }
}

impl Upstream {
    /// Applies an engine's report of its memory. What its running requests hold is known from
    /// the VMs that run them, so only the rest counts; prompts that are being loaded may be
    /// missing in the report's list.
    pub(crate) fn take_memory_report(&mut self, now: Time, report: MemoryReport) {
        let peers = |f: fn(&PeerUse, Time) -> f64| self.peers.iter().map(move |p| f(p, now)).sum();
        let held: f64 = peers(|p, _| p.held_tokens);
        let loading: f64 = peers(|p, now| p.backlog.tokens(now));
        let known = self.own_held() + held;
        let listed = report.listed_tokens as f64 + self.own_loading() + loading;
        self.retained = Retained {
            reported_at: now,
            tokens: (report.used_tokens as f64 - known.max(listed)).max(0.0),
        };
    }

    /// Drops the reported memory if it is out of date. Returns whether it still counts.
    pub(crate) fn expire_retained(&mut self, now: Time) -> bool {
        if now.saturating_sub(self.retained.reported_at) > REPORT_EXPIRY {
            self.retained = Retained::default();
        }
        self.retained.tokens > 0.0
    }

    /// Whether nothing is known to hold its memory.
    pub(crate) fn is_idle(&self) -> bool {
        self.estimated_running() == 0 && self.retained.tokens == 0.0
    }
}
