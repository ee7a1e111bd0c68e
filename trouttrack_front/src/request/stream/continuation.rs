//! Resumes a stream at another upstream that holds a copy of the generation.

use super::finish::{AttemptError, StreamEnd};
use super::relay::RelayEnd;
use super::run::StreamRun;
use super::source::Source;
use crate::request::attempt::{AttemptFailure, handover};
use crate::rescue::Moved;
use crate::state::{Ticket, Upstream};
use std::rc::Rc;
use trouttrack_core::request::Failure;
use trouttrack_core::routing::Prediction;
use trouttrack_platform::Continuation;
use trouttrack_telemetry::{events, record};

impl StreamRun {
    /// Resumes at the engine that the generation was moved to.
    pub(super) async fn resume_moved(
        &mut self,
        source: &mut Source,
        moved: Moved,
        ticket: &Rc<Ticket>,
    ) -> Result<RelayEnd, AttemptError> {
        let from = Continuation {
            source: source.upstream.addr,
            handle: moved.handle,
        };
        let next = self.continue_at(source, &moved.target, from, ticket).await;
        let pause = source
            .last_event_at
            .map(|at| self.front.clock.now().saturating_sub(at));
        let moves = &self.front.metrics.moves;
        match next {
            Ok(next) => {
                record!(
                    events::MOVED,
                    request = self.admitted.head.id.as_str(),
                    from = source.upstream.id.as_str(),
                    from_version = source.upstream.version(),
                    to = moved.target.id.as_str(),
                    to_version = moved.target.version(),
                    events = self.reader.events(),
                    pause_ms = pause.map(|p| p.as_millis() as u64),
                    stop_ms = moved.stopping.as_millis() as u64,
                );
                moves.with_label_values(&["moved"]).inc();
                if let Some(pause) = pause {
                    self.front.metrics.move_pause.observe(pause.as_secs_f64());
                }
                Ok(RelayEnd::Continued(Box::new(next)))
            }
            Err(e) => {
                self.log_resume_failure(
                    source,
                    &moved.target,
                    "the target did not continue the generation",
                );
                Err(e)
            }
        }
    }

    /// Resumes at the backup engine, from the copy that it kept as the generation grew.
    pub(super) async fn resume_from_backup(
        &mut self,
        source: &mut Source,
        target: Rc<Upstream>,
        ticket: &Rc<Ticket>,
    ) -> Result<RelayEnd, AttemptError> {
        let from = Continuation {
            source: source.upstream.addr,
            handle: self.admitted.head.id.clone(),
        };
        ticket.relocate(&target.id);
        match self.continue_at(source, &target, from, ticket).await {
            Ok(next) => {
                record!(
                    events::RESTORED,
                    request = self.admitted.head.id.as_str(),
                    from = source.upstream.id.as_str(),
                    from_version = source.upstream.version(),
                    to = target.id.as_str(),
                    to_version = target.version(),
                    events = self.reader.events(),
                );
                let moves = &self.front.metrics.moves;
                moves.with_label_values(&["restored"]).inc();
                Ok(RelayEnd::Continued(Box::new(next)))
            }
            Err(e) => {
                self.log_resume_failure(
                    source,
                    &target,
                    "the backup engine did not continue the generation",
                );
                Err(e)
            }
        }
    }

    /// Sends the request to an engine that holds a copy of the KV cache.
    async fn continue_at(
        &mut self,
        source: &Source,
        target: &Rc<Upstream>,
        from: Continuation,
        ticket: &Rc<Ticket>,
    ) -> Result<Source, AttemptError> {
        self.check_quarantine()?;
        let mut to = handover(&self.front, &self.admitted, target);
        to.continue_from = Some(from);
        if let Some(last) = self.reader.last_id() {
            to.last_event = Some(last.to_owned());
        }
        let backup = self.select_backup(target, ticket);
        to.backup_at = backup.as_ref().map(|b| b.addr);
        self.reader.skip_delivered();
        // The caller gets the head of the first upstream.
        self.head.get_or_insert_with(|| source.head.clone());
        let sent = self.send(target, &to).await;
        if let Err(AttemptError::Failed(failure)) = &sent
            && failure.connection_refused()
        {
            ticket.connection_refused(&target.incarnation());
        }
        let sent = sent.map_err(as_lost)?;
        self.current = Some(Rc::clone(target));
        self.pace.change_upstream();
        self.quarantine.change_upstream();
        self.predicted = Prediction::UNKNOWN;
        Ok(Source::new(Rc::clone(target), sent, backup))
    }

    fn log_resume_failure(&self, source: &Source, target: &Upstream, reason: &'static str) {
        record!(
            events::NOT_MOVED,
            request = self.admitted.head.id.as_str(),
            from = source.upstream.id.as_str(),
            to = target.id.as_str(),
            reason = reason,
            events = self.reader.events(),
        );
        let moves = &self.front.metrics.moves;
        moves.with_label_values(&["not-continued"]).inc();
    }
}

/// Converts a failed continuation to [`Failure::Lost`]: the generation has run, even if the
/// target reports that its part did not.
fn as_lost(stopped: AttemptError) -> AttemptError {
    match stopped {
        AttemptError::Failed(f) => AttemptFailure::new(Failure::Lost, f.reason).into(),
        AttemptError::Finished(StreamEnd::Response(..)) => {
            AttemptFailure::new(Failure::Lost, "the target answered with a failure").into()
        }
        finished @ AttemptError::Finished(_) => finished,
    }
}
