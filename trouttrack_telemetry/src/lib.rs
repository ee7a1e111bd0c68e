//! What every program needs to be watched: logs, numbered events, traces, TLS.
//!
//! - [`events`] is the catalogue of numbered events and the way to log one;
//!   [`record!`] logs one with typed fields.
//! - [`logs`] sets up `logforth` from the settings.
//! - [`program`] has what the mains share.
//! - [`trace`] makes a span for each hop and exports them by OTLP.
//! - [`tls`] loads keys and loads them again when the files change.

pub mod events;
pub mod logs;
pub mod program;
pub mod tls;
pub mod trace;
