//! A stream of events, passed on as they come.
//!
//! - [`serve`] takes a stream in and waits for its head.
//! - [`run`] drives the request through its attempts.
//! - [`send`] sends it to one upstream.
//! - [`retry`] says whether it is sent again.
//! - [`finish`] ends it.
//! - [`source`] is an upstream that sends a stream.
//! - [`relay`] passes on what it sends.
//! - [`go_on`] goes on at another upstream when the generation is moved.
//! - [`output`] is the caller's end of it.

mod finish;
mod go_on;
mod output;
mod relay;
mod retry;
mod run;
mod send;
mod serve;
mod source;

pub(crate) use serve::serve;
