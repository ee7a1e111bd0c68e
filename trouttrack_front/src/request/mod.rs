//! Execution of a request: placement, attempts, retries and the final response.

mod attempt;
mod end;
mod events;
mod fingerprint;
pub(crate) mod plain;
mod quarantine;
mod retry;
pub(crate) mod stream;
mod submission;

pub use events::EventReader;
pub use stream::EventPace;

pub(crate) use end::End;
