//! The object API's client against the stand-in, under faults.

mod config_store;
mod objects;
mod support;
