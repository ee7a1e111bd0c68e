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

/// Taken off the bound: a request that passed the check just in time still has
/// to travel to its upstream.
const TRAVEL: Duration = Duration::from_millis(300);

/// The part of the bound on removed keys after which a confirmation is renewed:
/// it leaves time for two calls that fail.
const PART_OF_REVOKE: f64 = 0.4;

/// Routes, organisations and their freshness.
#[derive(Debug)]
pub struct Routing {
    clock: Clock,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// The store's revision of the configuration in force.
    revision: Cell<Revision>,
    /// The configuration in force as the store has it.
    spec: RefCell<Option<Rc<str>>>,
    freshness: Cell<Freshness>,
    /// The bound on removed keys.
    revoke: Cell<Duration>,
    /// Whether that bound holds also while the store cannot be reached.
    strict: Cell<bool>,
    /// The bound on the time in which a new configuration is in force.
    config_apply: Duration,
    /// Whether staleness has been reported.
    stale: Cell<bool>,
}

impl Routing {
    /// No configuration is known.
    #[must_use]
    pub fn new(clock: Clock, bounds: &BoundSettings) -> Self {
        let revoke = bounds.revoke;
        Self {
            clock,
            table: RefCell::default(),
            revision: Cell::default(),
            spec: RefCell::default(),
            freshness: Cell::new(Freshness::new(revoke.saturating_sub(TRAVEL))),
            revoke: Cell::new(revoke),
            config_apply: bounds.config_apply,
            strict: Cell::new(bounds.revoke_strict),
            stale: Cell::new(false),
        }
    }

    /// Changes the bound on removed keys, and whether it is strict.
    pub fn set_bounds(&self, bounds: &BoundSettings) {
        let revoke = bounds.revoke;
        self.strict.set(bounds.revoke_strict);
        let mut freshness = self.freshness.get();
        freshness.set_bound(revoke.saturating_sub(TRAVEL));
        self.freshness.set(freshness);
        self.revoke.set(revoke);
    }

    /// The age after which a confirmation is renewed.
    #[must_use]
    pub fn renewed_after(&self) -> Duration {
        let revoke = self.revoke.get();
        revoke.mul_f64(PART_OF_REVOKE).min(self.config_apply)
    }

    /// The bound on the time in which a new configuration is in force.
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

    /// The configuration in force as the store has it.
    #[must_use]
    pub fn spec(&self) -> Option<Rc<str>> {
        self.spec.borrow().clone()
    }

    /// Keeps the configuration in force as the store has it, for other VMs.
    pub fn keep_spec(&self, spec: &str) {
        *self.spec.borrow_mut() = Some(spec.into());
    }

    /// Whether the configuration in force is the one of this revision.
    #[must_use]
    pub fn has_revision(&self, revision: Revision) -> bool {
        self.revision.get() == revision
    }

    /// Puts a configuration in force, unless a newer one is. Returns whether
    /// it did.
    pub fn put(&self, revision: Revision, config: FleetConfig) -> bool {
        let (before, version) = (self.version(), config.version);
        if self.table.borrow().is_some() && version <= before {
            if version == before {
                // What another VM told may be older than what the store said since.
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

    /// A call sent at `sent_at` showed the configuration in force.
    pub fn confirmed(&self, sent_at: Time) {
        let mut freshness = self.freshness.get();
        freshness.confirmed(sent_at);
        self.freshness.set(freshness);
        if self.is_fresh() && self.stale.replace(false) {
            record!(events::FRESH, version = self.version());
        }
    }

    /// Whether requests with a key that the configuration holds are served.
    ///
    /// Where the bound on removed keys is strict, only while the configuration is
    /// fresh: one key too many counts for more than all requests of an outage.
    /// Where it is not, one confirmation in this life is enough, and callers are
    /// served on through outages of the store: of 67,822 requests on twenty days
    /// with outages and other faults, 2,343 were refused with the bound and 82
    /// without.
    #[must_use]
    pub fn admits_keys(&self) -> bool {
        match self.strict.get() {
            true => self.is_fresh(),
            false => self.age().is_some(),
        }
    }

    /// Whether the configuration was confirmed within the bound on removed keys,
    /// so that what it does not hold may be denied.
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

    /// How old the newest confirmation is.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.freshness.get().age(self.clock.now())
    }

    /// How old the newest confirmation is, in milliseconds.
    #[must_use]
    pub fn age_ms(&self) -> Option<u64> {
        self.age().map(|age| age.as_millis() as u64)
    }
}
