//! Reports between the VMs of a failure domain about upstreams that refuse connections.
//!
//! A VM whose own path to upstreams is broken is refused everywhere. It finds out from the
//! answers of its peers, and then keeps its refusals to itself: those of an upstream that has
//! answered a peer, and all of them once two upstreams have. Others find what is gone indeed.
//! A refused trial is no second opinion either, so that another VM tries the upstream next. Only
//! if no peer is answered in that backoff does it report the next refusal.

use crate::Time;
use crate::membership::{MAX_UNREACHABLE_PER_DATAGRAM, ReportedReachable, ReportedUnreachable};
use crate::upstream::{Incarnation, Reachability, ReachabilityState};
use crate::world::World;
use std::time::Duration;

/// How long the end of a refusal is reported: longer than any backoff that it ends.
const REACHABLE_REPORT_PERIOD: Duration = Duration::from_secs(5);
/// Time after which a silent peer no longer counts as present.
const PEER_PERIOD: Duration = Duration::from_secs(5);
/// Number of upstreams that answer peers and not this VM from which the fault is this VM's. A
/// single one may refuse connections now and then.
const MIN_REFUTED: usize = 2;

impl World {
    /// Records the upstreams that a peer could not connect to. `is_local` tells whether it is in
    /// this VM's failure domain.
    pub(in crate::world) fn record_peer_unreachable(
        &mut self,
        now: Time,
        peer: &str,
        is_local: bool,
        unreachable: &[ReportedUnreachable],
    ) {
        let counted = unreachable.iter().filter(|_| is_local);
        for report in counted.take(MAX_UNREACHABLE_PER_DATAGRAM) {
            let age = Duration::from_millis(u64::from(report.age_ms));
            let at = now.saturating_sub(age);
            let has_answered = self.has_answered_since(&report.upstream, at);
            let row = self.reachability.entry(now, &report.upstream);
            if !row.record_reported_refusal(at, age) {
                continue;
            }
            if has_answered {
                // Reports the answer, which ends the refusal at the peer and where it was passed on.
                row.record_answer(now);
                self.reachability_changed(&report.upstream, true, None, Duration::ZERO);
            } else {
                self.reachability_changed(&report.upstream, false, Some(peer), age);
            }
        }
    }

    /// Whether an upstream has responded to a request of this VM that was submitted after `at`.
    fn has_answered_since(&self, upstream: &Incarnation, at: Time) -> bool {
        let row = self.upstreams.get_by_id(&upstream.id);
        row.is_some_and(|u| u.spec.born == upstream.born && u.reached_at > Some(at))
    }

    /// Records the upstreams that have answered a peer after a refusal.
    pub(in crate::world) fn record_peer_reachable(
        &mut self,
        now: Time,
        peer: &str,
        is_local: bool,
        reachable: &[ReportedReachable],
    ) {
        let counted = reachable.iter().filter(|_| is_local);
        for report in counted.take(MAX_UNREACHABLE_PER_DATAGRAM) {
            let age = Duration::from_millis(u64::from(report.age_ms));
            let row = self.reachability.entry(now, &report.upstream);
            if row.record_reported_answer(now.saturating_sub(age)) {
                self.reachability_changed(&report.upstream, true, Some(peer), age);
            }
        }
    }

    /// Returns the unreachable upstreams to report to peers, the latest first.
    pub(in crate::world) fn unreachable_to_report(&self, now: Time) -> Vec<ReportedUnreachable> {
        let has_live_peers = self.has_live_peers(now);
        let is_refuted = self.is_refuted();
        let is_doubtful = |r: &Reachability| {
            let is_pending = has_live_peers && r.awaits_peer_trial();
            r.is_own() && (is_refuted || r.is_refuted() || is_pending)
        };
        let known = self.reachability.iter();
        let known = known.filter(|(_, r)| !is_doubtful(r));
        let closed = known.filter(|(_, r)| r.state(now) == ReachabilityState::Closed);
        let mut reports: Vec<ReportedUnreachable> = closed
            .filter_map(|(upstream, r)| {
                Some(ReportedUnreachable {
                    upstream: upstream.clone(),
                    age_ms: age_ms(now, r.refusal().filter(has_age)?),
                })
            })
            .collect();
        reports.sort_unstable_by_key(|r| (r.age_ms, r.upstream.id.clone()));
        reports.truncate(MAX_UNREACHABLE_PER_DATAGRAM);
        reports
    }

    /// Returns the upstreams whose refusal has ended lately, the latest first.
    pub(in crate::world) fn reachable_to_report(&self, now: Time) -> Vec<ReportedReachable> {
        let known = self.reachability.iter();
        let answered = known.filter_map(|(upstream, r)| {
            let age = now.saturating_sub(r.recovery().filter(has_age)?);
            (age < REACHABLE_REPORT_PERIOD).then(|| ReportedReachable {
                upstream: upstream.clone(),
                age_ms: age.as_millis() as u32,
            })
        });
        let mut reports: Vec<ReportedReachable> = answered.collect();
        reports.sort_unstable_by_key(|r| (r.age_ms, r.upstream.id.clone()));
        reports.truncate(MAX_UNREACHABLE_PER_DATAGRAM);
        reports
    }

    /// Whether peers are answered where this VM is refused, so that the fault may be its own.
    fn is_refuted(&self) -> bool {
        let refuted = self.reachability.iter().filter(|(_, r)| r.is_refuted());
        let listed = refuted.filter(|(upstream, _)| {
            let row = self.upstreams.get_by_id(&upstream.id);
            row.is_some_and(|u| u.spec.born == upstream.born)
        });
        listed.count() >= MIN_REFUTED
    }

    /// Whether peers of this failure domain are there to try an upstream again.
    fn has_live_peers(&self, now: Time) -> bool {
        let seen_at = self.local_peer_seen_at;
        seen_at.is_some_and(|at| now.saturating_sub(at) < PEER_PERIOD)
    }
}

/// Whether the age of an observation is known: one from before this VM's start counts as made
/// then, and would seem younger to peers with each VM that passes it on.
fn has_age(at: &Time) -> bool {
    !at.is_zero()
}

fn age_ms(now: Time, at: Time) -> u32 {
    now.saturating_sub(at).as_millis() as u32
}
