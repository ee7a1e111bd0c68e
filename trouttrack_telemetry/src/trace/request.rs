//! The spans of one request.

use super::exporter::Tracing;
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator};
use opentelemetry::trace::{Span, SpanKind, Status, TraceContextExt, Tracer};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, Span as SdkSpan};
use std::time::SystemTime;

const TRACEPARENT: &str = "traceparent";

/// A hop of a request through the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hop {
    /// Waiting to be placed.
    Queue,
    /// Claiming the caller's idempotency key.
    Claim,
    /// Sending the request to an upstream.
    HandOver,
    /// Waiting for the first token.
    FirstToken,
    /// From the first token to the last.
    Stream,
    /// Attaching to a stream again.
    Resume,
}

impl Hop {
    fn name(self) -> &'static str {
        match self {
            Self::Queue => "queue",
            Self::Claim => "claim",
            Self::HandOver => "hand-over",
            Self::FirstToken => "first token",
            Self::Stream => "stream",
            Self::Resume => "resume",
        }
    }
}

struct Header<'a>(Option<&'a str>);

impl Extractor for Header<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.filter(|_| key == TRACEPARENT)
    }

    fn keys(&self) -> Vec<&str> {
        vec![TRACEPARENT]
    }
}

#[derive(Default)]
struct Written(Option<String>);

impl Injector for Written {
    fn set(&mut self, key: &str, value: String) {
        if key == TRACEPARENT {
            self.0 = Some(value);
        }
    }
}

/// The trace of one request; free of cost while tracing is off.
///
/// # Examples
///
/// ```
/// use trouttrack_telemetry::trace::{RequestTrace, Tracing};
/// let given = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
/// let trace = RequestTrace::start(&Tracing::off(), "completion", Some(given));
/// // Without a collector the caller's context is passed on as it came.
/// assert_eq!(trace.traceparent().as_deref(), Some(given));
/// ```
#[derive(Debug)]
pub struct RequestTrace {
    given: Option<String>,
    on: Option<On>,
}

#[derive(Debug)]
struct On {
    tracer: SdkTracer,
    cx: Context,
}

impl RequestTrace {
    /// Starts the request's span, below the caller's if it gave one.
    #[must_use]
    pub fn start(tracing: &Tracing, name: &'static str, traceparent: Option<&str>) -> Self {
        let on = tracing.tracer().map(|tracer| {
            let parent = TraceContextPropagator::new().extract(&Header(traceparent));
            let span: SdkSpan = tracer
                .span_builder(name)
                .with_kind(SpanKind::Server)
                .start_with_context(tracer, &parent);
            On {
                tracer: tracer.clone(),
                cx: parent.with_span(span),
            }
        });
        Self {
            given: traceparent.map(str::to_owned),
            on,
        }
    }

    /// The context to send to an upstream.
    #[must_use]
    pub fn traceparent(&self) -> Option<String> {
        let Some(on) = &self.on else {
            return self.given.clone();
        };
        let mut written = Written::default();
        TraceContextPropagator::new().inject_context(&on.cx, &mut written);
        written.0
    }

    /// Records a hop that has just ended.
    pub fn hop(&self, hop: Hop, start: SystemTime, upstream: Option<&str>) {
        let Some(on) = &self.on else {
            return;
        };
        let mut span = on
            .tracer
            .span_builder(hop.name())
            .with_kind(SpanKind::Internal)
            .with_start_time(start)
            .start_with_context(&on.tracer, &on.cx);
        if let Some(upstream) = upstream {
            span.set_attribute(KeyValue::new("upstream", upstream.to_owned()));
        }
        span.end();
    }

    /// Ends the request's span.
    pub fn finish(&self, request: &str, outcome: &'static str, good: bool) {
        let Some(on) = &self.on else {
            return;
        };
        let span = on.cx.span();
        span.set_attribute(KeyValue::new("request", request.to_owned()));
        span.set_attribute(KeyValue::new("outcome", outcome));
        if !good {
            span.set_status(Status::error(outcome));
        }
        span.end();
    }
}
