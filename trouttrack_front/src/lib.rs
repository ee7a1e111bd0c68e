//! The front: the request path on the users' platform.
//!
//! A process has one thread and everything on it. A request's way through the
//! folders, top to bottom:
//!
//! - `caller` takes it from the socket, finds its route and organisation,
//!   and writes its answer.
//! - [`request`] drives it through its attempts: a plain call or a stream.
//! - `rescue` moves a running generation away from an engine that leaves.
//!
//! Beside it:
//!
//! - [`state`] holds what the request path decides by, a type a concern.
//! - `follow` keeps that current from the platform's store.
//! - [`peers`] tells the other VMs what this one uses.
//! - `metrics` counts.
//! - `page` serves what is not for callers.
//! - [`app`] puts it together and stops it in order.

pub mod app;
mod caller;
mod follow;
mod metrics;
mod page;
pub mod peers;
pub mod request;
mod rescue;
pub mod state;
