//! Applies the status that upstreams report about themselves to the upstream table.

use super::tables::World;
use crate::upstream::{Availability, Incarnation, ReportedLimit, UpstreamNotice};
use crate::{Time, UpstreamId};

impl World {
    /// Copies an upstream's reported status into its row. A row that has been recreated
    /// gets the status reported before.
    pub(super) fn refresh_status(&mut self, id: &str) {
        let Some(row) = self
            .upstreams
            .key(id)
            .and_then(|k| self.upstreams.get_mut(k))
        else {
            return;
        };
        let incarnation = row.incarnation();
        row.availability = self.notices.availability(&incarnation);
        row.reachability = self.reachability.get(&incarnation);
    }

    /// Records a status report of an upstream, regardless of the channel it came by.
    /// Returns whether it changed anything.
    pub fn receive_notice(
        &mut self,
        now: Time,
        incarnation: &Incarnation,
        notice: UpstreamNotice,
    ) -> bool {
        let changed = self.notices.receive(now, incarnation, notice);
        self.refresh_status(&incarnation.id);
        changed
    }

    /// Rate limits reported by upstreams, to be passed on to other VMs; see
    /// [`UpstreamNotices::limits`](crate::upstream::UpstreamNotices::limits).
    #[must_use]
    pub fn limits(&self, now: Time, changed_after: Time) -> Vec<ReportedLimit> {
        self.notices.limits(now, changed_after)
    }

    /// Status reported by one incarnation of an upstream.
    #[must_use]
    pub fn availability_of(&self, incarnation: &Incarnation) -> Availability {
        self.notices.availability(incarnation)
    }

    /// Drops old status reports of upstreams that are no longer listed.
    pub fn expire_notices(&mut self, now: Time) {
        let upstreams = &self.upstreams;
        let listed = |incarnation: &Incarnation| {
            let row = upstreams.get_by_id(&incarnation.id);
            row.is_some_and(|u| u.spec.born == incarnation.born)
        };
        self.notices.forget(now, listed);
    }

    /// Copies the reported status of every upstream into its row.
    pub(super) fn refresh_all_statuses(&mut self) {
        let ids: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .map(|(_, u)| u.spec.id.clone())
            .collect();
        ids.iter().for_each(|id| self.refresh_status(id));
    }
}
