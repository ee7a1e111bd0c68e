//! The administration API with gateways and a platform, in one process.

mod changes;
mod queries;
mod support;
