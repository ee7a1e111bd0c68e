//! The configuration in force, and whether it is known to be current.

use super::clock::Clock;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_config::settings::BoundSettings;
use trouttrack_core::fleet::{FleetConfig, RouteTable};
use trouttrack_core::freshness::Freshness;
use trouttrack_core::membership::Revision;
use trouttrack_core::{ConfigVersion, Time};
use trouttrack_telemetry::{events, record};

/// Subtracted from the revocation bound: a request that passes the key check at the last
/// moment still has to reach its upstream within the bound.
const FORWARD_ALLOWANCE: Duration = Duration::from_millis(300);

/// Fraction of the revocation bound after which a confirmation is renewed; leaves time for
/// two failed calls.
const RENEWAL_RATIO: f64 = 0.4;

/// Routes and organisations in force, and the freshness of their confirmation.
#[derive(Debug)]
pub struct Routing {
    clock: Clock,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// The store's revision of the configuration in force.
    revision: Cell<Revision>,
    /// The configuration in force, serialized as in the store.
    spec: RefCell<Option<Rc<str>>>,
    freshness: Cell<Freshness>,
    /// Revocation bound: the time within which a removed key must stop working.
    revoke: Cell<Duration>,
    /// Whether the revocation bound also applies while the store is unreachable.
    strict: Cell<bool>,
    /// Time within which a new configuration must be in force.
    config_apply: Duration,
    /// Whether staleness has been reported.
    stale: Cell<bool>,
}

impl Routing {
    /// Starts without a configuration.
    #[must_use]
    pub fn new(clock: Clock, bounds: &BoundSettings) -> Self {
        let revoke = bounds.revoke;
        Self {
            clock,
            table: RefCell::default(),
            revision: Cell::default(),
            spec: RefCell::default(),
            freshness: Cell::new(Freshness::new(revoke.saturating_sub(FORWARD_ALLOWANCE))),
            revoke: Cell::new(revoke),
            config_apply: bounds.config_apply,
            strict: Cell::new(bounds.revoke_strict),
            stale: Cell::new(false),
        }
    }

    /// Changes the revocation bound, and whether it is strict.
    pub fn set_bounds(&self, bounds: &BoundSettings) {
        let revoke = bounds.revoke;
        self.strict.set(bounds.revoke_strict);
        let mut freshness = self.freshness.get();
        freshness.set_bound(revoke.saturating_sub(FORWARD_ALLOWANCE));
        self.freshness.set(freshness);
        self.revoke.set(revoke);
    }

    /// The age after which a confirmation is renewed.
    #[must_use]
    pub fn renewed_after(&self) -> Duration {
        let revoke = self.revoke.get();
        revoke.mul_f64(RENEWAL_RATIO).min(self.config_apply)
    }

    /// Time within which a new configuration must be in force.
    #[must_use]
    pub fn apply_within(&self) -> Duration {
        self.config_apply
    }

    /// The configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// The version in force; 0 if there is none.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.table.borrow().as_ref().map_or(0, |t| t.version())
    }

    /// Whether a configuration is known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.table.borrow().is_some()
    }

    /// The store's revision of the configuration in force; the default one if there is none.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.revision.get()
    }

    /// The configuration in force, serialized as in the store.
    #[must_use]
    pub fn spec(&self) -> Option<Rc<str>> {
        self.spec.borrow().clone()
    }

    /// Keeps the serialized configuration in force, to be sent to other VMs.
    pub fn keep_spec(&self, spec: &str) {
        *self.spec.borrow_mut() = Some(spec.into());
    }

    /// Whether the configuration in force has this revision.
    #[must_use]
    pub fn has_revision(&self, revision: Revision) -> bool {
        self.revision.get() == revision
    }

    /// Puts a configuration in force unless its version is not newer than the current one.
    /// Returns whether it did.
    pub fn put(&self, revision: Revision, config: FleetConfig) -> bool {
        let (before, version) = (self.version(), config.version);
        if self.table.borrow().is_some() && version <= before {
            if version == before {
                // A revision received from another VM may be older than the one read from the store.
                self.revision.set(self.revision.get().max(revision));
            }
            return false;
        }
        record!(
            events::CONFIG_IN_FORCE,
            version = version,
            before = before,
            epoch = revision.epoch,
            revision = revision.number,
            routes = config.routes.len(),
        );
        *self.table.borrow_mut() = Some(Rc::new(RouteTable::new(config)));
        self.revision.set(revision);
        true
    }

    /// Records that a call sent at `sent_at` confirmed the configuration in force.
    pub fn confirmed(&self, sent_at: Time) {
        let mut freshness = self.freshness.get();
        freshness.confirmed(sent_at);
        self.freshness.set(freshness);
        if self.is_fresh() && self.stale.replace(false) {
            record!(events::FRESH, version = self.version());
        }
    }

    /// Whether requests with a key in the configuration are served.
    ///
    /// If the revocation bound is strict, they are served only while the configuration is
    /// fresh: accepting one revoked key is worse than refusing all requests during an outage.
    /// Otherwise one confirmation since the process started is enough, and callers are served
    /// throughout outages of the store.
    #[must_use]
    pub fn admits_keys(&self) -> bool {
        match self.strict.get() {
            true => self.is_fresh(),
            false => self.age().is_some(),
        }
    }

    /// Whether the configuration was confirmed within the revocation bound, so that keys and
    /// routes missing from it may be rejected.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        let freshness = self.freshness.get();
        let now = self.clock.now();
        let fresh = freshness.is_fresh(now);
        if !fresh && !self.stale.replace(true) {
            let age = freshness.age(now).map(|a| a.as_millis() as u64);
            record!(events::STALE, version = self.version(), age_ms = age);
        }
        fresh
    }

    /// Age of the newest confirmation.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.freshness.get().age(self.clock.now())
    }

    /// Age of the newest confirmation in milliseconds.
    #[must_use]
    pub fn age_ms(&self) -> Option<u64> {
        self.age().map(|age| age.as_millis() as u64)
    }
}
