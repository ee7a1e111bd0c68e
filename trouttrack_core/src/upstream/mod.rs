//! The table of upstreams: engines and plain services.

mod backlog;
mod circuit;
mod incarnation;
mod losses;
mod rate_limit;
mod refusals;
mod row;
mod runs;
mod shared_rate;
mod spec;
mod table;
mod words;

pub(crate) use backlog::Backlog;
pub use circuit::{Circuit, CircuitState};
pub use incarnation::Incarnation;
pub use rate_limit::{RateLimit, RateStatement, ToldLimit};
pub use row::{Upstream, UpstreamKey};
pub use runs::OwnRun;
pub(crate) use runs::{PeerUse, Teller};
pub use shared_rate::RateShare;
pub(crate) use shared_rate::ToldHandovers;
pub use spec::{Report, Spec};
pub use table::{Serving, UpstreamTable};
pub use words::{LONGEST_PAUSE, Said, Word, Words};
