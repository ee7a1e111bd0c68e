//! Quarantine of requests, and of parts of prompts, that make upstreams exit.

use super::attempt::AttemptFailure;
use super::end::End;
use super::fingerprint::fingerprint;
use crate::caller::Admitted;
use crate::state::{Front, Upstream};
use bytes::Bytes;
use std::cell::{Cell, OnceCell};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::quarantine::{Attributes, CrashedRun};
use trouttrack_http::{Presence, SendErrorKind};

/// Time limit of the probe that checks, after a lost connection and before the next attempt,
/// whether the upstream exited. Long enough to ask peers where this VM's own path may be lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(130);

/// Longest time that a process may take to exit after its connections closed. A small fraction
/// of the time within which all VMs must learn of the exit.
const EXIT_WINDOW: Duration = Duration::from_millis(300);

/// Limit on repeated probes while the connections of the upstream do not last.
const MAX_PROBES: u32 = 8;
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// How long the answer of an upstream must go on for its beginning to be over.
const BEGINNING: Duration = Duration::from_millis(250);

/// A request that was sent to an upstream.
#[derive(Clone, Debug)]
pub(super) struct SentRequest<'a> {
    pub(super) front: &'a Rc<Front>,
    pub(super) admitted: &'a Admitted,
    pub(super) body: &'a Bytes,
}

/// Quarantine check of one arrival of a request. Its attributes are computed only if something
/// is suspected or an attempt lost its connection.
#[derive(Debug, Default)]
pub(super) struct QuarantineCheck {
    attributes: OnceCell<Attributes>,
    /// When the current upstream began its answer.
    began_at: Cell<Option<Time>>,
    /// Whether the beginning of an answer is over, at this or an earlier upstream.
    is_beginning_over: Cell<bool>,
}

impl QuarantineCheck {
    /// Attributes of the request, computed on first use.
    pub(super) fn attributes(&self, admitted: &Admitted, body: &Bytes) -> &Attributes {
        self.attributes.get_or_init(|| {
            let parts = admitted.head.prompt_parts();
            Attributes::new(fingerprint(admitted, body), parts)
        })
    }

    /// Returns the outcome of the request if it is quarantined. Earlier attempts may have run.
    pub(super) fn check(&self, front: &Front, admitted: &Admitted, body: &Bytes) -> Option<End> {
        if front.quarantine.is_empty() {
            return None;
        }
        let hold = front.quarantine.hold(self.attributes(admitted, body))?;
        Some(End::quarantined(hold))
    }

    /// Waits until the request is quarantined, and returns its outcome.
    pub(super) async fn quarantined(
        &self,
        front: &Front,
        admitted: &Admitted,
        body: &Bytes,
    ) -> End {
        loop {
            front.quarantine.hold_begun().await;
            if let Some(end) = self.check(front, admitted, body) {
                return end;
            }
        }
    }

    /// Forgets the answer of the previous upstream.
    pub(super) fn change_upstream(&self) {
        self.began_at.set(None);
    }

    /// Records that the current upstream wrote a part of its answer.
    pub(super) fn wrote(&self, front: &Front, admitted: &Admitted, now: Time) {
        if self.is_beginning_over.get() {
            return;
        }
        let began_at = self.began_at.get().unwrap_or(now);
        self.began_at.set(Some(began_at));
        if now.saturating_sub(began_at) >= BEGINNING {
            self.end_beginning(front, admitted, began_at);
        }
    }

    /// Clears the parts of the prompt of crashes before the answer began.
    fn end_beginning(&self, front: &Front, admitted: &Admitted, began_at: Time) {
        self.is_beginning_over.set(true);
        if !front.quarantine.is_empty() {
            let parts = admitted.head.prompt_parts();
            front.quarantine.record_begun_run(began_at, &parts);
        }
    }

    /// Whether the beginning of an answer was over at a time, even if no event showed it.
    fn had_begun_long_before(&self, at: Time) -> bool {
        let is_long = |began_at: Time| at.saturating_sub(began_at) >= BEGINNING;
        self.is_beginning_over.get() || self.began_at.get().is_some_and(is_long)
    }

    /// Records a failed attempt, which began at `sent_at`. The request is suspected if its
    /// upstream exited without having announced that it leaves.
    pub(super) async fn record_failure(
        &self,
        request: SentRequest<'_>,
        upstream: &Rc<Upstream>,
        sent_at: Time,
        failure: &AttemptFailure,
    ) {
        if !failure.connection_closed() || upstream.is_leaving() {
            return;
        }
        let SentRequest {
            front,
            admitted,
            body,
        } = request;
        let attributes = self.attributes(admitted, body);
        let lost_at = front.clock.now();
        let suspect = SuspectedExit {
            attributes: match self.had_begun_long_before(lost_at) {
                true => attributes.without_parts(),
                false => attributes.clone(),
            },
            upstream: Rc::clone(upstream),
            sent_at,
            lost_at,
        };
        let probed = tokio::time::timeout(PROBE_TIMEOUT, front.http.probe(upstream.addr)).await;
        match probed {
            Ok(Err(e)) if e.kind == SendErrorKind::NobodyThere => suspect.confirm(front),
            Ok(Ok(presence)) => {
                actix_rt::spawn(suspect.probe_until_exit(Rc::clone(front), presence));
            }
            _ => {}
        }
    }

    /// Records a run that completed.
    pub(super) fn record_run(&self, front: &Front, admitted: &Admitted, body: &Bytes) {
        if front.quarantine.is_empty() {
            return;
        }
        let attributes = self.attributes(admitted, body);
        front.quarantine.record_completed_run(attributes.request());
        if !self.is_beginning_over.get() {
            let began_at = self.began_at.get().unwrap_or_else(|| front.clock.now());
            self.end_beginning(front, admitted, began_at);
        }
    }
}

/// Exit of an upstream, of which only the loss of a connection is known.
#[derive(Debug)]
struct SuspectedExit {
    /// What may be the cause.
    attributes: Attributes,
    upstream: Rc<Upstream>,
    /// When the request was sent to it.
    sent_at: Time,
    /// When the connection was lost.
    lost_at: Time,
}

impl SuspectedExit {
    /// Records the exit.
    fn confirm(&self, front: &Front) {
        let upstream = self.upstream.incarnation();
        front.scheduler.connection_refused(&upstream);
        let run = CrashedRun {
            upstream,
            sent_at: Some(self.sent_at),
        };
        front.quarantine.ended(&self.attributes, &run, self.lost_at);
    }

    /// Probes the upstream until it is seen to have exited or to be alive. An exiting process may
    /// close its connections before its port, and a proxy in front of it may accept connections
    /// for a moment longer; those connections do not last.
    async fn probe_until_exit(self, front: Rc<Front>, mut presence: Presence) {
        for _ in 0..MAX_PROBES {
            if presence.lasts(EXIT_WINDOW).await {
                return;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
            match front.http.probe(self.upstream.addr).await {
                Ok(next) => presence = next,
                Err(e) if e.kind == SendErrorKind::NobodyThere => {
                    self.confirm(&front);
                    return;
                }
                Err(_) => return,
            }
        }
    }
}
