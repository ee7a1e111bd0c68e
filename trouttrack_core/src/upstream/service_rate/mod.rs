//! Service rates of upstreams, estimated from the requests that VMs observe there.
//!
//! - [`sample`] holds samples of requests, and the reports of their means to other VMs.
//! - [`call_kinds`] makes calls with different work comparable.
//! - [`observed`] holds the samples of one incarnation.
//! - [`typical`] is the middle and spread of the upstreams of a service.
//! - [`estimate`] compares one incarnation with them.
//!
//! All means are of logarithms, so that an upstream's speed is a ratio to the typical one.

mod call_kinds;
mod estimate;
mod log_mean;
mod observed;
mod quantity;
mod sample;
mod table;
mod typical;
mod upstream;

pub(crate) use call_kinds::CallKinds;
pub use estimate::ServiceRate;
pub(crate) use observed::ObservedRates;
pub use sample::{RateSample, ReportedMean, ReportedRate, incarnation_hash};
pub(crate) use typical::Typical;
