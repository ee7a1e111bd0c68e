//! The table of upstreams: engines and plain services.

mod circuit;
mod row;

pub use circuit::{Circuit, CircuitState};
pub(crate) use row::Backlog;
pub use row::{OwnRun, PeerUse, Report, Serving, Spec, Upstream, UpstreamKey, UpstreamTable};
