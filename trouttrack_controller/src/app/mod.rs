//! Putting the controller together.

mod metrics;
mod start;

pub use metrics::Metrics;
pub use start::{AppError, Controller, Shared, Tools, run, start};
