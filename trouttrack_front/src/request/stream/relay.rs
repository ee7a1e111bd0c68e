//! Passing on what one upstream sends, until its end or until the generation
//! goes on elsewhere.

use super::finish::{Finish, Stopped};
use super::run::StreamRun;
use crate::request::attempt::{AttemptFailure, Sent, handover};
use crate::request::end::{SHORT_TOKENS, is_short};
use crate::rescue::{Carried, Carry, CarryTask, Moved};
use crate::state::{Ticket, Upstream};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use trouttrack_core::Time;
use trouttrack_core::request::Failure;
use trouttrack_core::rescue::Departure;
use trouttrack_http::AnswerBody;
use trouttrack_platform::{AnswerHead, Continuation};
use trouttrack_telemetry::{events, record};

/// How long the last events of a stopped generation may take to arrive: its
/// stream is closed before the copy's answer is sent.
const LAST_EVENTS: Duration = Duration::from_millis(100);
/// Events between two updates of the memory forecast.
const PROGRESS_EVERY: u64 = 8;

/// An upstream that sends a stream.
#[derive(Debug)]
pub(super) struct Source {
    upstream: Rc<Upstream>,
    head: AnswerHead,
    body: AnswerBody,
    framed: bool,
    departure: watch::Receiver<Option<Departure>>,
    /// Whether a move was tried and came to nothing.
    move_failed: bool,
    /// The engine that keeps a copy of the memory.
    backup: Option<Rc<Upstream>>,
    last_event_at: Option<Time>,
}

impl Source {
    pub(super) fn new(upstream: Rc<Upstream>, sent: Sent, backup: Option<Rc<Upstream>>) -> Self {
        Self {
            departure: upstream.departure(),
            upstream,
            head: sent.head,
            body: sent.body,
            framed: sent.framed,
            move_failed: false,
            backup,
            last_event_at: None,
        }
    }
}

/// How an upstream's part of a stream ended.
#[derive(Debug)]
pub(super) enum Relayed {
    /// The stream is whole.
    Complete,
    /// It goes on at another upstream.
    GoesOn(Box<Source>),
}

/// What comes next.
enum Next {
    Piece(Bytes),
    Ended,
    BrokenOff,
    Silent,
    Leaves,
    Carried(Carried),
}

impl StreamRun {
    /// Passes on a source's events.
    pub(super) async fn relay(
        &mut self,
        source: &mut Source,
        ticket: &Rc<Ticket>,
    ) -> Result<Relayed, Stopped> {
        let mut carry: Option<CarryTask> = None;
        loop {
            let silence = self.longest_silence().filter(|_| carry.is_none());
            match next(source, carry.as_mut(), self.may_move(), silence).await {
                Next::Piece(bytes) => self.pass_on(source, &bytes, ticket).await?,
                Next::Ended => match self.surely_ended(source, carry.take()).await {
                    None => return self.end_whole(source).await,
                    Some(moved) => return self.go_on(source, moved, ticket).await,
                },
                Next::BrokenOff => return self.broken_off(source, carry.take(), ticket).await,
                Next::Silent => {
                    return Err(AttemptFailure::new(Failure::Lost, "the stream is silent").into());
                }
                Next::Leaves => carry = Some(self.carry(source, ticket)),
                Next::Carried(Carried::Moved(moved)) => {
                    self.drain(source, ticket).await?;
                    return self.go_on(source, moved, ticket).await;
                }
                Next::Carried(Carried::NotMoved) => {
                    carry = None;
                    source.move_failed = true;
                }
            }
        }
    }

    /// Whether the generation is worth moving. A caller's guess may be far off:
    /// what has written more than a short one is not short.
    fn may_move(&self) -> bool {
        let short = is_short(&self.admitted) && self.tokens() <= SHORT_TOKENS;
        self.front.serving.rescue && !short && self.engine().is_some_and(|e| e.moves)
    }

    fn carry(&self, source: &Source, ticket: &Rc<Ticket>) -> CarryTask {
        let carry = Carry {
            front: Rc::clone(&self.front),
            id: self.admitted.head.id.clone(),
            source: Rc::clone(&source.upstream),
            ticket: Rc::clone(ticket),
        };
        carry.start()
    }

    async fn pass_on(
        &mut self,
        source: &mut Source,
        bytes: &[u8],
        ticket: &Ticket,
    ) -> Result<(), Stopped> {
        let before = self.reader.events();
        let whole = self.reader.push(bytes);
        if whole.is_empty() {
            return Ok(());
        }
        let after = self.reader.events();
        source.last_event_at = Some(self.front.clock.now());
        self.front.metrics.events.inc_by(after - before);
        if before / PROGRESS_EVERY != after / PROGRESS_EVERY {
            ticket.progress(self.tokens());
        }
        self.give(source, whole).await
    }

    async fn give(&mut self, source: &Source, bytes: Bytes) -> Result<(), Stopped> {
        self.output
            .begin(self.head.as_ref().unwrap_or(&source.head));
        self.delivered();
        let given = self.output.piece(bytes).await;
        given.map_err(|_| Stopped::Finished(Finish::CallerLeft))
    }

    /// A stream whose end is marked is whole. One that ends with its connection
    /// may have been stopped for a move.
    async fn surely_ended(&self, source: &Source, carry: Option<CarryTask>) -> Option<Moved> {
        let carry = carry?;
        if source.framed {
            carry.discard(&self.front);
            return None;
        }
        match carry.outcome().await {
            Carried::Moved(moved) => Some(moved),
            Carried::NotMoved => None,
        }
    }

    async fn end_whole(&mut self, source: &Source) -> Result<Relayed, Stopped> {
        let rest = self.reader.rest();
        if !rest.is_empty() || !self.output.is_begun() {
            self.give(source, rest).await?;
        }
        Ok(Relayed::Complete)
    }

    async fn broken_off(
        &mut self,
        source: &mut Source,
        carry: Option<CarryTask>,
        ticket: &Rc<Ticket>,
    ) -> Result<Relayed, Stopped> {
        if let Some(carry) = carry
            && let Carried::Moved(moved) = carry.outcome().await
        {
            return self.go_on(source, moved, ticket).await;
        }
        match source.backup.take().filter(|b| !b.is_leaving()) {
            Some(target) => self.restore(source, target, ticket).await,
            None => Err(AttemptFailure::new(Failure::Lost, "the stream broke off").into()),
        }
    }

    /// Takes the events that a stopped generation sent before its end.
    async fn drain(&mut self, source: &mut Source, ticket: &Ticket) -> Result<(), Stopped> {
        let until = tokio::time::Instant::now() + LAST_EVENTS;
        while let Ok(Ok(Some(bytes))) = tokio::time::timeout_at(until, source.body.next()).await {
            self.pass_on(source, &bytes, ticket).await?;
        }
        Ok(())
    }

    /// Goes on at the engine that the generation was moved to.
    async fn go_on(
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
    async fn restore(
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
        self.at.clone_from(&target.id);
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
        finished @ Stopped::Finished(_) => finished,
    }
}

async fn next(
    source: &mut Source,
    carry: Option<&mut CarryTask>,
    may_move: bool,
    silence: Option<Duration>,
) -> Next {
    let may_move = may_move && carry.is_none() && !source.move_failed;
    let carried = async {
        match carry {
            Some(task) => task.finished().await,
            None => std::future::pending().await,
        }
    };
    let silent = async {
        match silence {
            Some(silence) => tokio::time::sleep(silence).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        piece = source.body.next() => match piece {
            Ok(Some(bytes)) => Next::Piece(bytes),
            Ok(None) => Next::Ended,
            Err(_) => Next::BrokenOff,
        },
        carried = carried => Next::Carried(carried),
        // The sender is part of the upstream, which the source holds.
        Ok(_) = source.departure.wait_for(Option::is_some), if may_move => Next::Leaves,
        () = silent => Next::Silent,
    }
}
