//! Demand for a service: arrivals by priority class, and memory freed by requests that end.

use super::room::Supply;
use super::window::{Total, WINDOW, Window};
use crate::Time;
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Age after which a peer's report no longer counts, a few heartbeat intervals.
pub(super) const REPORT_EXPIRY: Duration = Duration::from_secs(2);
/// Weight of the newest observation in a mean.
const NEWEST: f64 = 0.2;

/// Demand for a service.
#[derive(Debug, Default)]
pub(crate) struct ServiceDemand {
    classes: BTreeMap<u8, ClassDemand>,
    freed: Window,
    /// Memory of the upstreams, and when it was summed up.
    pub(super) supply: Cell<Option<(Time, Supply)>>,
    peers: HashMap<String, PeerDemand>,
}

#[derive(Debug, Default)]
struct ClassDemand {
    arrivals: Window,
    /// Mean objective; `None` before the first request with one.
    objective: Option<f64>,
    /// Mean time in seconds for which a request holds memory.
    hold: Option<f64>,
}

#[derive(Debug)]
struct PeerDemand {
    at: Time,
    by_class: Vec<Arrived>,
}

/// Requests of one class that arrived at a VM in the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Arrived {
    pub(crate) class: u8,
    pub(crate) requests: u32,
    /// Memory that they are expected to need.
    pub(crate) tokens: f64,
    /// Mean time from their arrival until their first token is due.
    pub(crate) objective: Duration,
}

/// Memory that a more urgent class is expected to need.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct UrgentNeed {
    /// Its objective.
    pub(super) objective: Duration,
    /// Tokens that its requests hold at a time, over all upstreams.
    pub(super) tokens: f64,
}

fn mean(old: Option<f64>, new: f64) -> Option<f64> {
    Some(old.map_or(new, |old| old + NEWEST * (new - old)))
}

impl ServiceDemand {
    /// Records a request that has arrived. `objective` is the time until its first token is
    /// due.
    pub(crate) fn record_arrival(&mut self, now: Time, class: u8, objective: Duration, need: f64) {
        let row = self.classes.entry(class).or_default();
        row.arrivals.add(now, need);
        row.objective = mean(row.objective, objective.as_secs_f64());
    }

    /// Records a request that has ended after holding `tokens` for a time.
    pub(crate) fn record_end(&mut self, now: Time, class: u8, held: Duration, tokens: f64) {
        self.freed.add(now, tokens);
        let row = self.classes.entry(class).or_default();
        row.hold = mean(row.hold, held.as_secs_f64());
    }

    /// Memory freed in the window.
    pub(super) fn freed(&self, now: Time) -> Total {
        self.freed.total(now)
    }

    /// Replaces what a peer reported before.
    pub(crate) fn record_peer(&mut self, now: Time, peer: &str, by_class: Vec<Arrived>) {
        let demand = PeerDemand { at: now, by_class };
        self.peers.insert(peer.to_owned(), demand);
    }

    pub(super) fn forget_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.at) <= REPORT_EXPIRY);
    }

    /// Arrivals at this VM in the window, by class.
    pub(crate) fn arrivals(&self, now: Time) -> impl Iterator<Item = Arrived> {
        self.classes.iter().filter_map(move |(&class, row)| {
            let total = row.arrivals.total(now);
            let arrived = Arrived {
                class,
                requests: total.requests,
                tokens: total.tokens,
                objective: Duration::from_secs_f64(row.objective?),
            };
            (total.requests > 0).then_some(arrived)
        })
    }

    /// Needs of the classes more urgent than `class` in the whole fleet. `scale` is the ratio
    /// of its demand to that of the VMs that have reported.
    pub(super) fn urgent_needs(&self, now: Time, class: u8, scale: f64) -> Vec<UrgentNeed> {
        let fresh = |peer: &&PeerDemand| now.saturating_sub(peer.at) <= REPORT_EXPIRY;
        let reported = self.peers.values().filter(fresh);
        let reported = reported.flat_map(|peer| peer.by_class.iter().copied());
        let mut by_class: BTreeMap<u8, (f64, f64)> = BTreeMap::new();
        for arrived in self.arrivals(now).chain(reported) {
            if arrived.class < class {
                let (tokens, weighted) = by_class.entry(arrived.class).or_default();
                *tokens += arrived.tokens;
                *weighted += arrived.tokens * arrived.objective.as_secs_f64();
            }
        }
        let need = |(class, (tokens, weighted)): (u8, (f64, f64))| {
            let objective = weighted / tokens;
            let hold = self.classes.get(&class).and_then(|row| row.hold);
            let per_second = scale * tokens / WINDOW.as_secs_f64();
            UrgentNeed {
                objective: Duration::from_secs_f64(objective),
                tokens: per_second * hold.unwrap_or(objective),
            }
        };
        let has_tokens = |(_, (tokens, _)): &(u8, (f64, f64))| *tokens > 0.0;
        by_class.into_iter().filter(has_tokens).map(need).collect()
    }
}
