//! Driving a request through its attempts.

mod attempt;
mod end;
mod events;
mod fingerprint;
pub(crate) mod plain;
mod retry;
pub(crate) mod stream;
mod submission;
mod suspicion;

pub use events::EventReader;

pub(crate) use end::End;
