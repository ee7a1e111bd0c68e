//! The operators' command line.
//!
//! - [`client`] calls the administration API.
//! - [`output`] prints tables, answers and errors.
//! - [`interactive`] reads commands with history and completion.

pub mod client;
pub mod interactive;
pub mod output;

mod exit;
mod session;

pub use exit::Exit;
pub use session::Session;
