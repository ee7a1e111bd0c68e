//! Moving running generations away from an engine that leaves.

mod carry;
mod observe;

pub use carry::{Carried, Carry, CarryTask, Moved};
pub use observe::observe;
