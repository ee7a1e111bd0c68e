//! Running requests per organisation, for limits on their number.

use crate::OrganisationId;
use std::collections::HashMap;

/// Number of running requests per organisation.
#[derive(Debug, Default)]
pub struct Limits {
    running: HashMap<OrganisationId, usize>,
}

impl Limits {
    pub(crate) fn running(&self, organisation: &str) -> usize {
        self.running.get(organisation).copied().unwrap_or(0)
    }

    pub(crate) fn add(&mut self, organisation: &str) {
        *self.running.entry(organisation.to_owned()).or_default() += 1;
    }

    pub(crate) fn remove(&mut self, organisation: &str) {
        if let Some(n) = self.running.get_mut(organisation) {
            *n = n.saturating_sub(1);
            if *n == 0 {
                self.running.remove(organisation);
            }
        }
    }
}
