//! The store going away and coming back.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use trouttrack_core::{StoreEpoch, Time};
use trouttrack_platform::StoreError;
use trouttrack_telemetry::{events, record};

/// Whether the store answers this VM.
#[derive(Debug, Default)]
pub struct StoreContact {
    away: Cell<bool>,
    answered_at: Cell<Option<Time>>,
    /// The highest store epoch noted so far.
    epoch: watch::Sender<Option<StoreEpoch>>,
    returned: Notify,
}

impl StoreContact {
    /// A call failed.
    pub fn lost(&self, error: &StoreError) {
        if !self.away.replace(true) {
            let error = error.to_string();
            record!(events::PLATFORM_LOST, error = error.as_str());
        }
    }

    /// A call was answered. Wakes watches if the store had been away: one that
    /// was open during an outage may never say anything again.
    pub fn answered(&self, now: Time) {
        self.answered_at.set(Some(now));
        if self.away.replace(false) {
            record!(events::PLATFORM_BACK, watches = "restarted");
            self.returned.notify_waiters();
        }
    }

    /// Notes the store's epoch. If it is higher than the previous one, the store was restored
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

    /// Peers are answered again; no call of this VM was.
    pub fn heard_back(&self) {
        if self.away.replace(false) {
            record!(events::PLATFORM_BACK, watches = "heard of from peers");
            self.returned.notify_waiters();
        }
    }

    /// How long ago a call was last answered; `None` while calls fail.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        let at = self.answered_at.get().filter(|_| !self.away.get())?;
        Some(now.saturating_sub(at))
    }

    /// The same in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now: Time) -> Option<u64> {
        self.age(now).map(|age| age.as_millis() as u64)
    }

    /// Whether calls fail.
    #[must_use]
    pub fn is_away(&self) -> bool {
        self.away.get()
    }

    /// Waits for the store's return.
    pub async fn returned(&self) {
        self.returned.notified().await;
    }
}
