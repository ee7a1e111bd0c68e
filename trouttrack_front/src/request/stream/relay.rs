//! Forwards the stream of an upstream until it ends or the generation continues at another
//! upstream.

use super::finish::AttemptError;
use super::run::StreamRun;
use super::source::{Source, SourceEvent};
use crate::request::attempt::{AttemptFailure, END_UNKNOWN, ENDED_INSIDE_EVENT, STREAM_TRUNCATED};
use crate::request::submission::{SHORT_REQUEST_MAX_TOKENS, is_short};
use crate::rescue::{GenerationMove, MoveEnd, MoveTask};
use crate::state::{Ticket, Upstream};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::request::Failure;
use trouttrack_core::upstream::RateSample;
use trouttrack_core::versions::origin_id;

/// Time limit for the last events of a stopped generation. Its stream is closed before the
/// copy command is answered, so they are already on their way.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// Events between two updates of the memory forecast. The first event, which shows that the
/// prompt is loaded, always causes an update.
const PROGRESS_INTERVAL_EVENTS: u64 = 8;

/// How the relay from one upstream ended.
#[derive(Debug)]
pub(super) enum RelayEnd {
    /// The stream is complete.
    Complete,
    /// The stream continues at another upstream.
    Continued(Box<Source>),
}

impl StreamRun {
    /// Forwards the events of a source, and moves the generation if its upstream leaves.
    pub(super) async fn relay(
        &mut self,
        source: &mut Source,
        ticket: &Rc<Ticket>,
    ) -> Result<RelayEnd, AttemptError> {
        let mut task: Option<MoveTask> = None;
        loop {
            let idle_timeout = self.idle_timeout().filter(|_| task.is_none());
            match source
                .next(task.as_mut(), self.may_move(), idle_timeout)
                .await
            {
                SourceEvent::Chunk(bytes) => self.forward(source, &bytes, ticket).await?,
                SourceEvent::Ended => match self.resolve_end(source, task.take()).await {
                    MoveEnd::NotMoved => {
                        return match self.missing_end(source) {
                            Some(reason) => self.recover(source, None, reason, ticket).await,
                            None => self.finish_stream(source).await,
                        };
                    }
                    MoveEnd::Moved(moved) => return self.resume_moved(source, moved, ticket).await,
                    MoveEnd::Stopped => {
                        let reason = STREAM_TRUNCATED;
                        return self.recover(source, None, reason, ticket).await;
                    }
                },
                SourceEvent::Truncated(reason) => {
                    return self.recover(source, task.take(), reason, ticket).await;
                }
                // The stream may still go on, and another upstream cannot.
                SourceEvent::Idle if !self.has_alternative() => {}
                SourceEvent::Idle => {
                    return Err(AttemptFailure::new(Failure::Lost, "the stream is silent").into());
                }
                SourceEvent::UpstreamLeaving => task = Some(self.start_move(source, ticket)),
                SourceEvent::MoveFinished(MoveEnd::Moved(moved)) => {
                    self.drain(source, ticket).await?;
                    return self.resume_moved(source, moved, ticket).await;
                }
                SourceEvent::MoveFinished(not_moved) => {
                    task = None;
                    source.move_failed = true;
                    source.may_be_stopped = matches!(not_moved, MoveEnd::Stopped);
                }
            }
        }
    }

    /// Whether the generation may be moved. Short ones are not worth it; a generation that has
    /// written more tokens than a short one counts as long, whatever its caller guessed.
    fn may_move(&self) -> bool {
        let short = is_short(&self.admitted) && self.tokens() <= SHORT_REQUEST_MAX_TOKENS;
        self.front.serving.rescue && !short && self.engine_spec().is_some_and(|e| e.moves)
    }

    /// Starts moving the generation.
    fn start_move(&self, source: &Source, ticket: &Rc<Ticket>) -> MoveTask {
        let generation_move = GenerationMove {
            front: Rc::clone(&self.front),
            id: self.admitted.head.id.clone(),
            source: Rc::clone(&source.upstream),
            ticket: Rc::clone(ticket),
        };
        generation_move.start()
    }

    /// Forwards what these bytes complete. Comments are forwarded like events, but do not count as
    /// such: a stream may bring only so many bytes between two events as an event may have.
    async fn forward(
        &mut self,
        source: &mut Source,
        bytes: &[u8],
        ticket: &Ticket,
    ) -> Result<(), AttemptError> {
        let events_before = self.reader.events();
        let whole = self.reader.push(bytes);
        if self.reader.bytes_since_event() > self.front.buffers.limits().request {
            let reason = "the stream has too many bytes without an event";
            return Err(AttemptFailure::new(Failure::Lost, reason).into());
        }
        if self.reader.events() > events_before {
            self.record_events(source, ticket, events_before);
        }
        match whole.is_empty() {
            true => Ok(()),
            false => self.send_to_caller(source, whole).await,
        }
    }

    /// Records the events after the first `events_before`, which have just arrived.
    fn record_events(&mut self, source: &mut Source, ticket: &Ticket, events_before: u64) {
        let events_after = self.reader.events();
        let now = self.front.clock.now();
        source.last_event_at = Some(now);
        self.quarantine.wrote(&self.front, &self.admitted, now);
        let is_first = events_before == 0;
        if is_first && self.head.is_none() {
            // Before the prompt counts as loaded.
            ticket.observe(RateSample::FirstToken(self.attempt_age(now)));
        }
        if let Some(sample) = self.pace.record(now, (events_after - events_before) as u32) {
            ticket.observe(sample);
        }
        self.front
            .metrics
            .events
            .inc_by(events_after - events_before);
        if is_first
            || events_before / PROGRESS_INTERVAL_EVENTS != events_after / PROGRESS_INTERVAL_EVENTS
        {
            ticket.progress(self.tokens());
        }
    }

    /// Sends bytes to the caller, preceded by the head if they are the first.
    async fn send_to_caller(&mut self, source: &Source, bytes: Bytes) -> Result<(), AttemptError> {
        self.bind_version(source).await;
        self.output
            .send_head(self.head.as_ref().unwrap_or(&source.head), source.framed);
        if self.reader.events() > 0 {
            self.mark_first_event();
        }
        let sent_at = self.front.clock.now();
        let sent = self.output.send_chunk(bytes).await;
        self.pace.caller_waited(sent_at, self.front.clock.now());
        sent.map_err(|_| AttemptError::Finished(self.disconnected()))
    }

    /// Binds the stream to the version that brings its first event. If its caller may return, the
    /// version is recorded first, so that every VM that the caller may reach knows of it.
    async fn bind_version(&mut self, source: &Source) {
        if self.origin_recorded || self.reader.events() == 0 {
            return;
        }
        self.origin_recorded = true;
        let begun_by = source.upstream.version();
        let version = self.version.get_or_insert_with(|| begun_by.to_owned());
        let (admitted, head) = (&self.admitted, &self.admitted.head);
        // Without an id nobody can name the stream.
        let first_attempt = match (&head.last_event, &head.resumes) {
            (None, _) => Some(&head.id),
            (Some(_), resumes) => resumes.as_ref(),
        };
        let first_attempt = first_attempt.filter(|id| !id.is_empty());
        if let Some(first_attempt) = first_attempt
            && admitted.route.kind.repeatable()
        {
            let (origins, origin) = (&self.front.origins, origin_id(&self.service, version));
            origins.record(first_attempt, origin, admitted.deadline);
            origins.versions.recorded(origin).await;
        }
    }

    /// Determines whether the end of a body is the end of the stream. A framed body is complete;
    /// one that ends with its connection may have been stopped for a move.
    async fn resolve_end(&self, source: &Source, move_task: Option<MoveTask>) -> MoveEnd {
        let Some(move_task) = move_task else {
            return match source.may_be_stopped && !source.framed {
                true => MoveEnd::Stopped,
                false => MoveEnd::NotMoved,
            };
        };
        if source.framed {
            move_task.discard(&self.front);
            return MoveEnd::NotMoved;
        }
        move_task.outcome().await
    }

    /// Why the end of a body is not the end of the stream, if it is not.
    ///
    /// A body that ends with its connection may have been cut off between two events. A response
    /// that is framed as its upstream framed it may end there, but its last chunk would claim more
    /// than such a body shows, and so would a stream without events.
    fn missing_end(&self, source: &Source) -> Option<&'static str> {
        if self.reader.is_inside_event() {
            return Some(match source.framed {
                true => ENDED_INSIDE_EVENT,
                false => STREAM_TRUNCATED,
            });
        }
        let has_event = self.reader.events() > 0 || self.admitted.head.last_event.is_some();
        let shows_end = source.framed || has_event && !self.output.is_framed();
        (!shows_end).then_some(END_UNKNOWN)
    }

    /// Completes the stream with the line ends after the last event.
    async fn finish_stream(&mut self, source: &Source) -> Result<RelayEnd, AttemptError> {
        self.framed = source.framed;
        self.partial_bytes = self.reader.partial_len();
        let remainder = self.reader.take_remainder();
        if !remainder.is_empty() || !self.output.head_sent() {
            self.send_to_caller(source, remainder).await?;
        }
        Ok(RelayEnd::Complete)
    }

    /// Resumes a truncated stream at an engine that holds a copy of the KV cache, if any: the
    /// target of the move or the backup.
    async fn recover(
        &mut self,
        source: &mut Source,
        move_task: Option<MoveTask>,
        reason: &'static str,
        ticket: &Rc<Ticket>,
    ) -> Result<RelayEnd, AttemptError> {
        if let Some(move_task) = move_task
            && let MoveEnd::Moved(moved) = move_task.outcome().await
        {
            return self.resume_moved(source, moved, ticket).await;
        }
        let failure = AttemptFailure::new(Failure::Lost, reason);
        let scheduler = &self.front.scheduler;
        let may_continue_at = |backup: &Rc<Upstream>| {
            scheduler.accepts_requests(&backup.id) && !scheduler.refuses_connections(&backup.id)
        };
        match source.backup.take().filter(may_continue_at) {
            Some(target) => {
                self.on_failure(&source.upstream, &failure).await;
                self.check_quarantine()?;
                self.resume_from_backup(source, target, ticket).await
            }
            None => Err(failure.into()),
        }
    }

    /// Forwards the events that a stopped generation sent before its stream closed.
    async fn drain(&mut self, source: &mut Source, ticket: &Ticket) -> Result<(), AttemptError> {
        let until = tokio::time::Instant::now() + DRAIN_TIMEOUT;
        while let Ok(Ok(Some(bytes))) = tokio::time::timeout_at(until, source.body.next()).await {
            self.forward(source, &bytes, ticket).await?;
        }
        Ok(())
    }
}
