//! A budget that keeps retries from melting what still works.

/// Retries allowed when there has been no traffic for a while.
const SMALLEST: f64 = 10.0;
/// The most retries that can be saved up.
const LARGEST: f64 = 100.0;

/// Allows retries in proportion to first attempts.
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
    saved: f64,
}

impl RetryBudget {
    /// Allows `ratio` retries for each first attempt.
    #[must_use]
    pub fn new(ratio: f64) -> Self {
        Self {
            ratio,
            saved: SMALLEST,
        }
    }

    /// A request was handed over for the first time.
    pub fn first_attempt(&mut self) {
        self.saved = (self.saved + self.ratio).min(LARGEST);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn try_retry(&mut self) -> bool {
        // A tenth added ten times is a little less than one.
        const ROUNDING: f64 = 1e-9;
        if self.saved + ROUNDING < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
