//! Client of the platform's object API and VM list.
//!
//! Answers can be lost after a write took effect, so a write has three ends:
//! done, refused, or lost. [`ObjectClient::settle`] turns a lost one into one
//! of the first two as soon as the platform answers.
//!
//! - [`client`] makes single calls, within a budget.
//! - [`config_store`] keeps a fleet's configuration under one root.
//! - [`lease`] holds leases.

pub mod client;
pub mod config_store;
pub mod lease;

pub use client::{Condition, ObjectClient, PlatformError, Write};
pub use config_store::{Commit, ConfigStore};
