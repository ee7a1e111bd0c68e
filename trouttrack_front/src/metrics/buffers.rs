//! Bytes that are buffered for peers that read slowly.

use super::Metrics;
use super::register::gauge_vec;
use crate::state::Buffers;
use prometheus::{IntGaugeVec, Registry};

/// Maximum number of organisations in the metrics.
const MAX_ORGANISATIONS: usize = 5;

/// Gauges that are set when the metrics are read.
#[derive(Debug)]
pub(super) struct BufferGauges {
    by_organisation: IntGaugeVec,
    limits: IntGaugeVec,
}

impl BufferGauges {
    pub(super) fn new(registry: &Registry) -> Self {
        Self {
            by_organisation: gauge_vec(
                registry,
                "trouttrack_organisation_buffered_bytes",
                "Bytes buffered for callers and upstreams that read slowly, of the organisations with the most",
                &["organisation"],
            ),
            limits: gauge_vec(
                registry,
                "trouttrack_buffered_bytes_limit",
                "Bounds of the bytes buffered for a stream, an organisation and the VM",
                &["bound"],
            ),
        }
    }
}

impl Metrics {
    /// Sets the gauges of buffered bytes.
    pub(crate) fn set_buffers(&self, buffers: &Buffers) {
        self.buffered.set(buffers.total() as i64);
        let gauges = &self.buffers;
        gauges.by_organisation.reset();
        for (organisation, bytes) in buffers.largest(MAX_ORGANISATIONS) {
            let gauge = gauges.by_organisation.with_label_values(&[&organisation]);
            gauge.set(bytes as i64);
        }
        let limits = buffers.limits();
        for (bound, bytes) in [
            ("request", limits.request),
            ("organisation", limits.organisation),
            ("vm", limits.vm),
        ] {
            gauges.limits.with_label_values(&[bound]).set(bytes as i64);
        }
    }
}
