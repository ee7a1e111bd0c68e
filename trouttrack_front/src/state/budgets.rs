//! Retry budgets, one a service.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use trouttrack_config::settings::RetrySettings;
use trouttrack_core::request::SharedBudget;
use trouttrack_core::{ServiceId, Time};

/// VMs that the budget is taken to be shared by while their number is not known. A fifth of
/// the budget is used in a VM's first window, so that the sum stays within the bound when
/// up to five times as many start together.
const VMS_UNTIL_KNOWN: usize = 512;

/// This VM's part of the fleet's retry budgets.
#[derive(Debug)]
pub struct Budgets {
    settings: RetrySettings,
    /// Differs from VM to VM.
    seed: u64,
    vms: Cell<usize>,
    by_service: RefCell<HashMap<ServiceId, SharedBudget>>,
}

impl Budgets {
    /// Nothing is spent.
    #[must_use]
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            seed: rand::random(),
            vms: Cell::new(VMS_UNTIL_KNOWN),
            by_service: RefCell::default(),
        }
    }

    /// The number of VMs that share the budgets.
    pub fn set_vms(&self, vms: usize) {
        self.vms.set(vms.max(1));
    }

    /// A request is sent to a service for the first time.
    pub fn first_attempt(&self, now: Time, service: &str) {
        self.with(service, |budget| budget.first_attempt(now));
    }

    /// Takes one retry, if there is one left.
    pub fn try_retry(&self, now: Time, service: &str) -> bool {
        let vms = self.vms.get();
        self.with(service, |budget| budget.try_retry(now, vms))
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
