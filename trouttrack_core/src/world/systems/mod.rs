//! Scheduling passes: expire, place, refuse. Each runs once per tick.

mod place;
mod refuse;
mod scan;

use super::tables::{Decision, World};
use crate::Time;

impl World {
    /// Runs every pass once and returns their decisions.
    pub fn tick(&mut self, now: Time) -> Vec<Decision> {
        self.estimate_rates(now);
        self.expire(now);
        self.expire_memory_reports(now);
        let mut decisions = std::mem::take(&mut self.refused);
        self.place(now, &mut decisions);
        self.refuse_unreachable(now);
        self.refuse_rate_limited(now);
        self.refuse_hopeless(now);
        decisions.append(&mut self.refused);
        decisions
    }
}
