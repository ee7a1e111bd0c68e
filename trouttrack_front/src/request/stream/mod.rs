//! A stream of events, passed on as they come.
//!
//! - [`serve`] takes a stream in and waits for its head.
//! - [`run`] drives the request through its attempts.
//! - [`send`] sends it to one upstream.
//! - [`retry`] says whether it is sent again.
//! - [`finish`] ends it.
//! - [`relay`] passes on what one upstream sends, and goes on at another when
//!   the generation is moved.
//! - [`output`] is the caller's end of it.

mod finish;
mod output;
mod relay;
mod retry;
mod run;
mod send;
mod serve;

pub(crate) use serve::serve;
