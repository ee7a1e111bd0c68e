//! Live migration of a generation: copies its KV cache while it runs, then stops it and
//! copies the remainder.

use super::copy_command::CopyResult;
use super::task::{MoveEnd, MoveTask, Moved, UnusedCopy};
use crate::state::{Front, Ticket, Upstream};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use trouttrack_core::rescue::Departure;
use trouttrack_core::{RequestId, UpstreamId};
use trouttrack_platform::MoveAnswer;
use trouttrack_telemetry::{events, record};

/// Pause before a failed step is retried.
const RETRY_BACKOFF: Duration = Duration::from_millis(40);
/// The same while the generation is stopped. Shorter, because its caller is waiting.
const STOPPED_BACKOFF: Duration = Duration::from_millis(10);
/// Time limit for the report of the engine: a few network round trips.
const REPORT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time past the announced departure during which copies are still tried, since some engines
/// keep serving.
const MAX_OVERRUN: Duration = Duration::from_millis(1500);
/// Longest incremental copy that shows an idle link. A few dozen tokens take a few
/// milliseconds, and the value is well below the pause that callers may notice.
const IDLE_LINK_COPY: Duration = Duration::from_millis(70);
/// Reason for a generation whose engine refuses connections.
const ENGINE_EXITED: &str = "the source engine has exited";

/// Move of one generation.
#[derive(Debug)]
pub(crate) struct GenerationMove {
    pub front: Rc<Front>,
    /// Id of the request.
    pub id: RequestId,
    /// Engine that leaves.
    pub source: Rc<Upstream>,
    /// Scheduler ticket of the request.
    pub ticket: Rc<Ticket>,
}

impl GenerationMove {
    /// Starts the move as a task.
    #[must_use]
    pub(crate) fn start(self) -> MoveTask {
        let unused_copy = UnusedCopy::default();
        let source = Rc::clone(&self.source);
        let task = actix_rt::spawn(self.run(Rc::clone(&unused_copy)));
        MoveTask::new(task, source, unused_copy)
    }

    async fn run(self, unused_copy: UnusedCopy) -> MoveEnd {
        let mut departure = self.source.departure();
        let mut avoid = Vec::new();
        self.wait_for_report(&mut departure).await;
        let Some(target) = self.copy(&departure, &mut avoid, &unused_copy).await else {
            return MoveEnd::NotMoved;
        };
        self.wait_for_idle_link(&departure, &target).await;
        let outcome = self.stop_and_copy(&departure, target, &mut avoid).await;
        if matches!(outcome, MoveEnd::Moved(_)) {
            unused_copy.borrow_mut().take();
        }
        outcome
    }

    /// Whether the engine may still respond.
    fn has_time_left(&self, departure: &watch::Receiver<Option<Departure>>) -> bool {
        !self.time_left(departure).is_zero()
    }

    fn time_left(&self, departure: &watch::Receiver<Option<Departure>>) -> Duration {
        let departure = departure.borrow();
        let ends = departure.as_ref().map(|d| d.ends_at() + MAX_OVERRUN);
        self.front.clock.until(ends.unwrap_or_default())
    }

    /// Whether a copy is expected to finish before the engine leaves.
    fn can_complete(&self, departure: &watch::Receiver<Option<Departure>>) -> bool {
        let (now, tokens) = (self.front.clock.now(), self.ticket.held_tokens());
        let departure = departure.borrow();
        departure
            .as_ref()
            .is_some_and(|d| d.can_complete(now, &self.id, tokens))
    }

    /// Remaining time of the copies scheduled before this one.
    fn time_until_turn(&self, departure: &watch::Receiver<Option<Departure>>) -> Option<Duration> {
        let departure = departure.borrow();
        let pre_copy_at = departure.as_ref()?.pre_copy_at(&self.id);
        let wait = self.front.clock.until(pre_copy_at);
        (!wait.is_zero()).then_some(wait)
    }

    /// Waits briefly until the engine has reported the generations that it holds.
    async fn wait_for_report(&self, departure: &mut watch::Receiver<Option<Departure>>) {
        let reported = departure.wait_for(|d| d.as_ref().is_some_and(Departure::is_reported));
        if tokio::time::timeout(REPORT_TIMEOUT, reported)
            .await
            .is_err()
        {
            log::debug!(
                "{}: the engine did not report its generations in time",
                self.source.id
            );
        }
    }

    fn target(&self, avoid: &[UpstreamId]) -> Option<Rc<Upstream>> {
        let source = &self.source;
        let target = self
            .ticket
            .target(&source.failure_domain, source.version(), avoid)?;
        let target = self.front.upstreams.get(&target.upstream)?;
        target.runs_version_of(source).then_some(target)
    }

    /// Copies the KV cache while the generation runs.
    async fn copy(
        &self,
        departure: &watch::Receiver<Option<Departure>>,
        avoid: &mut Vec<UpstreamId>,
        unused_copy: &UnusedCopy,
    ) -> Option<Rc<Upstream>> {
        let mut blocked_by = "no copy was started";
        while self.has_time_left(departure) {
            if !self.can_complete(departure) {
                // The departure may be postponed.
                blocked_by = "the link is too slow to copy it in time";
                tokio::time::sleep(RETRY_BACKOFF).await;
                continue;
            }
            if let Some(wait) = self.time_until_turn(departure) {
                tokio::time::sleep(wait).await;
                continue;
            }
            let Some(target) = self.target(avoid) else {
                // Room may become free, so engines that were full are tried again.
                blocked_by = "no other engine has room";
                avoid.clear();
                tokio::time::sleep(RETRY_BACKOFF).await;
                continue;
            };
            match self
                .send_copy_command(&target, false, self.time_left(departure))
                .await
            {
                CopyResult::Answered(MoveAnswer::Copied { handle }) => {
                    *unused_copy.borrow_mut() = Some(handle);
                    self.ticket.relocate(&target.id);
                    return Some(target);
                }
                CopyResult::Answered(MoveAnswer::NoRoom { .. }) => avoid.push(target.id.clone()),
                // The generation has not started, has just ended, or is being copied.
                CopyResult::Answered(MoveAnswer::NotFound | MoveAnswer::Busy)
                | CopyResult::NoAnswer => tokio::time::sleep(RETRY_BACKOFF).await,
                CopyResult::EngineExited => {
                    blocked_by = ENGINE_EXITED;
                    break;
                }
            }
        }
        self.log_failure(blocked_by);
        None
    }

    /// Repeats the incremental copy until it finishes quickly, which shows that the link is
    /// idle. Returns at the latest time at which the generation can be stopped.
    async fn wait_for_idle_link(
        &self,
        departure: &watch::Receiver<Option<Departure>>,
        target: &Upstream,
    ) {
        loop {
            let started_at = self.front.clock.now();
            let stop_and_copy_deadline = departure
                .borrow()
                .as_ref()
                .map(Departure::stop_and_copy_deadline);
            if stop_and_copy_deadline.is_none_or(|last| started_at >= last) {
                return;
            }
            let answer = self
                .send_copy_command(target, false, self.time_left(departure))
                .await;
            let took = self.front.clock.now().saturating_sub(started_at);
            match answer {
                CopyResult::Answered(MoveAnswer::Copied { .. }) if took < IDLE_LINK_COPY => return,
                CopyResult::Answered(MoveAnswer::Copied { .. }) => {}
                // The next step reports the failure.
                _ => return,
            }
        }
    }

    /// Stops the generation and copies the remainder.
    async fn stop_and_copy(
        &self,
        departure: &watch::Receiver<Option<Departure>>,
        mut target: Rc<Upstream>,
        avoid: &mut Vec<UpstreamId>,
    ) -> MoveEnd {
        let started_at = self.front.clock.now();
        let mut may_be_stopped = false;
        while self.has_time_left(departure) {
            match self
                .send_copy_command(&target, true, self.time_left(departure))
                .await
            {
                CopyResult::Answered(MoveAnswer::Copied { handle }) => {
                    return MoveEnd::Moved(Moved {
                        target,
                        handle,
                        stopping: self.front.clock.now().saturating_sub(started_at),
                    });
                }
                CopyResult::Answered(MoveAnswer::NotFound) if may_be_stopped => break,
                CopyResult::Answered(MoveAnswer::NotFound) => return MoveEnd::NotMoved,
                CopyResult::Answered(MoveAnswer::NoRoom { .. }) => {
                    may_be_stopped = true;
                    avoid.push(target.id.clone());
                    if let Some(other) = self.target(avoid) {
                        self.ticket.relocate(&other.id);
                        target = other;
                    }
                }
                CopyResult::Answered(MoveAnswer::Busy) => tokio::time::sleep(STOPPED_BACKOFF).await,
                CopyResult::NoAnswer => {
                    may_be_stopped = true;
                    tokio::time::sleep(STOPPED_BACKOFF).await;
                }
                CopyResult::EngineExited => {
                    self.log_failure(ENGINE_EXITED);
                    return MoveEnd::Stopped;
                }
            }
        }
        self.log_failure("the remainder was not copied in time");
        MoveEnd::Stopped
    }

    fn log_failure(&self, reason: &'static str) {
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
