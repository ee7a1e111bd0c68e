//! Moving one generation: copy while it runs, then stop it and copy the rest.

use super::task::{Carried, CarryTask, Moved, Unused};
use crate::state::{Front, Ticket, Upstream};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use trouttrack_core::rescue::Departure;
use trouttrack_core::{RequestId, UpstreamId};
use trouttrack_platform::MoveAnswer;
use trouttrack_telemetry::{events, record};

/// Pause before a step that could not be made is tried again.
const AGAIN: Duration = Duration::from_millis(40);
/// Once a generation is stopped its caller waits: shorter.
const AGAIN_STOPPED: Duration = Duration::from_millis(10);
/// How long the engine's report is waited for: a few times the way there.
const FOR_REPORT: Duration = Duration::from_millis(60);
/// How much longer than its notice an engine is asked: some serve on.
const PAST_THE_END: Duration = Duration::from_millis(1500);
/// A copy of what is new that takes less than this met an idle link: some dozen
/// tokens take a few milliseconds. It is well within the pause that callers may
/// see.
const IDLE_LINK: Duration = Duration::from_millis(70);
/// Why a generation is not moved from an engine at which nobody listens any more.
const ENDED: &str = "its engine has ended";

/// What became of an order to copy.
#[derive(Debug)]
enum Ordered {
    /// The engine answered.
    Answered(MoveAnswer),
    /// No usable answer came; the order may have been carried out.
    Unanswered,
    /// The engine has ended: asking again is of no use.
    Ended,
}

/// One generation to be moved.
#[derive(Debug)]
pub(crate) struct Carry {
    /// The front.
    pub front: Rc<Front>,
    /// The request's id.
    pub id: RequestId,
    /// The engine that leaves.
    pub source: Rc<Upstream>,
    /// The request's row.
    pub ticket: Rc<Ticket>,
}

impl Carry {
    /// Starts the move.
    #[must_use]
    pub(crate) fn start(self) -> CarryTask {
        let unused = Unused::default();
        let source = Rc::clone(&self.source);
        let task = actix_rt::spawn(self.run(Rc::clone(&unused)));
        CarryTask::new(task, source, unused)
    }

    async fn run(self, unused: Unused) -> Carried {
        let mut departure = self.source.departure();
        let mut avoid = Vec::new();
        self.wait_for_report(&mut departure).await;
        let Some(target) = self.copy(&departure, &mut avoid, &unused).await else {
            return Carried::NotMoved;
        };
        self.wait_for_idle_link(&departure, &target).await;
        let carried = self.stop_and_copy(&departure, target, &mut avoid).await;
        if matches!(carried, Carried::Moved(_)) {
            unused.borrow_mut().take();
        }
        carried
    }

    /// Whether the engine may still answer.
    fn in_time(&self, departure: &watch::Receiver<Option<Departure>>) -> bool {
        !self.time_left(departure).is_zero()
    }

    fn time_left(&self, departure: &watch::Receiver<Option<Departure>>) -> Duration {
        let departure = departure.borrow();
        let ends = departure.as_ref().map(|d| d.ends_at() + PAST_THE_END);
        self.front.clock.until(ends.unwrap_or_default())
    }

    /// Whether a copy is done in time.
    fn can_complete(&self, departure: &watch::Receiver<Option<Departure>>) -> bool {
        let (now, tokens) = (self.front.clock.now(), self.ticket.held_tokens());
        let departure = departure.borrow();
        departure
            .as_ref()
            .is_some_and(|d| d.can_complete(now, &self.id, tokens))
    }

    /// How long the copies before this one still take.
    fn until_turn(&self, departure: &watch::Receiver<Option<Departure>>) -> Option<Duration> {
        let departure = departure.borrow();
        let pre_copy_at = departure.as_ref()?.pre_copy_at(&self.id);
        let wait = self.front.clock.until(pre_copy_at);
        (!wait.is_zero()).then_some(wait)
    }

    /// Waits until the engine has said what it holds, which is soon.
    async fn wait_for_report(&self, departure: &mut watch::Receiver<Option<Departure>>) {
        let reported = departure.wait_for(|d| d.as_ref().is_some_and(Departure::is_reported));
        if tokio::time::timeout(FOR_REPORT, reported).await.is_err() {
            log::debug!("{}: no report of what it holds", self.source.id);
        }
    }

    fn target(&self, avoid: &[UpstreamId]) -> Option<Rc<Upstream>> {
        let home = &self.source.failure_domain;
        let target = self.ticket.target(home, avoid)?;
        self.front.upstreams.get(&target.upstream)
    }

    /// Copies the memory while the generation goes on.
    async fn copy(
        &self,
        departure: &watch::Receiver<Option<Departure>>,
        avoid: &mut Vec<UpstreamId>,
        unused: &Unused,
    ) -> Option<Rc<Upstream>> {
        let mut held_up_by = "it has not begun";
        while self.in_time(departure) {
            if !self.can_complete(departure) {
                // The engine may turn out to serve for longer.
                held_up_by = "the link cannot carry it in time";
                tokio::time::sleep(AGAIN).await;
                continue;
            }
            if let Some(wait) = self.until_turn(departure) {
                tokio::time::sleep(wait).await;
                continue;
            }
            let Some(target) = self.target(avoid) else {
                // Room may come free; those without any are asked again.
                held_up_by = "no other engine has room";
                avoid.clear();
                tokio::time::sleep(AGAIN).await;
                continue;
            };
            match self.order(&target, false, self.time_left(departure)).await {
                Ordered::Answered(MoveAnswer::Copied { handle }) => {
                    *unused.borrow_mut() = Some(handle);
                    self.ticket.relocate(&target.id);
                    return Some(target);
                }
                Ordered::Answered(MoveAnswer::NoRoom { .. }) => avoid.push(target.id.clone()),
                // It has not begun, has just ended, or is being copied.
                Ordered::Answered(MoveAnswer::NotFound | MoveAnswer::Busy)
                | Ordered::Unanswered => tokio::time::sleep(AGAIN).await,
                Ordered::Ended => {
                    held_up_by = ENDED;
                    break;
                }
            }
        }
        self.failed(held_up_by);
        None
    }

    /// Copies what is new until that comes back at once, which shows that the
    /// link is idle; at the last call it is no longer waited for.
    async fn wait_for_idle_link(
        &self,
        departure: &watch::Receiver<Option<Departure>>,
        target: &Upstream,
    ) {
        loop {
            let began = self.front.clock.now();
            let stop_and_copy_deadline = departure
                .borrow()
                .as_ref()
                .map(Departure::stop_and_copy_deadline);
            if stop_and_copy_deadline.is_none_or(|last| began >= last) {
                return;
            }
            let answer = self.order(target, false, self.time_left(departure)).await;
            let took = self.front.clock.now().saturating_sub(began);
            match answer {
                Ordered::Answered(MoveAnswer::Copied { .. }) if took < IDLE_LINK => return,
                Ordered::Answered(MoveAnswer::Copied { .. }) => {}
                // What went wrong shows in the next step.
                _ => return,
            }
        }
    }

    /// Stops the generation and copies what is new.
    async fn stop_and_copy(
        &self,
        departure: &watch::Receiver<Option<Departure>>,
        mut target: Rc<Upstream>,
        avoid: &mut Vec<UpstreamId>,
    ) -> Carried {
        let began = self.front.clock.now();
        let mut may_be_stopped = false;
        while self.in_time(departure) {
            match self.order(&target, true, self.time_left(departure)).await {
                Ordered::Answered(MoveAnswer::Copied { handle }) => {
                    return Carried::Moved(Moved {
                        target,
                        handle,
                        stopping: self.front.clock.now().saturating_sub(began),
                    });
                }
                Ordered::Answered(MoveAnswer::NotFound) if may_be_stopped => break,
                Ordered::Answered(MoveAnswer::NotFound) => return Carried::NotMoved,
                Ordered::Answered(MoveAnswer::NoRoom { .. }) => {
                    may_be_stopped = true;
                    avoid.push(target.id.clone());
                    if let Some(other) = self.target(avoid) {
                        self.ticket.relocate(&other.id);
                        target = other;
                    }
                }
                Ordered::Answered(MoveAnswer::Busy) => tokio::time::sleep(AGAIN_STOPPED).await,
                Ordered::Unanswered => {
                    may_be_stopped = true;
                    tokio::time::sleep(AGAIN_STOPPED).await;
                }
                Ordered::Ended => {
                    self.failed(ENDED);
                    return Carried::Stopped;
                }
            }
        }
        self.failed("the last part could not be copied in time");
        Carried::Stopped
    }

    async fn order(&self, target: &Upstream, stop: bool, timeout: Duration) -> Ordered {
        let began = self.front.clock.now();
        let answer = self
            .front
            .engines
            .copy(self.source.addr, &self.id, target.addr, stop, timeout)
            .await;
        let took = self.front.clock.now().saturating_sub(began);
        let said = match &answer {
            Ok(MoveAnswer::Copied { .. }) => "copied",
            Ok(MoveAnswer::NotFound) => "not found",
            Ok(MoveAnswer::Busy) => "busy",
            Ok(MoveAnswer::NoRoom { .. }) => "no room",
            Err(e) if e.has_ended() => "ended",
            Err(_) => "no answer",
        };
        record!(
            events::COPIED,
            request = self.id.as_str(),
            from = self.source.id.as_str(),
            to = target.id.as_str(),
            stop = stop,
            answer = said,
            took_ms = took.as_millis() as u64,
        );
        match answer {
            Ok(answer) => Ordered::Answered(answer),
            Err(e) if e.has_ended() => Ordered::Ended,
            Err(_) => Ordered::Unanswered,
        }
    }

    fn failed(&self, reason: &'static str) {
        record!(
            events::NOT_MOVED,
            request = self.id.as_str(),
            from = self.source.id.as_str(),
            reason = reason,
        );
        let moves = &self.front.metrics.moves;
        moves.with_label_values(&["not-copied"]).inc();
    }
}
