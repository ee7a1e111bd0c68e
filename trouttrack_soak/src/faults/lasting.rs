//! Faults of a kind that last at the same time.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use trouttrack_platform_standin::StoreFault;

/// What lasts, in the order of the beginnings. The end of one leaves the others in force.
#[derive(Debug)]
pub struct Lasting<T> {
    all: RefCell<Vec<(u64, T)>>,
    begun: Cell<u64>,
}

impl<T> Default for Lasting<T> {
    fn default() -> Self {
        Self {
            all: RefCell::default(),
            begun: Cell::default(),
        }
    }
}

impl<T> Lasting<T> {
    /// One begins; returns its number.
    pub fn begin(&self, what: T) -> u64 {
        let number = self.begun.get() + 1;
        self.begun.set(number);
        self.all.borrow_mut().push((number, what));
        number
    }

    /// The one of a number ends.
    pub fn end(&self, number: u64) {
        self.all.borrow_mut().retain(|(n, _)| *n != number);
    }
}

impl Lasting<StoreFault> {
    /// How the store fails: as by the latest fault, but while it is to be away it does not answer.
    ///
    /// ```
    /// use trouttrack_platform_standin::StoreFault;
    /// use trouttrack_soak::faults::Lasting;
    ///
    /// let faults = Lasting::default();
    /// let silent = faults.begin(StoreFault::Silent);
    /// faults.begin(StoreFault::DeafWatches);
    /// assert!(matches!(faults.fault(), StoreFault::Silent));
    /// faults.end(silent);
    /// assert!(matches!(faults.fault(), StoreFault::DeafWatches));
    /// ```
    #[must_use]
    pub fn fault(&self) -> StoreFault {
        let all = self.all.borrow();
        let latest = all.iter().rev().map(|(_, fault)| *fault);
        let mut away = latest.clone().filter(|f| !answers(*f));
        away.next()
            .or_else(|| latest.clone().next())
            .unwrap_or(StoreFault::None)
    }
}

fn answers(fault: StoreFault) -> bool {
    matches!(fault, StoreFault::None | StoreFault::DeafWatches)
}

/// An engine that is slow.
#[derive(Clone, Debug)]
pub struct Slow {
    /// The engine.
    pub engine: String,
    /// The time between two of its events.
    pub pace: Duration,
}

impl Lasting<Slow> {
    /// The time between two events of an engine: the longest, and `usual` if it is not slow.
    #[must_use]
    pub fn pace(&self, engine: &str, usual: Duration) -> Duration {
        let all = self.all.borrow();
        let slow = all.iter().filter(|(_, slow)| slow.engine == engine);
        slow.map(|(_, slow)| slow.pace).max().unwrap_or(usual)
    }
}
