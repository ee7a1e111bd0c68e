//! Events in the order of their times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Events to come; of two at the same time the one that was put first comes first.
#[derive(Debug)]
pub(super) struct Queue<E> {
    events: BinaryHeap<Reverse<(Duration, u64, E)>>,
    put: u64,
}

impl<E: Ord> Queue<E> {
    pub(super) fn new() -> Self {
        Self {
            events: BinaryHeap::new(),
            put: 0,
        }
    }

    pub(super) fn put(&mut self, at: Duration, event: E) {
        self.put += 1;
        self.events.push(Reverse((at, self.put, event)));
    }

    pub(super) fn next(&mut self) -> Option<(Duration, E)> {
        self.events.pop().map(|Reverse((at, _, event))| (at, event))
    }
}
