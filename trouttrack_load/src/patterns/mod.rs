//! Patterns of heavy load, played without network.
//!
//! Several VMs' tables run in one process and in virtual time. They exchange what they
//! tell each other with delay and loss, and choose among engines of the
//! [model](trouttrack_engine). A [`Pattern`] is a load that has been seen to overwhelm a
//! fleet; [`play`] says how its callers fared. The same input gives the same outcome.

mod fleet;
mod outcome;
mod pattern;
mod settings;
mod shed;
mod telling;

pub use fleet::play;
pub use outcome::Outcome;
pub use pattern::{Layout, Pattern};
pub use shed::{Heeds, ShedOutcome, Word, play_shed};
pub use telling::Telling;
