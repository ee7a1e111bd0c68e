//! A randomized soak of the front.
//!
//! Real `trouttrack_front` processes run before stand-ins of the store and of
//! upstreams. Faults come from outside them: signals, links through loopback
//! proxies, a store and upstreams that misbehave, changes of the configuration
//! and of the settings. What is done when is drawn from a seed. Meanwhile
//! callers keep asking, and at the end what they were told is held against the
//! upstreams' books.
//!
//! - [`plan`] draws what is done when.
//! - [`bed`] is the fleet.
//! - [`vm`] runs a front as a process, and starts it again when it ends.
//! - [`link`] is a proxy that delays, cuts and resets.
//! - [`faults`] carries the plan out, and remembers what was disturbed when.
//! - [`callers`] ask, and note what they are told.
//! - [`check`] finds broken promises.
//!
//! The front reads no time of day and keeps nothing on a disk, so neither a
//! clock nor storage can be made to misbehave here.

pub mod bed;
pub mod callers;
pub mod check;
pub mod faults;
pub mod link;
pub mod plan;
pub mod run;
pub mod vm;

pub use check::Finding;
pub use plan::{Plan, Size};
pub use run::{Outcome, SoakError, SoakOptions, run};
