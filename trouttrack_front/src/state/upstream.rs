//! One incarnation of an upstream.

use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::Incarnation;
use trouttrack_core::{FailureDomain, ServiceId, SoftwareVersion, Time, UpstreamId};
use trouttrack_platform::UpstreamEntry;

/// One incarnation of an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The id, shared by all incarnations.
    pub id: UpstreamId,
    /// Start time of this incarnation in Unix milliseconds; 0 if the entry has none.
    pub born: u64,
    /// Address on which it accepts requests.
    pub addr: SocketAddr,
    /// The service it runs.
    pub service: ServiceId,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Version of its software; not set while only peers that do not report it told of the entry.
    version: OnceCell<SoftwareVersion>,
    slots: usize,
    /// End of the warm-up period.
    warm_up_ends_at: Cell<Time>,
    departure: watch::Sender<Option<Departure>>,
}

impl Upstream {
    pub(super) fn new(id: &str, entry: UpstreamEntry, now: Time) -> Self {
        let upstream = Self {
            id: id.to_owned(),
            born: entry.born,
            addr: entry.addr,
            service: entry.service,
            failure_domain: entry.failure_domain,
            version: OnceCell::new(),
            slots: entry.slots,
            warm_up_ends_at: Cell::new(now + entry.cold_for),
            departure: watch::Sender::new(None),
        };
        upstream.learn_version(&entry.version);
        upstream
    }

    /// Identifies this incarnation by id and start time.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(&self.id, self.born)
    }

    /// Whether it can continue a stream of another upstream: both are known to run the same
    /// version of the software.
    #[must_use]
    pub fn runs_version_of(&self, other: &Self) -> bool {
        !self.version().is_empty() && self.version() == other.version()
    }

    /// Version of its software; empty if it is not known.
    #[must_use]
    pub fn version(&self) -> &str {
        self.version.get().map_or("", String::as_str)
    }

    /// Number of requests it processes concurrently.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Remaining warm-up time.
    #[must_use]
    pub fn cold_for(&self, now: Time) -> Duration {
        self.warm_up_ends_at.get().saturating_sub(now)
    }

    /// Whether an entry describes this incarnation.
    pub(super) fn is_same_incarnation(&self, entry: &UpstreamEntry) -> bool {
        self.addr == entry.addr
            && self.service == entry.service
            && self.born == entry.born
            && (self.version().is_empty()
                || entry.version.is_empty()
                || self.version() == entry.version)
    }

    /// Watches the departure; `None` while the upstream is not leaving.
    #[must_use]
    pub fn departure(&self) -> watch::Receiver<Option<Departure>> {
        self.departure.subscribe()
    }

    /// Updates the departure, if there is one.
    pub fn update_departure(&self, f: impl FnOnce(&mut Departure)) {
        self.departure.send_if_modified(|d| match d {
            Some(departure) => {
                f(departure);
                true
            }
            None => false,
        });
    }

    /// Whether its departure is known.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.departure.borrow().is_some()
    }

    /// Sets the version if it was not known. Returns whether it is now.
    pub(super) fn learn_version(&self, version: &str) -> bool {
        !version.is_empty() && self.version.set(version.to_owned()).is_ok()
    }

    /// Sets the time at which it will be warm.
    pub(super) fn warm_up_until(&self, time: Time) {
        self.warm_up_ends_at.set(time);
    }

    /// The time at which it will be, or was, warm.
    pub(super) fn warm_up_ends_at(&self) -> Time {
        self.warm_up_ends_at.get()
    }

    /// Announces its departure.
    pub(super) fn announce_departure(&self, departure: Departure) {
        self.departure.send_replace(Some(departure));
    }
}
