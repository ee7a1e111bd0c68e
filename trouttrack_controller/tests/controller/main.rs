//! The administration API with gateways and a platform, in one process.

mod changes;
mod orders;
mod queries;
mod support;
