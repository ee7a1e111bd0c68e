//! Driving a request through its attempts.

mod attempt;
mod end;
mod events;
pub mod plain;
mod retry;
pub mod stream;

pub use events::EventReader;

pub(crate) use end::End;
