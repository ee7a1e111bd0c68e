//! What came of it.

/// What came of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Engines that ended under the request that ends them.
    pub ended: usize,
    /// Times that it was sent, by VMs that nothing had befallen for three seconds, later
    /// than three seconds after the third engine had ended under it.
    pub sent_late: usize,
    /// Times that it was refused.
    pub refused: usize,
    /// Other requests that came.
    pub others: usize,
    /// Other requests that lost an engine.
    pub others_broken: usize,
    /// Other requests that were refused for what ended beside them.
    pub others_refused: usize,
    /// Bytes that the VM that told the most has told.
    pub most_told: usize,
    /// Requests that the VM that remembers the most remembered at the end.
    pub most_remembered: usize,
}
