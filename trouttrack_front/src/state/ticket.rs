//! A request's row of the tables, for as long as its attempt lasts.

use super::scheduler::Scheduler;
use std::cell::Cell;
use std::rc::Rc;
use trouttrack_core::world::{RequestKey, Target};
use trouttrack_core::{Time, UpstreamId};

/// Holds a request's row of the tables. A ticket that is dropped says that the
/// attempt is over, so no row outlives its request.
#[derive(Debug)]
pub struct Ticket {
    scheduler: Rc<Scheduler>,
    key: RequestKey,
    /// Whether the attempt speaks against the upstream.
    fault: Cell<bool>,
    /// The tokens that a whole answer had.
    tokens: Cell<Option<u64>>,
}

impl Ticket {
    /// The row of a request that was just submitted.
    pub(super) fn new(scheduler: Rc<Scheduler>, key: RequestKey) -> Self {
        Self {
            scheduler,
            key,
            fault: Cell::new(false),
            tokens: Cell::new(None),
        }
    }

    /// The generation has written this many tokens.
    pub fn progress(&self, tokens: u64) {
        let begins = self.scheduler.world.borrow_mut().progress(self.key, tokens);
        if begins {
            // Others wait for the engine to be done with its prompt.
            self.scheduler.tell_soon();
        }
    }

    /// The attempt failed in a way that speaks against the upstream.
    pub fn fault(&self) {
        self.fault.set(true);
    }

    /// The attempt found nobody there: no connection, or no word in time.
    pub fn unreachable(&self) {
        self.fault.set(true);
        let now = self.now();
        let mut world = self.scheduler.world.borrow_mut();
        world.record_unreachable(now, self.key);
    }

    /// The upstream turned the request away: other VMs are told.
    pub fn refused(&self) {
        let now = self.now();
        self.scheduler
            .world
            .borrow_mut()
            .record_refusal(now, self.key);
        self.scheduler.tell_soon();
    }

    /// The attempt's connection ended before any answer: other VMs are told.
    pub fn lost(&self) {
        self.fault.set(true);
        let now = self.now();
        self.scheduler.world.borrow_mut().record_loss(now, self.key);
        self.scheduler.tell_soon();
    }

    /// The answer ended by itself after `tokens`.
    pub fn complete(&self, tokens: u64) {
        self.tokens.set(Some(tokens));
    }

    /// The best upstream to move the generation to, away from one in the
    /// failure domain `home`.
    #[must_use]
    pub fn target(&self, home: &str, avoid: &[UpstreamId]) -> Option<Target> {
        let now = self.now();
        let world = self.scheduler.world.borrow();
        world.move_target(now, self.key, home, avoid)
    }

    /// Tokens of memory that the generation holds.
    #[must_use]
    pub fn held_tokens(&self) -> f64 {
        self.scheduler.world.borrow().held_tokens(self.key)
    }

    /// The generation counts at another upstream from now on.
    pub fn relocate(&self, to: &str) {
        let now = self.now();
        let mut world = self.scheduler.world.borrow_mut();
        world.relocate(now, self.key, to);
        drop(world);
        self.scheduler.tell_soon();
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
        let frees = world.record_end(now, self.key, self.fault.get(), self.tokens.get());
        let waits = world.queued() > 0;
        drop(world);
        if frees {
            // Others count its memory, and its prompt if it has not begun.
            self.scheduler.tell_soon();
        }
        if waits {
            self.scheduler.tick();
        }
    }
}
