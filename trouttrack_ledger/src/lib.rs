//! Which requests were lost, late or refused, and why: put together from the JSON
//! logs of the fronts, whose events are listed in `docs/EVENTS.md`.
//!
//! - [`line`](mod@line) reads what a log line says of a request.
//! - [`Ledger`] counts each request once, by what it ended as.
//! - [`chart`] draws it over time.
//! - [`Bound`] tells what nobody could have saved, priced by a [`Sheet`].

mod bound;
pub mod chart;
mod ledger;
pub mod line;

pub use bound::{Account, Bound, KindOfRequest, Loss, Sheet};
pub use chart::ChartError;
pub use ledger::{Entry, Key, Ledger, Outcome};
