//! Upstream use reported by peers in heartbeats.
//!
//! A heartbeat touches only the rows that it names and those that the peer's previous
//! heartbeat named.
//!
//! In a large fleet a VM receives heartbeats from each peer of its own failure domain, and
//! for every other failure domain the total over its VMs. That suffices to choose among
//! the upstreams there, at a cost that does not grow with the number of VMs.

use super::tables::World;
use crate::Time;
use crate::membership::UpstreamUse;
use crate::upstream::{
    Backlog, PeerUse, ReportSource, ReportedHandovers, Upstream, UpstreamKey, UpstreamTable,
};
use std::collections::HashMap;

/// Time without a heartbeat after which a peer's use is no longer counted.
const PEER_TIMEOUT: Time = Time::from_secs(5);
/// Interval of the check for silent peers, which would cost too much on every heartbeat.
const SWEEP_INTERVAL: Time = Time::from_secs(1);

/// The latest heartbeat of each peer.
#[derive(Debug, Default)]
pub(crate) struct PeerHeartbeats {
    by_source: HashMap<ReportSource, PeerHeartbeat>,
    /// Time of the last check for silent peers.
    swept_at: Time,
}

/// A peer's latest heartbeat.
#[derive(Debug)]
struct PeerHeartbeat {
    /// Time of arrival.
    at: Time,
    /// Rows in which its use is counted.
    rows: Vec<UpstreamKey>,
}

impl PeerHeartbeats {
    /// Removes the use of silent peers from the upstream rows, at most once per
    /// [`SWEEP_INTERVAL`].
    fn expire_silent_peers(&mut self, now: Time, upstreams: &mut UpstreamTable) {
        if now.saturating_sub(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.by_source.retain(|source, heartbeat| {
            let silent = now.saturating_sub(heartbeat.at) > PEER_TIMEOUT;
            if silent {
                remove_uses(now, upstreams, &heartbeat.rows, source);
            }
            !silent
        });
    }

    /// Whether the total of a failure domain has been received recently.
    fn has_domain_total(&self, failure_domain: &str) -> bool {
        let source = ReportSource::FailureDomain(failure_domain.to_owned());
        self.by_source.contains_key(&source)
    }
}

/// Removes a peer's use from the given rows.
fn remove_uses(
    now: Time,
    upstreams: &mut UpstreamTable,
    rows: &[UpstreamKey],
    source: &ReportSource,
) {
    for key in rows {
        if let Some(u) = upstreams.get_mut(*key) {
            u.note_loading(now);
            u.remove_peer_use(source);
        }
    }
}

impl World {
    /// Records a peer's use of upstreams. Connections lost by the peer count only if it is
    /// in this VM's failure domain: an upstream that is unreachable from another domain may
    /// be reachable from this one.
    pub fn record_peer_uses(
        &mut self,
        now: Time,
        peer: &str,
        failure_domain: &str,
        uses: &[UpstreamUse],
    ) {
        let is_local = failure_domain == self.settings.failure_domain;
        let has_total = !is_local && self.peers.has_domain_total(failure_domain);
        let counts = |u: &Upstream| !has_total || u.spec.failure_domain != failure_domain;
        self.replace_uses(
            now,
            ReportSource::Vm(peer.to_owned()),
            uses,
            is_local,
            counts,
        );
    }

    /// Records the total use that the VMs of another failure domain make of its upstreams.
    /// Their use of upstreams in other domains is reported by each VM to those domains.
    pub fn record_domain_uses(&mut self, now: Time, failure_domain: &str, uses: &[UpstreamUse]) {
        let source = ReportSource::FailureDomain(failure_domain.to_owned());
        let in_domain = |u: &Upstream| u.spec.failure_domain == failure_domain;
        self.replace_uses(now, source, uses, false, in_domain);
    }

    /// Total use that the VMs of this failure domain make of its upstreams, as sent to the
    /// VMs of other domains.
    #[must_use]
    pub fn domain_uses(&self, now: Time) -> Vec<UpstreamUse> {
        let home = &self.settings.failure_domain;
        let rows = self.upstreams.iter().map(|(_, u)| u);
        rows.filter(|u| u.spec.failure_domain == *home)
            .map(|u| u.use_by_domain(now))
            .filter(|used| used.running > 0)
            .collect()
    }

    /// Replaces the use last reported by a source, in the rows for which it counts.
    fn replace_uses(
        &mut self,
        now: Time,
        source: ReportSource,
        uses: &[UpstreamUse],
        is_local: bool,
        counts: impl Fn(&Upstream) -> bool,
    ) {
        self.upstreams.enable_peer_reports();
        self.peers.expire_silent_peers(now, &mut self.upstreams);
        if let Some(before) = self.peers.by_source.get(&source) {
            remove_uses(now, &mut self.upstreams, &before.rows, &source);
        }
        let mut rows = Vec::with_capacity(uses.len());
        for used in uses {
            let Some(key) = self.upstreams.key(&used.upstream) else {
                continue;
            };
            let Some(u) = self.upstreams.get_mut(key).filter(|u| counts(u)) else {
                continue;
            };
            rows.push(key);
            u.handovers.record_peer(now, &source, handover_counts(used));
            if let (true, Some(lost_ms)) = (u.is_brittle(), used.lost_ms) {
                let at = now.saturating_sub(Time::from_millis(lost_ms));
                u.rejections.record_peer(&source, at);
            }
            if has_output(used) {
                u.last_response_at = Some(now);
            }
            u.set_peer_use(peer_use(now, &source, used, is_local));
            u.note_loading(now);
        }
        let heartbeat = PeerHeartbeat { at: now, rows };
        self.peers.by_source.insert(source, heartbeat);
    }
}

/// Whether a request has received output: its prompt is loaded. A call has no prompt.
fn has_output(used: &UpstreamUse) -> bool {
    used.held_tokens > used.loading_tokens
}

fn handover_counts(used: &UpstreamUse) -> ReportedHandovers {
    ReportedHandovers {
        total: used.handovers,
        recent: used.recent_handovers,
    }
}

fn peer_use(now: Time, source: &ReportSource, used: &UpstreamUse, is_local: bool) -> PeerUse {
    PeerUse {
        source: source.clone(),
        is_local,
        running: used.running as usize,
        peak_tokens: used.peak_tokens as f64,
        held_tokens: used.held_tokens as f64,
        backlog: Backlog::of(now, used.loading_tokens as f64),
        lost_at: used
            .lost_ms
            .filter(|_| is_local)
            .map(|ms| now.saturating_sub(Time::from_millis(ms))),
    }
}
