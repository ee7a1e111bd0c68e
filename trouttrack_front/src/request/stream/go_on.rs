//! Going on with a stream at another upstream.

use super::finish::{Finish, Stopped};
use super::relay::Relayed;
use super::run::StreamRun;
use super::source::Source;
use crate::request::attempt::{AttemptFailure, handover};
use crate::rescue::Moved;
use crate::state::{Ticket, Upstream};
use std::rc::Rc;
use trouttrack_core::request::Failure;
use trouttrack_platform::Continuation;
use trouttrack_telemetry::{events, record};

impl StreamRun {
    /// Goes on at the engine that the generation was moved to.
    pub(super) async fn go_on(
        &mut self,
        source: &mut Source,
        moved: Moved,
        ticket: &Rc<Ticket>,
    ) -> Result<Relayed, Stopped> {
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
                    to = moved.target.id.as_str(),
                    events = self.reader.events(),
                    pause_ms = pause.map(|p| p.as_millis() as u64),
                    stop_ms = moved.stopping.as_millis() as u64,
                );
                moves.with_label_values(&["moved"]).inc();
                if let Some(pause) = pause {
                    self.front.metrics.move_pause.observe(pause.as_secs_f64());
                }
                Ok(Relayed::GoesOn(Box::new(next)))
            }
            Err(e) => {
                self.report_not_moved(source, &moved.target, "the target did not go on");
                Err(e)
            }
        }
    }

    /// Goes on from the copy that another engine kept as the generation grew.
    pub(super) async fn restore(
        &mut self,
        source: &mut Source,
        target: Rc<Upstream>,
        ticket: &Rc<Ticket>,
    ) -> Result<Relayed, Stopped> {
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
                    to = target.id.as_str(),
                    events = self.reader.events(),
                );
                let moves = &self.front.metrics.moves;
                moves.with_label_values(&["restored"]).inc();
                Ok(Relayed::GoesOn(Box::new(next)))
            }
            Err(e) => {
                self.report_not_moved(source, &target, "no copy to go on from");
                Err(e)
            }
        }
    }

    /// Sends the request to an engine that has a copy of the memory.
    async fn continue_at(
        &mut self,
        source: &Source,
        target: &Rc<Upstream>,
        from: Continuation,
        ticket: &Rc<Ticket>,
    ) -> Result<Source, Stopped> {
        let mut to = handover(&self.front, &self.admitted, target);
        to.continue_from = Some(from);
        if let Some(last) = self.reader.last_id() {
            to.last_event = Some(last.to_owned());
        }
        let backup = self.backup(target, ticket);
        to.backup_at = backup.as_ref().map(|b| b.addr);
        self.reader.goes_on();
        // The answer keeps the head of its first upstream.
        self.head.get_or_insert_with(|| source.head.clone());
        let sent = self.send(target, &to).await.map_err(lost_midway)?;
        self.at = Some(Rc::clone(target));
        Ok(Source::new(Rc::clone(target), sent, backup))
    }

    fn report_not_moved(&self, source: &Source, target: &Upstream, reason: &'static str) {
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

/// A generation that could not go on has run, whatever the target says.
fn lost_midway(stopped: Stopped) -> Stopped {
    match stopped {
        Stopped::Failed(f) => AttemptFailure::new(Failure::Lost, f.reason).into(),
        Stopped::Finished(Finish::Answered(..)) => {
            AttemptFailure::new(Failure::Lost, "the target answered with a failure").into()
        }
        finished @ Stopped::Finished(_) => finished,
    }
}
