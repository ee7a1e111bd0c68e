//! The front: the request path on the users' platform.
//!
//! A process runs all tasks on a single thread. A request passes through these modules:
//!
//! - `caller` reads it from the socket, resolves its route and organisation, and writes the
//!   answer.
//! - [`request`] runs its attempts, as a plain call or a stream.
//! - `rescue` moves a running generation away from an engine that is leaving.
//!
//! The other modules:
//!
//! - [`state`] holds the state that the request path bases its decisions on.
//! - `follow` updates that state from the platform's store.
//! - [`relay`] connects to upstreams through peers where this VM's own paths are lost.
//! - [`peers`] exchanges upstream use and updates with the other VMs.
//! - `metrics` holds the Prometheus metrics.
//! - `page` serves HTTP endpoints that are not for callers.
//! - [`tasks`] starts tasks again that panicked.
//! - [`app`] starts these parts and shuts them down gracefully.

pub mod app;
mod caller;
mod follow;
mod metrics;
mod page;
pub mod peers;
pub mod relay;
pub mod request;
mod rescue;
pub mod state;
pub mod tasks;
