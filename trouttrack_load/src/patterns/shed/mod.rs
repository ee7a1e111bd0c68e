//! Upstreams that turn work away, or leave by their answers' word, before many VMs.
//!
//! Plain calls that may not be repeated, so that each refusal costs a caller its answer. An
//! upstream that refuses does so at once, and so has nothing running. A VM that was refused
//! tells the others of its failure domain so, with delay and loss.

mod layout;
mod play;
mod told;
mod word;

pub use play::play_shed;
pub use word::{Heeds, ShedOutcome, Word};
