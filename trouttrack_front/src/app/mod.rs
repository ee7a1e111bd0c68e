//! Startup, settings reload and graceful shutdown of a front.

mod error;
mod reload;
mod start;
mod stop;

pub use error::AppError;
pub use start::{Running, run, start};
pub use stop::graceful_stop as stop;
