//! Moving running generations away from an engine that leaves.

mod ask;
mod carry;
mod observe;
mod task;

pub(crate) use ask::ask_engines;
pub(crate) use carry::Carry;
pub(crate) use observe::observe;
pub(crate) use task::{Carried, CarryTask, Moved};
