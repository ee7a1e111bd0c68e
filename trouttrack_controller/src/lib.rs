//! The controller: the administration API of trouttrack.
//!
//! - [`http`] has the operators' routes.
//! - [`changes`] checks, commits and rolls out changes.
//! - [`tables`] makes the rows that queries run over.
//! - [`orders`] gives orders to engines under a lease.
//! - [`gateways`] calls the gateways.
//! - [`app`] puts them together.

pub mod app;
pub mod changes;
pub mod gateways;
pub mod http;
pub mod orders;
pub mod tables;
