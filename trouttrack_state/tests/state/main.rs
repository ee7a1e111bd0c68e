//! The object API's client against the stand-in, under faults.

mod answers;
mod config_store;
mod lease;
mod objects;
mod support;
