//! Putting the parts together, and stopping them in order.

mod error;
mod reload;
mod start;
mod stop;

pub use error::AppError;
pub use start::{Running, run, start};
pub use stop::planned as stop;
