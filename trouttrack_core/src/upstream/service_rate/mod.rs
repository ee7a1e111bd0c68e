//! Service rates of upstreams, estimated from the requests that VMs observe there.

mod estimate;
mod sample;

pub use estimate::ServiceRate;
pub use sample::{RateSample, ReportedRate};
