//! The software versions that have upstreams, now or lately, and which of them the store has
//! recorded.

use super::clock::Clock;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use tokio::sync::Notify;
use trouttrack_core::OriginId;
use trouttrack_core::versions::{VersionCensus, origin_id};
use trouttrack_platform::VersionRecord;

/// Longest time for which the first event of a stream waits for the record of its version: many
/// calls of a store that serves.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(500);

/// How far the recording of a version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Missing,
    /// A task records it. With `waited`, events have already waited for it in vain.
    Pending {
        waited: bool,
    },
    Stored,
}

#[derive(Debug)]
struct Row {
    record: VersionRecord,
    progress: Progress,
}

/// The versions that have upstreams, now or lately.
#[derive(Debug)]
pub struct Versions {
    clock: Clock,
    census: RefCell<VersionCensus>,
    rows: RefCell<HashMap<OriginId, Row>>,
    changed: Notify,
    stored: Notify,
}

impl Versions {
    /// Creates an empty table.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            census: RefCell::default(),
            rows: RefCell::default(),
            changed: Notify::new(),
            stored: Notify::new(),
        }
    }

    /// Counts an upstream of a service. Its version is recorded, unless that is not known.
    pub(super) fn add(&self, service: &str, version: &str) {
        let origin = origin_id(service, version);
        self.census.borrow_mut().add(service, origin);
        if !version.is_empty() {
            self.rows.borrow_mut().entry(origin).or_insert_with(|| {
                self.changed.notify_one();
                Row {
                    record: VersionRecord {
                        service: service.to_owned(),
                        version: version.to_owned(),
                    },
                    progress: Progress::Missing,
                }
            });
        }
    }

    /// Takes an upstream of a service out of the count.
    pub(super) fn remove(&self, service: &str, version: &str) {
        let mut census = self.census.borrow_mut();
        census.remove(self.clock.now(), service, origin_id(service, version));
    }

    /// The versions of a service that have served lately, as far as this VM knows.
    #[must_use]
    pub(crate) fn served(&self, service: &str) -> Vec<OriginId> {
        self.census.borrow().served(service).collect()
    }

    /// Adds a version that the store has recorded.
    pub(crate) fn add_recorded(&self, record: VersionRecord) {
        let (origin, now) = (record.origin(), self.clock.now());
        let mut census = self.census.borrow_mut();
        census.add_recorded(now, &record.service, origin);
        let row = Row {
            record,
            progress: Progress::Stored,
        };
        self.rows.borrow_mut().insert(origin, row);
        self.stored.notify_waiters();
    }

    /// Whether a version has upstreams, now or lately.
    #[must_use]
    pub(crate) fn has(&self, origin: OriginId) -> bool {
        self.rows.borrow().contains_key(&origin)
    }

    /// Whether the store is known to have recorded a version.
    #[must_use]
    pub(crate) fn is_recorded(&self, origin: OriginId) -> bool {
        let rows = self.rows.borrow();
        let row = rows.get(&origin);
        row.is_some_and(|row| row.progress == Progress::Stored)
    }

    /// Waits until a version is recorded, if that is still to be expected soon.
    pub(crate) async fn recorded(&self, origin: OriginId) {
        let waited = tokio::time::timeout(MAX_RECORD_WAIT, async {
            while self.is_awaited(origin) {
                self.stored.notified().await;
            }
        });
        if waited.await.is_err()
            && let Some(row) = self.rows.borrow_mut().get_mut(&origin)
            && row.progress != Progress::Stored
        {
            row.progress = Progress::Pending { waited: true };
        }
    }

    fn is_awaited(&self, origin: OriginId) -> bool {
        let rows = self.rows.borrow();
        let progress = rows.get(&origin).map(|row| row.progress);
        matches!(
            progress,
            Some(Progress::Missing | Progress::Pending { waited: false })
        )
    }

    /// The versions that nobody records yet. The caller does.
    pub(crate) fn take_missing(&self) -> Vec<VersionRecord> {
        let mut rows = self.rows.borrow_mut();
        let missing = rows.values_mut();
        let missing = missing.filter(|row| row.progress == Progress::Missing);
        let taken = missing.map(|row| {
            row.progress = Progress::Pending { waited: false };
            row.record.clone()
        });
        taken.collect()
    }

    /// Takes all versions for missing, because the store may have lost its records.
    pub(crate) fn distrust_records(&self) {
        let mut rows = self.rows.borrow_mut();
        let stored = rows.values_mut();
        stored
            .filter(|row| row.progress == Progress::Stored)
            .for_each(|row| row.progress = Progress::Missing);
    }

    /// Takes a version for missing, because its record was removed.
    pub(crate) fn record_removed(&self, origin: OriginId) {
        if let Some(row) = self.rows.borrow_mut().get_mut(&origin) {
            row.progress = Progress::Missing;
            self.changed.notify_one();
        }
    }

    /// Forgets the versions of which no stream can be left, and returns those that are recorded.
    pub(crate) fn expire(&self) -> Vec<VersionRecord> {
        let expired = self.census.borrow_mut().expire(self.clock.now());
        let mut rows = self.rows.borrow_mut();
        let rows = expired.iter().filter_map(|origin| rows.remove(origin));
        rows.filter(|row| row.progress == Progress::Stored)
            .map(|row| row.record)
            .collect()
    }

    /// Waits until a version has to be recorded.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }
}
