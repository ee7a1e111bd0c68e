//! What was disturbed when.

use crate::plan::{Act, Place};
use std::time::{Duration, Instant};

/// One thing that was done, and when.
#[derive(Clone, Copy, Debug)]
pub struct Disturbance {
    /// What.
    pub act: Act,
    /// When it began.
    pub from: Instant,
    /// When it ended; `None` while it lasts.
    pub until: Option<Instant>,
}

/// Everything that was done so far.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// By their beginnings.
    pub all: Vec<Disturbance>,
}

impl History {
    /// Notes that something begins; returns its place.
    pub(super) fn begin(&mut self, act: Act) -> usize {
        self.all.push(Disturbance {
            act,
            from: Instant::now(),
            until: None,
        });
        self.all.len() - 1
    }

    /// Notes that it has ended.
    pub(super) fn end(&mut self, place: usize) {
        // What an upstream is told to answer badly may come at any later time.
        if !matches!(
            self.all[place].act,
            Act::Misbehave(_) | Act::Disorder(_) | Act::AnswerEndlessly(_)
        ) {
            self.all[place].until = Some(Instant::now());
        }
    }

    /// What was done at any time from `from`, less `before`, until `until`.
    pub fn during(
        &self,
        from: Instant,
        before: Duration,
        until: Instant,
    ) -> impl Iterator<Item = &Disturbance> {
        self.all
            .iter()
            .filter(move |d| d.from <= until && d.until.is_none_or(|ended| ended + before >= from))
    }

    /// Whether nothing but planned work was done then.
    #[must_use]
    pub fn only_planned(&self, from: Instant, before: Duration, until: Instant) -> bool {
        self.during(from, before, until).all(|d| d.act.is_planned())
    }

    /// Whether a VM, its links and the store were left alone then.
    #[must_use]
    pub fn left_alone(&self, vm: usize, from: Instant, before: Duration, until: Instant) -> bool {
        let mut during = self.during(from, before, until);
        during.all(|d| !disturbs_callers(d.act, vm) && !disturbs_store(d.act, vm))
    }

    /// Whether a VM and its links to callers were left alone then.
    #[must_use]
    pub fn callers_left_alone(
        &self,
        vm: usize,
        from: Instant,
        before: Duration,
        until: Instant,
    ) -> bool {
        let mut during = self.during(from, before, until);
        during.all(|d| !disturbs_callers(d.act, vm))
    }
}

/// Whether a VM or its link to callers is disturbed.
fn disturbs_callers(act: Act, vm: usize) -> bool {
    match act {
        Act::Stop(v) | Act::Kill(v) | Act::Pause(v) => v == vm,
        Act::KillAll => true,
        Act::Link(Place::Callers(v), _) => v == vm,
        _ => false,
    }
}

/// Whether the store, or a VM's link to it, is disturbed.
fn disturbs_store(act: Act, vm: usize) -> bool {
    match act {
        Act::Link(Place::Store(v), _) | Act::TurnVmAway(v, _) => v == vm,
        Act::Store(_) | Act::ForgetHistory | Act::RestoreStore | Act::Vanish(_) => true,
        _ => false,
    }
}
