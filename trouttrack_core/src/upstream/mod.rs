//! Upstreams (engines and plain services): their state, load and limits.

mod backlog;
mod brittle;
mod circuit;
mod incarnation;
mod losses;
mod notices;
mod places;
mod rate_limit;
mod reachability;
mod refusals;
mod retained;
mod room;
mod row;
mod runs;
mod service_rate;
mod shared_rate;
mod spec;
mod table;

pub(crate) use backlog::{Backlog, prefill_seconds};
pub use brittle::BrittleStatement;
pub use circuit::{Circuit, CircuitState};
pub use incarnation::Incarnation;
pub use notices::{Availability, MAX_PAUSE, UpstreamNotice, UpstreamNotices};
pub use rate_limit::{RateLimit, RateStatement, ReportedLimit};
pub(crate) use reachability::{Reachability, ReachabilityState, ReachabilityTable};
pub use retained::MemoryReport;
pub use row::{Upstream, UpstreamKey};
pub use runs::OwnRun;
pub(crate) use runs::{PeerUse, ReportSource};
pub(crate) use service_rate::CallKinds;
pub use service_rate::{RateSample, ReportedMean, ReportedRate, ServiceRate, incarnation_hash};
pub use shared_rate::RateShare;
pub(crate) use shared_rate::ReportedHandovers;
pub use spec::{LoadReport, UpstreamSpec};
pub use table::{ServiceUpstreams, UpstreamTable};
