//! A stream of events, passed on as they come.
//!
//! - [`run`] drives the request through its attempts and ends it.
//! - [`relay`] passes on what one upstream sends, and goes on at another when
//!   the generation is moved.
//! - [`output`] is the caller's end of it.

mod output;
mod relay;
mod run;

pub(crate) use run::serve;
