//! Small stand-ins for what trouttrack meets outside itself.
//!
//! Each is a face, not a simulator: [`engine`] (over the model of
//! `trouttrack_engine`), [`plain`] services and the [`platform`]'s object API
//! with its VM list. Faults are set by request, so that a test causes them.
//! They are for tests and demonstrations and are not shipped.

pub mod engine;
pub mod plain;
pub mod platform;

mod ledger;
mod server;

pub use server::{Running, StandInError};
