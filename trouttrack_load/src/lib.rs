//! The load and experiment tool.
//!
//! - [`ask`] sends example requests and prints the answers as they come.
//! - [`path`] measures what the gateway adds to the way of a token.
//! - [`client`] reads streams; [`process`] reads what a process has used.

pub mod ask;
pub mod client;
pub mod path;
pub mod process;
