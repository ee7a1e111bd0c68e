//! Whether the store is reachable, and its epoch.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use trouttrack_core::{StoreEpoch, Time};
use trouttrack_platform::StoreError;
use trouttrack_telemetry::{events, record};

/// Tracks whether the store answers this VM.
#[derive(Debug, Default)]
pub struct StoreContact {
    is_unreachable: Cell<bool>,
    answered_at: Cell<Option<Time>>,
    /// Highest store epoch seen so far.
    epoch: watch::Sender<Option<StoreEpoch>>,
    returned: Notify,
}

impl StoreContact {
    /// Records a failed call.
    pub fn lost(&self, error: &StoreError) {
        if !self.is_unreachable.replace(true) {
            let error = error.to_string();
            record!(events::PLATFORM_LOST, error = error.as_str());
        }
    }

    /// Records an answered call. Wakes watches if the store had been unreachable: a watch that
    /// was open during an outage may never report anything again.
    pub fn answered(&self, now: Time) {
        self.answered_at.set(Some(now));
        if self.is_unreachable.replace(false) {
            record!(events::PLATFORM_BACK, watches = "restarted");
            self.returned.notify_waiters();
        }
    }

    /// Records the store's epoch. If it is higher than the previous one, the store was restored
    /// from a backup and has lost its latest writes: logs the restore and wakes watches.
    pub fn note_epoch(&self, epoch: StoreEpoch) {
        let before = *self.epoch.borrow();
        if before.is_some_and(|before| epoch <= before) {
            return;
        }
        self.epoch.send_replace(Some(epoch));
        if let Some(before) = before {
            record!(events::STORE_RESTORED, epoch = epoch, before = before);
            // A watch that was open during the restore may report no changes until it times out.
            self.returned.notify_waiters();
        }
    }

    /// Waits until the store's epoch is higher than the given one, or, for `None`, than the
    /// current one once it is known: writes from before the restore may be lost. Returns the
    /// new epoch.
    pub async fn restored_after(&self, epoch: Option<StoreEpoch>) -> Option<StoreEpoch> {
        let mut epochs = self.epoch.subscribe();
        let previous = match epoch {
            Some(_) => epoch,
            None => *epochs.wait_for(Option::is_some).await.ok()?,
        };
        let current = epochs.wait_for(|e| *e > previous).await.ok()?;
        *current
    }

    /// Records that the store answers peers again, although it has answered no call of this VM.
    pub fn record_peer_contact(&self) {
        if self.is_unreachable.replace(false) {
            record!(events::PLATFORM_BACK, watches = "reported by peers");
            self.returned.notify_waiters();
        }
    }

    /// Time since a call was last answered; `None` while calls fail.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        let at = self
            .answered_at
            .get()
            .filter(|_| !self.is_unreachable.get())?;
        Some(now.saturating_sub(at))
    }

    /// [`Self::age`] in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        self.age(now).map(|age| age.as_millis() as u64)
    }

    /// Whether calls to the store currently fail.
    #[must_use]
    pub fn is_away(&self) -> bool {
        self.is_unreachable.get()
    }

    /// Waits until the store is reachable again or has been restored.
    pub async fn returned(&self) {
        self.returned.notified().await;
    }
}
