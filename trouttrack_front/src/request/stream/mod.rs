//! Event streams, forwarded as they arrive.
//!
//! - [`serve`] accepts a request and waits for the head of its response.
//! - [`resume`] finds out which software version began a returning caller's stream.
//! - [`run`] drives the request through its attempts.
//! - [`send`] sends it to an upstream.
//! - [`retry`] decides whether it is sent again.
//! - [`finish`] reports its outcome.
//! - [`source`] receives the stream of an upstream.
//! - [`relay`] forwards it.
//! - [`continuation`] resumes it at another upstream, from a copy of the generation.
//! - [`output`] writes it to the caller.
//! - [`pace`] measures the pauses between its events.

mod continuation;
mod finish;
mod output;
mod pace;
mod relay;
mod resume;
mod retry;
mod run;
mod send;
mod serve;
mod source;

pub use pace::EventPace;
pub(crate) use serve::serve;
