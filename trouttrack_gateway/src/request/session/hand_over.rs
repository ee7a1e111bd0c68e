//! Placing a request and handing it over.

use super::ending::REJECTED;
use super::{Broken, Placed, Session};
use crate::dispatch::{Placement, Refusal};
use crate::request::attempt::{Attempt, Opened};
use crate::request::client::Target;
use bytes::Bytes;
use trouttrack_core::request::{Cursor, Failure};
use trouttrack_telemetry::trace::Hop;
use uuid::Uuid;

impl Session {
    /// Waits to be placed and hands the request over.
    pub(super) async fn hand_over(&mut self) {
        let placement = match self.place().await {
            Ok(placement) => placement,
            Err(refusal) => return self.refused(refusal.reason, refusal.retry_after),
        };
        let view = self.shared.view();
        let Some(upstream) = view.upstream(&placement.upstream) else {
            // The configuration changed in between; the ticket gives itself back.
            self.again = true;
            self.avoid.push(placement.upstream);
            return;
        };
        let target = Target::from(upstream);
        self.placed = Some(Placed {
            target: target.clone(),
            boot: placement.boot,
            ticket: Some(placement.ticket),
        });
        self.hop(Hop::Queue);
        let stream = Uuid::new_v4().to_string();
        self.cursor = Cursor::new(stream.clone());
        self.machine.handed_over();
        let Some(body) = self.engine_body(&stream) else {
            return;
        };
        let traceparent = self.trace.traceparent();
        let path = self.face().path();
        let opened =
            Attempt::submit(&self.clients, &target, path, traceparent.as_deref(), body).await;
        self.hop(Hop::HandOver);
        self.opened(opened);
    }

    fn engine_body(&self, stream: &str) -> Option<Bytes> {
        let ask = self.parts.ask.as_ref()?;
        let service = &self.parts.service;
        let max_tokens = ask.max_tokens.unwrap_or(service.max_tokens);
        let max_tokens = max_tokens.min(service.max_tokens);
        let class = self.parts.priority.class();
        Some(ask.to_engine(&service.model, stream, class, max_tokens))
    }

    async fn place(&mut self) -> Result<Placement, Refusal> {
        let tokens = self.parts.ask.as_ref().map_or(0, |a| a.prompt_tokens);
        let submission = self
            .shared
            .submission(&self.parts, tokens, self.avoid.clone());
        let placement = self.shared.place(submission, self.again).await?;
        let waited = self.parts.arrived.elapsed();
        self.shared.metrics.placed(&self.parts.service.name, waited);
        Ok(placement)
    }

    fn opened(&mut self, opened: Opened) {
        let (failure, detail) = match opened {
            Opened::Stream(attempt) => {
                self.attempt = Some(attempt);
                return;
            }
            Opened::Rejected(detail) => {
                let outcome = self.machine.rejected();
                return self.end(outcome, REJECTED, &detail);
            }
            Opened::NotConnected(detail) => (Failure::NotConnected, detail),
            Opened::Refused(detail) => (Failure::Refused, detail),
            Opened::Known => (Failure::Lost, "the stream id is known".to_owned()),
            Opened::Unknown => (Failure::Lost, "the stream is not known".to_owned()),
            Opened::Lost(detail) => (Failure::Lost, detail),
        };
        self.broken = Some(Broken {
            failure,
            detail,
            silent: false,
        });
    }
}
