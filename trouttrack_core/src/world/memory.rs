//! Memory that engines report to hold for no running request.

use super::tables::World;
use crate::Time;
use crate::upstream::{Incarnation, MemoryReport};

impl World {
    /// Records an engine's report of its memory. It counts in the forecast of that incarnation
    /// until it is out of date, and is not passed on to other VMs.
    pub fn record_memory(&mut self, now: Time, incarnation: &Incarnation, report: MemoryReport) {
        let Some(key) = self.upstreams.key(&incarnation.id) else {
            return;
        };
        let Some(row) = self.upstreams.get_mut(key) else {
            return;
        };
        if row.spec.born == incarnation.born {
            row.take_memory_report(now, report);
            self.retaining.insert(key);
        }
    }

    /// Drops reports of memory that are out of date.
    pub(super) fn expire_memory_reports(&mut self, now: Time) {
        let upstreams = &mut self.upstreams;
        self.retaining.retain(|key| {
            upstreams
                .get_mut(*key)
                .is_some_and(|u| u.expire_retained(now))
        });
    }
}
