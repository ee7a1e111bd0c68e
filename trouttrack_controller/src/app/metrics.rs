//! Prometheus metrics of a controller.

use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::Next;
use actix_web::web::Data;
use prometheus::{Encoder, IntCounterVec, Opts, Registry, TextEncoder};

/// Every metric.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        let opts = Opts::new(
            "trouttrack_admin_calls_total",
            "Operators' calls, by status.",
        );
        let calls = IntCounterVec::new(opts, &["status"])
            .expect("metric names and labels are constants and legal");
        registry
            .register(Box::new(calls.clone()))
            .expect("metric names are constants and differ");
        Self { registry, calls }
    }
}

impl Metrics {
    /// The text for Prometheus.
    #[must_use]
    pub fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to memory fails only for broken metric families.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

/// Counts a call.
pub(super) async fn count(
    shared: Data<super::Shared>,
    req: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let res = next.call(req).await?;
    let status = res.status();
    let labels = [status.as_str()];
    shared.metrics.calls.with_label_values(&labels).inc();
    Ok(res)
}
