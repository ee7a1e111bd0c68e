//! How long it takes until all VMs know what is new, in virtual time.
//!
//! The rules are those of the program, from `trouttrack_core::membership`; links of VMs and
//! of the store carry so many bytes a second, datagrams are late and some are lost. Each
//! play gives the times at which the VMs knew, and the bytes of the busiest one, so that
//! the growth with the fleet can be seen at sizes that no bench reaches.
//!
//! - [`start`]: all VMs start and need the list of upstreams.
//! - [`news`]: upstreams' entries have changed.
//! - [`configuration`]: a configuration has changed.
//! - [`confirmation`]: none has, which every VM needs to know.

pub mod configuration;
pub mod confirmation;
pub mod news;
pub mod start;

mod layout;
mod link;
mod peers;
mod queue;
mod reached;
mod report;

pub use layout::{Layout, SIZES};
pub use reached::Reached;
pub use report::{SpreadError, confirmations, table, write_report};
