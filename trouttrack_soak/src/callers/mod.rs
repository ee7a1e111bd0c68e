//! Callers, and what they are told.

mod ask;
mod call;
mod hard_load;
mod late;
mod returns;

pub(crate) use ask::{Callers, FATAL_ID, FATAL_PART_ID};
pub(crate) use call::is_success;
pub use call::{Call, Told};
pub use returns::Broken;
