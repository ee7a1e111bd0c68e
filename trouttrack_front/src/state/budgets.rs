//! Retry budgets, one per service.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use trouttrack_config::settings::RetrySettings;
use trouttrack_core::request::SharedBudget;
use trouttrack_core::{ServiceId, Time};

/// This VM's share of the fleet's retry budgets.
#[derive(Debug)]
pub struct Budgets {
    settings: RetrySettings,
    /// Random per VM.
    seed: u64,
    /// Number of VMs that share the budgets; `None` until any is listed.
    vms: Cell<Option<usize>>,
    by_service: RefCell<HashMap<ServiceId, SharedBudget>>,
}

impl Budgets {
    /// Creates unused budgets.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            seed: rand::random(),
            vms: Cell::default(),
            by_service: RefCell::default(),
        }
    }

    /// Sets the number of VMs that share the budgets.
    pub fn set_vms(&self, vms: usize) {
        self.vms.set(Some(vms.max(1)));
    }

    /// Counts the first attempt of a request to a service.
    pub fn first_attempt(&self, now: Time, service: &str) {
        self.with(service, |budget| budget.first_attempt(now));
    }

    /// Takes one retry if the budget allows it. No retry is allowed while the number of VMs is
    /// unknown: any assumed number would be too small for some fleet.
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
