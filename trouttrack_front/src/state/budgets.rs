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
    /// Number of VMs that share the budgets; `None` until all are listed.
    vms: Cell<Option<usize>>,
    /// Whether this VM runs for the first time.
    is_first_run: Cell<bool>,
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
            is_first_run: Cell::default(),
            by_service: RefCell::default(),
        }
    }

    /// Sets the number of VMs that share the budgets.
    pub fn set_vms(&self, vms: usize) {
        self.vms.set(Some(vms.max(1)));
    }

    /// Records that this VM runs for the first time, so that it has spent nothing before.
    pub fn set_first_run(&self) {
        self.is_first_run.set(true);
        let mut all = self.by_service.borrow_mut();
        all.values_mut().for_each(SharedBudget::set_unspent);
    }

    /// Counts the first attempt of a request to a service.
    pub fn first_attempt(&self, now: Time, service: &str) {
        self.with(service, |budget| budget.first_attempt(now));
    }

    /// Takes one retry if the budget allows it.
    pub fn try_retry(&self, now: Time, service: &str) -> bool {
        let vms = self.vms.get();
        self.with(service, |budget| match vms {
            Some(vms) => budget.try_retry(now, vms),
            None => budget.try_retry_of_own(now),
        })
    }

    fn with<T>(&self, service: &str, f: impl FnOnce(&mut SharedBudget) -> T) -> T {
        let mut all = self.by_service.borrow_mut();
        if let Some(budget) = all.get_mut(service) {
            return f(budget);
        }
        f(all.entry(service.to_owned()).or_insert(self.new_budget()))
    }

    fn new_budget(&self) -> SharedBudget {
        let s = self.settings;
        let mut budget = SharedBudget::new(s.ratio, s.extra, s.window).seeded(self.seed);
        if self.is_first_run.get() {
            budget.set_unspent();
        }
        budget
    }
}
