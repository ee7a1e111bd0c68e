//! Settings of a process and the configuration of a fleet.
//!
//! Both are read from INI files. Whatever is wrong with a file is collected as
//! [`Finding`]s with file, section, key and line, and reported together.
//!
//! - [`settings`] are one process's own: addresses, limits, files.
//! - [`fleet`] is what all processes share: services, organisations,
//!   upstreams and routing rules. It lives in the platform's service as JSON
//!   parts under one root.

pub mod finding;
pub mod fleet;
pub mod ini;
pub mod settings;

pub use finding::{Finding, FindingKind, Findings};
