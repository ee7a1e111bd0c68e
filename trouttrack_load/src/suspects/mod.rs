//! Requests that end what runs them, among those that merely run there.
//!
//! Several VMs remember under which requests engines ended, each with the tables that the
//! program uses, and tell each other with delay, loss, cuts and restarts, in virtual time.
//! [`play`] says how many engines ended, how much of that after all VMs had to know, and
//! who was refused that had ended nothing. The same input gives the same outcome.

mod layout;
mod outcome;
mod play;
mod told;

pub use layout::{Layout, Trouble};
pub use outcome::Outcome;
pub use play::play;
