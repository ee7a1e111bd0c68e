//! Carrying a plan out, and remembering what was disturbed when.

mod carry_out;
mod history;
mod lasting;
mod releases;
mod store;
mod upstreams;

pub(crate) use carry_out::Faults;
pub use history::{Disturbance, History};
pub use lasting::{Lasting, Slow};
