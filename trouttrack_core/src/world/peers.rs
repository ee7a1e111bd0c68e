//! What peers say of their use of upstreams.
//!
//! A peer's word visits the rows that it names, and those that it named the last time;
//! no others.
//!
//! In a large fleet a VM hears each peer of its own failure domain, and of another
//! failure domain the sum over its VMs: what a choice among the upstreams there needs,
//! at a cost that does not grow with the VMs.

use super::tables::World;
use crate::Time;
use crate::membership::UpstreamUse;
use crate::upstream::{
    Backlog, PeerUse, Teller, ToldHandovers, Upstream, UpstreamKey, UpstreamTable,
};
use std::collections::HashMap;

/// A peer that has been silent for this long is not counted any more.
const SILENCE: Time = Time::from_secs(5);
/// How often silent peers are looked for: each heartbeat would be too often.
const SWEEP_EVERY: Time = Time::from_secs(1);

/// When each peer was heard, and the rows that count its use.
#[derive(Debug, Default)]
pub(crate) struct PeersHeard {
    by_teller: HashMap<Teller, PeerHeard>,
    /// When the silent were looked for.
    swept_at: Time,
}

/// A peer's last heartbeat.
#[derive(Debug)]
struct PeerHeard {
    /// When it came.
    at: Time,
    /// The rows that it named.
    rows: Vec<UpstreamKey>,
}

impl PeersHeard {
    /// Takes the silent peers out of the rows that count them, once in a while.
    fn forget_silent(&mut self, now: Time, upstreams: &mut UpstreamTable) {
        if now.saturating_sub(self.swept_at) < SWEEP_EVERY {
            return;
        }
        self.swept_at = now;
        self.by_teller.retain(|teller, heard| {
            let silent = now.saturating_sub(heard.at) > SILENCE;
            if silent {
                forget(upstreams, &heard.rows, teller);
            }
            !silent
        });
    }

    /// Whether the sum over a failure domain was told lately.
    fn knows_sum(&self, failure_domain: &str) -> bool {
        let teller = Teller::FailureDomain(failure_domain.to_owned());
        self.by_teller.contains_key(&teller)
    }
}

/// Takes a peer's use out of these rows.
fn forget(upstreams: &mut UpstreamTable, rows: &[UpstreamKey], teller: &Teller) {
    for key in rows {
        if let Some(u) = upstreams.get_mut(*key) {
            u.forget_peer(teller);
        }
    }
}

impl World {
    /// Takes in what a peer says of its use of upstreams. The connections that it lost
    /// count only if it stands in the own failure domain: what is cut off from others
    /// may be reached from here.
    pub fn peer_uses(&mut self, now: Time, peer: &str, failure_domain: &str, uses: &[UpstreamUse]) {
        let near = failure_domain == self.settings.failure_domain;
        let summed = !near && self.peers.knows_sum(failure_domain);
        let counts = |u: &Upstream| !summed || u.spec.failure_domain != failure_domain;
        self.take_uses(now, Teller::Vm(peer.to_owned()), uses, near, counts);
    }

    /// Takes in what the VMs of another failure domain together use of its upstreams.
    /// What they use elsewhere each of them tells where those stand.
    pub fn domain_uses_told(&mut self, now: Time, failure_domain: &str, uses: &[UpstreamUse]) {
        let teller = Teller::FailureDomain(failure_domain.to_owned());
        let there = |u: &Upstream| u.spec.failure_domain == failure_domain;
        self.take_uses(now, teller, uses, false, there);
    }

    /// What the VMs of the own failure domain together use of its upstreams, for the
    /// VMs of others.
    #[must_use]
    pub fn domain_uses(&self, now: Time) -> Vec<UpstreamUse> {
        let home = &self.settings.failure_domain;
        let rows = self.upstreams.iter().map(|(_, u)| u);
        rows.filter(|u| u.spec.failure_domain == *home)
            .map(|u| u.use_by_domain(now))
            .filter(|used| used.running > 0)
            .collect()
    }

    /// Puts a teller's word in the rows for which it counts, in place of its last one.
    fn take_uses(
        &mut self,
        now: Time,
        teller: Teller,
        uses: &[UpstreamUse],
        near: bool,
        counts: impl Fn(&Upstream) -> bool,
    ) {
        self.upstreams.hear_peers();
        self.peers.forget_silent(now, &mut self.upstreams);
        if let Some(before) = self.peers.by_teller.get(&teller) {
            forget(&mut self.upstreams, &before.rows, &teller);
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
            u.handovers.told(now, &teller, told_handovers(used));
            u.take_peer(peer_use(now, &teller, used, near));
        }
        let heard = PeerHeard { at: now, rows };
        self.peers.by_teller.insert(teller, heard);
    }
}

fn told_handovers(used: &UpstreamUse) -> ToldHandovers {
    ToldHandovers {
        all: used.handovers,
        recent: used.recent_handovers,
    }
}

fn peer_use(now: Time, teller: &Teller, used: &UpstreamUse, near: bool) -> PeerUse {
    PeerUse {
        teller: teller.clone(),
        near,
        running: used.running as usize,
        peak_tokens: used.peak_tokens as f64,
        held_tokens: used.held_tokens as f64,
        loading: Backlog::of(now, used.loading_tokens as f64),
        lost_at: used
            .lost_ms
            .filter(|_| near)
            .map(|ms| now.saturating_sub(Time::from_millis(ms))),
    }
}
