//! Carrying out the steps of the retry rule.

use super::{Broken, Session};
use crate::canceller::CancelStream;
use crate::request::attempt::{Attempt, Opened};
use std::time::{Duration, SystemTime};
use trouttrack_core::Outcome;
use trouttrack_core::request::{Failure, Step, StepResult};
use trouttrack_telemetry::events;
use trouttrack_telemetry::trace::Hop;

/// The first pause before attaching again; it doubles.
const RESUME_PAUSE: Duration = Duration::from_millis(25);
/// The longest pause before attaching again.
const LONGEST_RESUME_PAUSE: Duration = Duration::from_millis(800);

impl Session {
    /// Carries out the steps of the retry rule until one helps.
    pub(super) async fn recover(&mut self, broken: Broken) {
        self.attempt = None;
        let mut result = self.machine.failed(broken.failure);
        loop {
            result = match result {
                StepResult::Ended(outcome) => {
                    self.give_back(broken.failure);
                    let code = match outcome {
                        Outcome::NotRun => "no_upstream_ran_it",
                        other => other.as_str(),
                    };
                    return self.end(outcome, code, &broken.detail);
                }
                StepResult::Try(Step::Resume) => {
                    if self.resume(broken.silent).await {
                        return;
                    }
                    self.machine.step_failed()
                }
                StepResult::Try(Step::FenceThenPlaceAgain) => {
                    if self.fence().await {
                        self.machine.fenced()
                    } else {
                        self.machine.step_failed()
                    }
                }
                StepResult::Try(Step::RunAgain) => {
                    self.shared.metrics.recovered("run-again");
                    events::RUN_AGAIN.log(format_args!(
                        "request={} upstream={}: {}",
                        self.parts.id,
                        self.upstream(),
                        broken.detail
                    ));
                    self.cancel_in_background(Duration::ZERO, false);
                    return self.go_elsewhere(broken.failure);
                }
                StepResult::Try(Step::PlaceAgain | Step::End(_)) => {
                    self.shared.metrics.recovered("elsewhere");
                    return self.go_elsewhere(broken.failure);
                }
            };
        }
    }

    fn go_elsewhere(&mut self, failure: Failure) {
        self.avoid.push(self.upstream().to_owned());
        self.give_back(failure);
        self.held.clear();
        self.last_token = None;
        self.again = true;
        self.resumes = 0;
    }

    fn give_back(&mut self, failure: Failure) {
        let ticket = self.placed.take().and_then(|p| p.ticket);
        if let Some(ticket) = ticket {
            match failure {
                Failure::Refused => ticket.refused(),
                _ => ticket.fault(),
            }
        }
    }

    /// Attaches to the stream again, several times if need be.
    async fn resume(&mut self, silent: bool) -> bool {
        let Some(target) = self.placed.as_ref().map(|p| p.target.clone()) else {
            return false;
        };
        self.hop_start = SystemTime::now();
        let mut pause = RESUME_PAUSE;
        // A stream that is merely slow answers the probe and costs nothing.
        let mut counts = !silent;
        loop {
            if counts {
                self.resumes += 1;
            }
            if self.resumes > self.clients.limits.resumes {
                return false;
            }
            counts = true;
            let stream = self.cursor.stream().to_owned();
            let from = self.cursor.next();
            match Attempt::attach(&self.clients, &target, &stream, from).await {
                Opened::Stream(attempt) => {
                    self.attempt = Some(attempt);
                    self.shared.metrics.recovered("resume");
                    self.hop(Hop::Resume);
                    events::STREAM_RESUMED.log(format_args!(
                        "request={} upstream={} from_token={from}",
                        self.parts.id, target.name
                    ));
                    return true;
                }
                Opened::Unknown | Opened::Rejected(_) => return false,
                Opened::NotConnected(_) | Opened::Refused(_) | Opened::Known | Opened::Lost(_) => {}
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_RESUME_PAUSE);
        }
    }

    /// Makes sure that the stream id never runs, if it has not run.
    async fn fence(&mut self) -> bool {
        let Some(placed) = &self.placed else {
            return false;
        };
        // Without a known incarnation, a restart in between could hide a run.
        let Some(boot) = &placed.boot else {
            return false;
        };
        let stream = self.cursor.stream();
        let answer = Attempt::cancel(&self.clients, &placed.target, stream, false).await;
        let fenced = answer.is_ok_and(|c| !c.ran && c.boot == *boot);
        if fenced {
            self.shared.metrics.recovered("fence");
            events::FENCED.log(format_args!(
                "request={} upstream={} stream={stream}",
                self.parts.id, placed.target.name
            ));
        }
        fenced
    }

    /// Has the stream cancelled; the ticket is kept until then.
    pub(super) fn cancel_in_background(&mut self, after: Duration, only_unread: bool) {
        let Some(placed) = &mut self.placed else {
            return;
        };
        self.shared.canceller.do_send(CancelStream {
            target: placed.target.clone(),
            stream: self.cursor.stream().to_owned(),
            after,
            only_unread,
            ticket: match only_unread {
                true => placed.ticket.take(),
                false => None,
            },
        });
    }
}
