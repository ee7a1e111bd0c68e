//! The load and experiment tool.
//!
//! - [`ask`] sends example requests and prints the answers as they come.
//! - [`patterns`] plays patterns of heavy load in virtual time.
//! - [`suspects`] plays requests that end what runs them, in virtual time.
//! - [`path`] measures what the gateway adds to the way of a token.
//! - [`claims`] measures what idempotency keys cost.
//! - [`compare`] compares routing policies in virtual time.
//! - [`control`] measures what control costs.
//! - [`faults`] sends mixed requests under faults and checks the books.
//! - [`spread`] plays how long it takes until all VMs know what is new.
//! - [`client`] reads streams; [`process`] reads what a process has used.

pub mod ask;
pub mod claims;
pub mod client;
pub mod compare;
pub mod control;
pub mod faults;
pub mod path;
pub mod patterns;
pub mod process;
pub mod spread;
pub mod suspects;

use hdrhistogram::Histogram;
use std::time::Duration;

/// Records a time in microseconds; the histogram grows as it must.
pub(crate) fn record(histogram: &mut Histogram<u64>, time: Duration) {
    // Only a histogram that may not grow refuses a value.
    let _ = histogram.record(time.as_micros() as u64);
}
