//! How many requests run on an upstream, and whether one more may.

use super::brittle::Round;
use super::row::Upstream;
use crate::Time;

impl Upstream {
    /// As `estimated_running`, without calls of peers that should have ended by `now`.
    pub(super) fn running_at(&self, now: Time) -> usize {
        let is_plain = self.spec.capacity_tokens == 0;
        if !self.peers_report_use || !is_plain {
            return self.estimated_running();
        }
        let is_brittle = self.brittle.is_some();
        let peers = self.peers.iter();
        let peers: usize = peers.map(|p| p.running_calls(now, is_brittle)).sum();
        self.own_running + peers
    }

    /// Returns whether fewer requests are known to run there than it runs at once. What may wait at
    /// a brittle upstream is not known, nor is it used.
    pub(super) fn has_place(&self, now: Time) -> bool {
        let places = match self.brittle {
            Some(borne) => self.rejections.places(now, borne, self.spec.max_running),
            None => self.spec.max_running,
        };
        self.running_at(now) < places
    }

    /// Returns whether its service has stated that it is brittle.
    #[must_use]
    pub fn is_brittle(&self) -> bool {
        self.brittle.is_some()
    }

    /// Returns whether this VM may take one of its places, if it is brittle: the VMs of a share may
    /// use the fraction `part`. Requests that have waited, as those of other VMs may have, draw the
    /// free places among `vms` VMs.
    pub(crate) fn admits_if_brittle(
        &self,
        now: Time,
        part: f64,
        has_waited: bool,
        (vms, seed): (usize, u64),
    ) -> bool {
        let Some(borne) = self.brittle else {
            return true;
        };
        let places = self.rejections.places(now, borne, self.spec.max_running);
        let places = (places as f64 * part).ceil() as usize;
        let free = places.saturating_sub(self.running_at(now));
        if !has_waited && free > places / 2 {
            return true;
        }
        let round = Round::at(now);
        let is_first = self.placed_in != Some(round);
        free > 0 && is_first && round.has_drawn(&self.spec.id, free, vms, seed)
    }
}
