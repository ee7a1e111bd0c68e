//! What the gateway adds to the way of a token, against the engine itself.
//!
//! Both ways are measured in one run, in turn, against the same engines:
//!
//! - *ratio*: tokens a second through the gateway over tokens a second
//!   straight from the engines, while the engines' pace is the limit;
//! - *added*: each stream is read through the gateway and, attached by its
//!   stream id, straight from its engine; a token's added time is the
//!   difference of the two arrivals in the same thread;
//! - *tokens a core*: tokens over the gateway's processor time, with engines
//!   that are as fast as they can be.

mod added;
mod run;
mod throughput;

pub use added::{Added, added};
pub use run::{PathError, PathOptions, measure};
pub use throughput::{Throughput, throughput};
