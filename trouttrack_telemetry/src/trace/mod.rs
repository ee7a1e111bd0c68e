//! Traces: one span for a request and one below it for each hop.

mod exporter;
mod request;

pub use exporter::{Tracing, TracingError};
pub use request::{Hop, RequestTrace};
