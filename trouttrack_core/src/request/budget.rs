//! Retry budget that prevents retries from overloading the remaining upstreams.

/// Retries available before any traffic.
const INITIAL_RETRIES: f64 = 10.0;
/// Maximum number of unused retries that accumulate.
const MAX_RETRIES: f64 = 100.0;

/// Permits retries in proportion to first attempts.
///
/// # Examples
///
/// ```
/// use trouttrack_core::request::RetryBudget;
/// let mut budget = RetryBudget::new(0.1);
/// for _ in 0..10 {
///     assert!(budget.try_retry());
/// }
/// assert!(!budget.try_retry());
/// for _ in 0..10 {
///     budget.first_attempt();
/// }
/// assert!(budget.try_retry());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    available: f64,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per first attempt.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            available: INITIAL_RETRIES,
        }
    }

    /// Records the first attempt of a request.
    pub fn first_attempt(&mut self) {
        self.available = (self.available + self.ratio).min(MAX_RETRIES);
    }

    /// Takes one retry from the budget. Returns whether one was available.
    pub fn try_retry(&mut self) -> bool {
        // Ten additions of 0.1 give slightly less than 1.0.
        const TOLERANCE: f64 = 1e-9;
        if self.available + TOLERANCE < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
