//! The decision bench: core's systems against the engine model, in virtual
//! time and one process.
//!
//! It models engines and lagging reports only: no network, no processes, no
//! platform. The same seed gives the same figures. `--live` measures the same
//! workload through real gateways and stand-ins.

mod bench;
mod figures;
mod headline;
mod options;
mod report;
mod run;
mod workload;

pub use bench::bench;
pub use figures::{Figures, ServiceFigures};
pub use headline::{Headline, headline};
pub use options::BenchOptions;
pub use report::{spread, table, write_json, write_report};
pub use run::{CompareError, CompareOptions, Compared, PolicyName, compare};
pub use workload::{Arrival, Mix, ServiceMix, Shift, Workload, capacity};
