//! Requests under which upstreams ended, as far as this VM knows.

use super::clock::Clock;
use super::upstreams::Upstream;
use std::cell::RefCell;
use tokio::sync::Notify;
use trouttrack_core::Fingerprint;
use trouttrack_core::quarantine::{Hold, Quarantine, QuarantineSettings, Suspect};
use trouttrack_telemetry::{events, record};

/// Requests that are told to a VM that knows others: at 60 bytes an end, some 10 kB.
const MOST_TOLD: usize = 48;

/// Requests under which upstreams ended, and what the other VMs are to hear of them.
#[derive(Debug)]
pub struct Suspects {
    clock: Clock,
    table: RefCell<Quarantine>,
    /// Those of which the other VMs are to hear at once.
    to_tell: RefCell<Vec<Fingerprint>>,
    news: Notify,
}

impl Suspects {
    /// Nothing is known yet.
    #[must_use]
    pub fn new(clock: Clock, settings: QuarantineSettings) -> Self {
        Self {
            clock,
            table: RefCell::new(Quarantine::new(settings)),
            to_tell: RefCell::default(),
            news: Notify::new(),
        }
    }

    /// Whether nothing is known against any request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.table.borrow().is_empty()
    }

    /// How many requests are held.
    #[must_use]
    pub fn held(&self) -> usize {
        self.table.borrow().held(self.clock.now())
    }

    /// Whether a request is to be run by no upstream.
    #[must_use]
    pub fn hold(&self, request: Fingerprint) -> Option<Hold> {
        self.table.borrow().hold(self.clock.now(), request)
    }

    /// An upstream ended while it ran a request of this VM: the other VMs hear of it.
    pub fn ended(&self, request: Fingerprint, upstream: &Upstream) {
        let now = self.clock.now();
        let was_held = self.hold(request).is_some();
        let new = self
            .table
            .borrow_mut()
            .ended(now, request, &upstream.incarnation());
        if !new {
            return;
        }
        record!(
            events::ENDED_UNDER,
            upstream = upstream.id.as_str(),
            born = upstream.born,
            fingerprint = text(request).as_str(),
        );
        if !was_held {
            self.log_hold(request, "own");
        }
        self.tell(request);
    }

    /// A run of a request came to its end.
    pub fn ran_well(&self, request: Fingerprint) {
        let now = self.clock.now();
        if self.table.borrow_mut().ran_well(now, request) {
            record!(events::RAN_WELL, fingerprint = text(request).as_str());
            self.tell(request);
        }
    }

    fn tell(&self, request: Fingerprint) {
        self.to_tell.borrow_mut().push(request);
        self.news.notify_one();
    }

    /// Waits until the other VMs are to hear of something at once.
    pub async fn news(&self) {
        self.news.notified().await;
    }

    /// What the other VMs are to hear at once.
    #[must_use]
    pub fn take_news(&self) -> Vec<Suspect> {
        let requests = std::mem::take(&mut *self.to_tell.borrow_mut());
        self.table.borrow().told_of(self.clock.now(), &requests)
    }

    /// What a VM is told that knows something else.
    #[must_use]
    pub fn told(&self) -> Vec<Suspect> {
        self.table.borrow().told(self.clock.now(), MOST_TOLD)
    }

    /// Takes in what a peer knows.
    pub fn hear(&self, told: &[Suspect], peer: &str) {
        let held = self.table.borrow_mut().hear(self.clock.now(), told);
        for request in held {
            self.log_hold(request, peer);
        }
    }

    /// A sum over all that counts: VMs with the same one know the same.
    #[must_use]
    pub fn checksum(&self) -> u64 {
        self.table.borrow().checksum()
    }

    /// Forgets what is older than a hold.
    pub fn expire(&self) {
        self.table.borrow_mut().expire(self.clock.now());
    }

    fn log_hold(&self, request: Fingerprint, told_by: &str) {
        if let Some(hold) = self.hold(request) {
            record!(
                events::HELD,
                fingerprint = text(request).as_str(),
                ends = hold.ends,
                left_ms = hold.left.as_millis() as u64,
                told_by = told_by,
            );
        }
    }
}

/// A fingerprint as it stands in the logs.
#[must_use]
pub fn text(request: Fingerprint) -> String {
    format!("{request:032x}")
}
