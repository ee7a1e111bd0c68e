//! VMs that give each other what no datagram holds.

use super::layout::Layout;
use super::link::Link;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::time::Duration;
use trouttrack_core::membership::MAX_CONCURRENT_TRANSFERS;

/// What VMs have heard of each other, and which of them are busy answering.
pub(super) struct Peers {
    up: Vec<Link>,
    answering: Vec<usize>,
    heard: Vec<Vec<usize>>,
}

impl Peers {
    pub(super) fn new(layout: &Layout) -> Self {
        Self {
            up: vec![Link::new(layout.vm_link); layout.vms],
            answering: vec![0; layout.vms],
            heard: vec![Vec::new(); layout.vms],
        }
    }

    /// A VM hears that another one has what it wants. Returns whether that is the first one.
    pub(super) fn hear(&mut self, vm: usize, of: usize) -> bool {
        self.heard[vm].push(of);
        self.heard[vm].len() == 1
    }

    /// One that a VM has heard of.
    pub(super) fn draw(&self, vm: usize, rng: &mut SmallRng) -> Option<usize> {
        self.heard[vm].choose(rng).copied()
    }

    /// A VM answers another one from `now` on. Returns when the answer is on its way whole;
    /// `None` if it is busy with others.
    pub(super) fn answer(&mut self, of: usize, now: Duration, bytes: f64) -> Option<Duration> {
        if self.answering[of] >= MAX_CONCURRENT_TRANSFERS {
            return None;
        }
        self.answering[of] += 1;
        Some(self.up[of].carry(now, bytes))
    }

    /// An answer has come.
    pub(super) fn answered(&mut self, of: usize) {
        self.answering[of] -= 1;
    }

    /// Bytes that the busiest VM sent.
    pub(super) fn busiest(&self) -> f64 {
        Link::busiest(&self.up)
    }
}
