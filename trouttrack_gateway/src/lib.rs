//! The gateway: the caller-facing data path of trouttrack.
//!
//! - [`http`] has the callers' routes.
//! - [`request`] drives one request through its attempts.
//! - [`dispatch`] owns the decision tables.
//! - [`claims`] makes idempotency keys hold across VMs.
//! - [`follow`] keeps the configuration, the load reports and the VM list.
//! - [`peers`] talks to other gateways.
//! - [`app`] puts them together and stops them in order.

pub mod app;
pub mod canceller;
pub mod claims;
pub mod dispatch;
pub mod follow;
pub mod http;
pub mod metrics;
pub mod peers;
pub mod request;
