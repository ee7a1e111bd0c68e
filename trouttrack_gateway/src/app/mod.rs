//! Putting the gateway together, and stopping it in order.

mod error;
mod shared;
mod start;
mod stop;

pub use error::AppError;
pub use shared::{InFlightGuard, Shared, Source, load_fleet};
pub use start::{Gateway, run, start};
