//! The table of upstreams: engines and plain services.

mod circuit;
mod row;
mod table;

pub use circuit::{Circuit, CircuitState};
pub(crate) use row::Backlog;
pub use row::{OwnRun, PeerUse, Report, Spec, Upstream, UpstreamKey};
pub use table::{Serving, UpstreamTable};
