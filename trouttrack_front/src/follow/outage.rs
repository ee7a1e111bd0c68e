//! The store going away and coming back.

use std::cell::Cell;
use tokio::sync::Notify;
use trouttrack_platform::StoreError;
use trouttrack_telemetry::{events, record};

/// Reports the changes, and wakes watches when the store is back: one that was
/// open during an outage may never say anything again.
#[derive(Debug, Default)]
pub(super) struct StoreEvents {
    away: Cell<bool>,
    returned: Notify,
}

impl StoreEvents {
    /// A call failed.
    pub(super) fn lost(&self, error: &StoreError) {
        if !self.away.replace(true) {
            let error = error.to_string();
            record!(events::PLATFORM_LOST, error = error.as_str());
        }
    }

    /// A call was answered.
    pub(super) fn answered(&self) {
        if self.away.replace(false) {
            record!(events::PLATFORM_BACK, watches = "restarted");
            self.returned.notify_waiters();
        }
    }

    /// Waits for the store's return.
    pub(super) async fn returned(&self) {
        self.returned.notified().await;
    }
}
