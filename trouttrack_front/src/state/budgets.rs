//! Retry budgets, one a service.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use trouttrack_config::settings::RetrySettings;
use trouttrack_core::request::SharedBudget;
use trouttrack_core::{ServiceId, Time};

/// This VM's part of the fleet's retry budgets.
#[derive(Debug)]
pub struct Budgets {
    settings: RetrySettings,
    /// Differs from VM to VM.
    seed: u64,
    /// How many VMs share the budgets; `None` until any is listed.
    vms: Cell<Option<usize>>,
    by_service: RefCell<HashMap<ServiceId, SharedBudget>>,
}

impl Budgets {
    /// Nothing is spent.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            seed: rand::random(),
            vms: Cell::default(),
            by_service: RefCell::default(),
        }
    }

    /// The number of VMs that share the budgets.
    pub fn set_vms(&self, vms: usize) {
        self.vms.set(Some(vms.max(1)));
    }

    /// A request is sent to a service for the first time.
    pub fn first_attempt(&self, now: Time, service: &str) {
        self.with(service, |budget| budget.first_attempt(now));
    }

    /// Takes one retry, if there is one left. There is none while the number of VMs is not
    /// known: any number that were assumed would be too small for some fleet.
    pub fn try_retry(&self, now: Time, service: &str) -> bool {
        let retry = |vms| self.with(service, |budget| budget.try_retry(now, vms));
        self.vms.get().is_some_and(retry)
    }

    fn with<T>(&self, service: &str, f: impl FnOnce(&mut SharedBudget) -> T) -> T {
        let mut all = self.by_service.borrow_mut();
        if let Some(budget) = all.get_mut(service) {
            return f(budget);
        }
        let s = self.settings;
        let budget = SharedBudget::new(s.ratio, s.extra, s.window).seeded(self.seed);
        f(all.entry(service.to_owned()).or_insert(budget))
    }
}
