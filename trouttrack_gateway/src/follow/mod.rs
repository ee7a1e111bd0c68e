//! Following what changes outside: the configuration, load reports, the VM list.

mod config;
mod reports;
mod vms;

pub use config::config;
pub use reports::reports;
pub use vms::vms;
