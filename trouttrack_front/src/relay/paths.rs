//! This VM's paths to upstreams, with their logs.

use crate::state::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;
use trouttrack_core::paths::{PathChange, PathTable};
use trouttrack_telemetry::{events, record};

/// The paths to upstreams, by address.
#[derive(Debug)]
pub struct Paths {
    clock: Clock,
    table: RefCell<PathTable<SocketAddr>>,
    /// Signalled when all paths are lost, or one is back after that.
    changed: Notify,
}

impl Paths {
    /// Creates a table of intact paths.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            table: RefCell::default(),
            changed: Notify::new(),
        }
    }

    /// As [`PathTable::relay_delay`].
    #[must_use]
    pub fn relay_delay(&self, upstream: SocketAddr) -> Option<Duration> {
        let now = self.clock.now();
        self.table.borrow().relay_delay(now, &upstream)
    }

    /// Records that a direct connection came up.
    pub fn record_direct(&self, upstream: SocketAddr) {
        let were_all_lost = self.are_all_lost();
        let now = self.clock.now();
        let change = self.table.borrow_mut().record_direct(now, &upstream);
        if change == Some(PathChange::Restored) {
            let addr = upstream.to_string();
            let still_lost = self.lost();
            record!(
                events::PATH_RESTORED,
                address = addr.as_str(),
                lost = still_lost,
            );
        }
        if were_all_lost {
            self.changed.notify_one();
        }
    }

    /// Records that a relayed connection came up and a direct one did not. Returns whether all
    /// paths have just been found lost.
    pub fn record_relayed(&self, upstream: SocketAddr) -> bool {
        let now = self.clock.now();
        let change = self.table.borrow_mut().record_relayed(now, upstream);
        if change.is_some() {
            let addr = upstream.to_string();
            record!(
                events::PATH_LOST,
                address = addr.as_str(),
                lost = self.lost(),
                all = self.are_all_lost(),
            );
        }
        let all_lost = change == Some(PathChange::AllLost);
        if all_lost {
            self.changed.notify_one();
        }
        all_lost
    }

    /// Records that neither a direct nor a relayed connection came up.
    pub fn record_unreached(&self, upstream: SocketAddr) {
        let now = self.clock.now();
        self.table.borrow_mut().record_unreached(now, upstream);
    }

    /// As [`PathTable::begin_check`].
    #[must_use]
    pub fn begin_check(&self, upstream: SocketAddr) -> bool {
        let now = self.clock.now();
        self.table.borrow_mut().begin_check(now, upstream)
    }

    /// As [`PathTable::are_all_lost`].
    #[must_use]
    pub fn are_all_lost(&self) -> bool {
        self.table.borrow().are_all_lost()
    }

    /// As [`PathTable::is_suspect`].
    #[must_use]
    pub fn is_suspect(&self, upstream: SocketAddr) -> bool {
        self.table.borrow().is_suspect(&upstream)
    }

    /// Number of lost paths.
    #[must_use]
    pub fn lost(&self) -> usize {
        self.table.borrow().lost()
    }

    /// Waits until peers must learn whether all paths are lost.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}
