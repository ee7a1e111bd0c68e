//! Passing on what one upstream sends, until its end or until the generation
//! is to go on elsewhere.

use super::finish::{Finish, Stopped};
use super::run::StreamRun;
use super::source::{Next, Source};
use crate::request::attempt::{AttemptFailure, STREAM_BROKE_OFF};
use crate::request::submission::{SHORT_TOKENS, is_short};
use crate::rescue::{Carried, Carry, CarryTask};
use crate::state::{Ticket, Upstream};
use bytes::Bytes;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::request::Failure;

/// How long the last events of a stopped generation may take to arrive: its
/// stream is closed before the copy's answer is sent.
const LAST_EVENTS: Duration = Duration::from_millis(100);
/// Events between two updates of the memory forecast; the first one, which shows that
/// the prompt is loaded, is one of them.
const PROGRESS_EVERY: u64 = 8;

/// How an upstream's part of a stream ended.
#[derive(Debug)]
pub(super) enum Relayed {
    /// The stream is whole.
    Complete,
    /// It goes on at another upstream.
    GoesOn(Box<Source>),
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
            match source.next(carry.as_mut(), self.may_move(), silence).await {
                Next::Piece(bytes) => self.pass_on(source, &bytes, ticket).await?,
                Next::Ended => match self.surely_ended(source, carry.take()).await {
                    Carried::NotMoved => return self.end_whole(source).await,
                    Carried::Moved(moved) => return self.go_on(source, moved, ticket).await,
                    Carried::Stopped => return self.broken_off(source, None, ticket).await,
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
                Next::Carried(not_moved) => {
                    carry = None;
                    source.move_failed = true;
                    source.may_be_stopped = matches!(not_moved, Carried::Stopped);
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

    /// Starts moving the generation.
    fn carry(&self, source: &Source, ticket: &Rc<Ticket>) -> CarryTask {
        let carry = Carry {
            front: Rc::clone(&self.front),
            id: self.admitted.head.id.clone(),
            source: Rc::clone(&source.upstream),
            ticket: Rc::clone(ticket),
        };
        carry.start()
    }

    /// Passes on the whole events that more bytes complete.
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
        let begins = before == 0;
        if begins || before / PROGRESS_EVERY != after / PROGRESS_EVERY {
            ticket.progress(self.tokens());
        }
        self.give(source, whole).await
    }

    /// Gives the caller bytes, after the head if they are the first.
    async fn give(&mut self, source: &Source, bytes: Bytes) -> Result<(), Stopped> {
        self.output
            .begin(self.head.as_ref().unwrap_or(&source.head));
        self.delivered();
        let given = self.output.piece(bytes).await;
        given.map_err(|_| Stopped::Finished(Finish::CallerLeft))
    }

    /// What the end of a source's body means. A stream whose end is marked is
    /// whole; one that ends with its connection may have been stopped for a move.
    async fn surely_ended(&self, source: &Source, carry: Option<CarryTask>) -> Carried {
        let Some(carry) = carry else {
            return match source.may_be_stopped && !source.framed {
                true => Carried::Stopped,
                false => Carried::NotMoved,
            };
        };
        if source.framed {
            carry.discard(&self.front);
            return Carried::NotMoved;
        }
        carry.outcome().await
    }

    /// Ends with what came after the last whole event.
    async fn end_whole(&mut self, source: &Source) -> Result<Relayed, Stopped> {
        self.end_marked = source.framed;
        let rest = self.reader.rest();
        if !rest.is_empty() || !self.output.is_begun() {
            self.give(source, rest).await?;
        }
        Ok(Relayed::Complete)
    }

    /// Goes on at whichever engine has the memory, if one does.
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
        let failure = AttemptFailure::new(Failure::Lost, STREAM_BROKE_OFF);
        let wants = |b: &Rc<Upstream>| self.front.scheduler.accepts_requests(&b.id);
        match source.backup.take().filter(wants) {
            Some(target) => {
                self.learn_failed(&source.upstream, &failure).await;
                self.check_held()?;
                self.restore(source, target, ticket).await
            }
            None => Err(failure.into()),
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
}
