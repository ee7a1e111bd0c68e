//! Where spans go.

use opentelemetry::KeyValue;
use opentelemetry::trace::TracerProvider as _;
use opentelemetry_otlp::{ExporterBuildError, Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider};
use thiserror::Error;
use trouttrack_config::settings::{TraceSettings, VmSettings};

/// Spans cannot be exported.
#[derive(Debug, Error)]
#[error("the OTLP exporter cannot be set up: {0}")]
pub struct TracingError(#[from] ExporterBuildError);

/// The process's tracing, on or off.
///
/// # Examples
///
/// ```
/// use trouttrack_telemetry::trace::Tracing;
/// assert!(!Tracing::off().is_on());
/// ```
#[derive(Clone, Debug)]
pub struct Tracing {
    provider: Option<SdkTracerProvider>,
    tracer: Option<SdkTracer>,
}

impl Tracing {
    /// No spans are made.
    #[must_use]
    pub fn off() -> Self {
        Self {
            provider: None,
            tracer: None,
        }
    }

    /// Spans are made and exported if the settings name a collector.
    ///
    /// # Errors
    ///
    /// The exporter cannot be set up.
    pub fn new(
        program: &'static str,
        vm: &VmSettings,
        settings: &TraceSettings,
    ) -> Result<Self, TracingError> {
        let Some(url) = &settings.otlp_url else {
            return Ok(Self::off());
        };
        let exporter = SpanExporter::builder()
            .with_http()
            .with_protocol(Protocol::HttpJson)
            .with_endpoint(url)
            .build()?;
        let resource = Resource::builder()
            .with_service_name(program)
            .with_attribute(KeyValue::new("service.instance.id", vm.name.clone()))
            .with_attribute(KeyValue::new("failure_domain", vm.failure_domain.clone()))
            .build();
        let ratio = Sampler::TraceIdRatioBased(settings.sample);
        let provider = SdkTracerProvider::builder()
            .with_sampler(Sampler::ParentBased(Box::new(ratio)))
            .with_resource(resource)
            .with_batch_exporter(exporter)
            .build();
        let tracer = provider.tracer(program);
        Ok(Self {
            provider: Some(provider),
            tracer: Some(tracer),
        })
    }

    /// Whether spans are made.
    #[must_use]
    pub fn is_on(&self) -> bool {
        self.tracer.is_some()
    }

    pub(super) fn tracer(&self) -> Option<&SdkTracer> {
        self.tracer.as_ref()
    }

    /// Sends what is left. Blocks for a few seconds at most.
    pub fn shutdown(&self) {
        if let Some(provider) = &self.provider {
            // Nothing can be done about spans that cannot be sent any more.
            let _ = provider.shutdown();
        }
    }
}
