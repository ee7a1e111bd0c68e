//! RAII guard for a request's row in the scheduler tables.

use super::scheduler::Scheduler;
use std::cell::Cell;
use std::rc::Rc;
use trouttrack_core::upstream::{Incarnation, RateSample};
use trouttrack_core::world::{RequestKey, Target};
use trouttrack_core::{Time, UpstreamId};

/// Owns a request's row in the scheduler tables. Dropping the ticket ends the attempt, so
/// that no row outlives its request.
#[derive(Debug)]
pub struct Ticket {
    scheduler: Rc<Scheduler>,
    key: RequestKey,
    /// Whether the attempt counts as a failure of the upstream.
    fault: Cell<bool>,
    /// Token count of a complete answer.
    tokens: Cell<Option<u64>>,
}

impl Ticket {
    /// Creates the ticket of a submitted request.
    pub(super) fn new(scheduler: Rc<Scheduler>, key: RequestKey) -> Self {
        Self {
            scheduler,
            key,
            fault: Cell::new(false),
            tokens: Cell::new(None),
        }
    }

    /// Records the number of tokens generated so far.
    pub fn progress(&self, tokens: u64) {
        let now = self.now();
        let mut world = self.scheduler.world.borrow_mut();
        world.record_response(now, self.key);
        let is_first_token = world.progress(self.key, tokens);
        drop(world);
        self.scheduler.report_reachability();
        if is_first_token {
            // The other VMs count the prompt as loading until they are notified.
            self.scheduler.schedule_load_update();
        }
    }

    /// Records a sample of the upstream's speed.
    pub fn observe(&self, sample: RateSample) {
        let now = self.now();
        let mut world = self.scheduler.world.borrow_mut();
        world.observe(now, self.key, sample);
    }

    /// Records a failure that counts against the upstream.
    pub fn fault(&self) {
        self.fault.set(true);
    }

    /// Records that the upstream could not be reached: no connection, or no answer in time.
    pub fn unreachable(&self) {
        self.fault.set(true);
        let now = self.now();
        let mut world = self.scheduler.world.borrow_mut();
        world.record_unreachable(now, self.key);
    }

    /// Records that the upstream's address refused the connection, and notifies the other VMs.
    /// Connections that time out are no such evidence: a network partition causes them too.
    pub fn connection_refused(&self, upstream: &Incarnation) {
        self.scheduler.connection_refused(upstream);
    }

    /// Records that the upstream rejected the request, and notifies the other VMs.
    pub fn refused(&self) {
        let now = self.now();
        self.scheduler
            .world
            .borrow_mut()
            .record_refusal(now, self.key);
        self.scheduler.schedule_load_update();
    }

    /// Records that the connection closed before any answer, and notifies the other VMs.
    pub fn lost(&self) {
        self.fault.set(true);
        let now = self.now();
        self.scheduler.world.borrow_mut().record_loss(now, self.key);
        self.scheduler.schedule_load_update();
    }

    /// Records that the answer completed after `tokens`.
    pub fn complete(&self, tokens: u64) {
        self.tokens.set(Some(tokens));
    }

    /// Selects the best upstream to move the generation to, away from one in the failure domain
    /// `home` that runs a version of the software.
    #[must_use]
    pub fn target(&self, home: &str, version: &str, avoid: &[UpstreamId]) -> Option<Target> {
        let now = self.now();
        let world = self.scheduler.world.borrow();
        world.move_target(now, self.key, home, version, avoid)
    }

    /// Memory that the generation occupies, in tokens.
    #[must_use]
    pub fn held_tokens(&self) -> f64 {
        self.scheduler.world.borrow().held_tokens(self.key)
    }

    /// Accounts the generation to another upstream from now on.
    pub fn relocate(&self, to: &str) {
        let now = self.now();
        let mut world = self.scheduler.world.borrow_mut();
        world.relocate(now, self.key, to);
        drop(world);
        self.scheduler.schedule_load_update();
    }

    fn now(&self) -> Time {
        self.scheduler.clock.now()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = self.now();
        self.scheduler.waiting.borrow_mut().remove(&self.key);
        let mut world = self.scheduler.world.borrow_mut();
        let releases_memory = world.record_end(now, self.key, self.fault.get(), self.tokens.get());
        let has_queued = world.queued() > 0;
        drop(world);
        self.scheduler.report_reachability();
        if releases_memory {
            // The other VMs count its memory, and its prompt if it has not started.
            self.scheduler.schedule_load_update();
        }
        if has_queued {
            self.scheduler.tick();
        }
    }
}
