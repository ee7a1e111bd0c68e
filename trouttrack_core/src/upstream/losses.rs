//! Failure detection from requests that several VMs lost or had refused.
//!
//! An upstream that restarts loses the requests that it is running. In a large fleet each VM
//! sends it few requests, so no single VM sees enough consecutive failures to open its circuit
//! before the upstream is back. VMs therefore report to each other when a connection ended
//! before any response, and an upstream that two VMs report is suspected.
//!
//! The same applies to refused requests: a VM that sends an upstream a request every few seconds
//! learns too late from its own refusals.

use crate::Time;
use std::time::Duration;

/// How long a loss counts against an upstream: as long as a circuit first stays open.
const LOSS_WINDOW: Duration = Duration::from_millis(500);
/// Number of VMs with a recent loss, including this one, at which an upstream is suspected. A
/// single VM may itself be at fault.
const SUSPECT_THRESHOLD: usize = 2;

/// Outcomes of this VM's requests at an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Losses {
    lost_at: Option<Time>,
    answered_at: Option<Time>,
}

impl Losses {
    /// Records that a connection ended with a request on it before any response, or that the
    /// request was refused.
    pub(crate) fn record_loss(&mut self, now: Time) {
        self.lost_at = Some(now);
    }

    /// Records that a request was answered.
    pub(crate) fn record_answer(&mut self, now: Time) {
        self.answered_at = Some(now);
    }

    /// Returns the age of the last loss, if it still counts against the upstream.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        let age = now.saturating_sub(self.lost_at?);
        (age < LOSS_WINDOW).then_some(age)
    }

    /// Returns whether enough VMs have had a loss since this VM's last answered request;
    /// `peers` are the times of the peers' losses.
    pub(crate) fn suspected(&self, now: Time, peers: impl Iterator<Item = Time>) -> bool {
        let counts = |at: &Time| {
            let recent = now.saturating_sub(*at) < LOSS_WINDOW;
            recent && self.answered_at.is_none_or(|answered| answered < *at)
        };
        peers.chain(self.lost_at).filter(counts).count() >= SUSPECT_THRESHOLD
    }
}
