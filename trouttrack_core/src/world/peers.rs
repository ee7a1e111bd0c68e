//! What peers say of their use of upstreams.
//!
//! A heartbeat visits the rows that its sender names, and those that it named
//! the last time; no others.

use super::tables::World;
use crate::Time;
use crate::membership::UpstreamUse;
use crate::upstream::{Backlog, PeerUse, UpstreamKey, UpstreamTable};
use std::collections::HashMap;

/// A peer that has been silent for this long is not counted any more.
const SILENCE: Time = Time::from_secs(5);
/// How often silent peers are looked for: each heartbeat would be too often.
const SWEEP_EVERY: Time = Time::from_secs(1);

/// When each peer was heard, and the rows that count its use.
#[derive(Debug, Default)]
pub(crate) struct PeersHeard {
    by_name: HashMap<String, PeerHeard>,
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
        self.by_name.retain(|name, heard| {
            let silent = now.saturating_sub(heard.at) > SILENCE;
            if silent {
                forget(upstreams, &heard.rows, name);
            }
            !silent
        });
    }
}

/// Takes a peer's use out of these rows.
fn forget(upstreams: &mut UpstreamTable, rows: &[UpstreamKey], peer: &str) {
    for key in rows {
        if let Some(u) = upstreams.get_mut(*key) {
            u.forget_peer(peer);
        }
    }
}

impl World {
    /// Takes in what a peer's heartbeat says of its use of upstreams. The
    /// connections that it lost count only if it stands in the own failure domain:
    /// what is cut off from others may be reached from here.
    pub fn peer_uses(&mut self, now: Time, peer: &str, failure_domain: &str, uses: &[UpstreamUse]) {
        let near = failure_domain == self.settings.failure_domain;
        self.upstreams.hear_peers();
        self.peers.forget_silent(now, &mut self.upstreams);
        if let Some(before) = self.peers.by_name.get(peer) {
            forget(&mut self.upstreams, &before.rows, peer);
        }
        let mut rows = Vec::with_capacity(uses.len());
        for used in uses {
            let Some(key) = self.upstreams.key(&used.upstream) else {
                continue;
            };
            rows.push(key);
            if let Some(u) = self.upstreams.get_mut(key) {
                u.take_peer(PeerUse {
                    peer: peer.to_owned(),
                    running: used.running as usize,
                    peak_tokens: used.peak_tokens as f64,
                    loading: Backlog::of(now, used.loading_tokens as f64),
                    lost_at: used
                        .lost_ms
                        .filter(|_| near)
                        .map(|ms| now.saturating_sub(Time::from_millis(ms))),
                });
            }
        }
        let heard = PeerHeard { at: now, rows };
        self.peers.by_name.insert(peer.to_owned(), heard);
    }
}
