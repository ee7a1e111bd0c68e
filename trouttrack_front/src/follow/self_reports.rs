//! Statements that upstreams make about themselves, from all sources.
//!
//! The head of any answer may state that the upstream is leaving, which also works while the
//! store is unavailable; that it wants no requests from this VM for a while; or how many
//! requests per second it accepts from all VMs together. The store's entry and an engine's report
//! can also state that it is leaving. VMs pass limits on to each other, so that VMs that get no
//! answer from the upstream respect them too.

use super::upstreams::handle_leaving;
use crate::state::{Front, Upstream};
use std::rc::Rc;
use trouttrack_core::Time;
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::{
    BrittleStatement, Incarnation, MemoryReport, RateLimit, RateStatement, ReportedLimit,
    UpstreamNotice,
};
use trouttrack_platform::{AnswerHead, Brittle, EngineReport, OwnWord};
use trouttrack_telemetry::{events, record};

/// A statement by an upstream, and how it was received.
#[derive(Clone, Copy, Debug)]
struct ReceivedStatement<'a> {
    word: OwnWord,
    /// The kind of message that contained the statement.
    carrier: &'static str,
    /// The VM that passed the statement on, if any.
    peer: Option<&'a str>,
    /// The request that the answer belongs to.
    request: Option<&'a str>,
    /// The answer's status.
    status: Option<u16>,
    /// When the request was sent.
    requested_at: Time,
}

/// Handles the head of an answer to a request that was sent at `requested_at` or later, whether or
/// not the answer is usable for the caller.
pub(crate) fn receive_answer(
    front: &Rc<Front>,
    upstream: &Rc<Upstream>,
    request: &str,
    requested_at: Time,
    head: &AnswerHead,
) {
    let mut word = head.word;
    if !head.answers(request) {
        // An answer to an earlier request may predate a limit that was stated since then, so it
        // must not end that limit.
        word.rate_limit = word.rate_limit.filter(|limit| limit.is_limited());
        word.brittle = word.brittle.filter(|b| b.rejections().is_some());
    }
    let received = ReceivedStatement {
        word,
        carrier: "answer",
        peer: None,
        request: Some(request),
        status: Some(head.status.as_u16()),
        requested_at,
    };
    let departure = Departure::from_notice(front.clock.now());
    apply_statement(front, upstream, &received, departure);
}

/// Handles a report that was requested at `requested_at`. A report of another incarnation is
/// ignored.
pub(crate) fn receive_report(
    front: &Rc<Front>,
    upstream: &Rc<Upstream>,
    requested_at: Time,
    report: &EngineReport,
) {
    if report.born != 0 && upstream.born != 0 && report.born != upstream.born {
        return;
    }
    if let Some(memory) = memory_report(report) {
        let life = upstream.incarnation();
        front.scheduler.record_memory(requested_at, &life, memory);
    }
    let received = ReceivedStatement {
        word: OwnWord {
            leaving: report.leaving || report.word.leaving,
            // Only answers to requests are guaranteed to state a limit, so a report without one
            // does not end it.
            rate_limit: report.word.rate_limit.filter(|limit| limit.is_limited()),
            brittle: report.word.brittle.filter(|b| b.rejections().is_some()),
            ..report.word
        },
        carrier: "report",
        peer: None,
        request: None,
        status: None,
        requested_at,
    };
    apply_statement(
        front,
        upstream,
        &received,
        Departure::from_report(requested_at),
    );
}

/// The memory that a report tells of; `None` if it does not list what every running request
/// holds.
fn memory_report(report: &EngineReport) -> Option<MemoryReport> {
    let listed = report.generations.iter().map(|(_, tokens)| tokens);
    report.lists_all.then(|| MemoryReport {
        used_tokens: report.used_tokens,
        listed_tokens: listed.sum(),
    })
}

/// Handles limits that upstreams stated or ended, as passed on by a peer.
pub(crate) fn receive_limits(front: &Front, peer: &str, limits: &[ReportedLimit]) {
    let now = front.clock.now();
    for limit in limits {
        let statement = limit.statement(now);
        if !front
            .scheduler
            .receive_notice(&limit.life, UpstreamNotice::RateLimit(statement))
        {
            continue;
        }
        let received = ReceivedStatement {
            word: OwnWord {
                rate_limit: Some(statement.limit),
                ..OwnWord::default()
            },
            carrier: "peer",
            peer: Some(peer),
            request: None,
            status: None,
            requested_at: now,
        };
        record(front, &limit.life, &received);
    }
}

/// Handles a peer's word that an upstream has said that it leaves.
pub(super) fn receive_announcement(front: &Rc<Front>, peer: &str, life: &Incarnation) {
    let now = front.clock.now();
    if !front
        .scheduler
        .receive_notice(life, UpstreamNotice::Leaving)
    {
        return;
    }
    let received = ReceivedStatement {
        word: OwnWord {
            leaving: true,
            ..OwnWord::default()
        },
        carrier: "peer",
        peer: Some(peer),
        request: None,
        status: None,
        requested_at: now,
    };
    record(front, life, &received);
    let listed = front.upstreams.get(&life.id);
    if let Some(current) = listed.filter(|u| u.incarnation() == *life) {
        handle_leaving(front, &current, Departure::from_notice(now));
    }
}

/// Applies a statement. Requests that were placed there but not yet sent go to another
/// upstream.
fn apply_statement(
    front: &Rc<Front>,
    upstream: &Rc<Upstream>,
    received: &ReceivedStatement<'_>,
    departure: Departure,
) {
    let ends_limit = received.word.rate_limit == Some(RateLimit::Unlimited)
        && front.scheduler.rate_limit(&upstream.id).is_limited();
    let ends_brittle =
        received.word.brittle == Some(Brittle::No) && front.scheduler.is_brittle(&upstream.id);
    if received.word.is_empty() && !ends_limit && !ends_brittle {
        return;
    }
    let life = upstream.incarnation();
    let receive = |notice| front.scheduler.receive_notice(&life, notice);
    let limit_changed = received.word.rate_limit.is_some_and(|limit| {
        let now = front.clock.now();
        receive(UpstreamNotice::RateLimit(RateStatement::new(
            limit,
            received.requested_at,
            now,
        )))
    });
    let brittle_changed = received.word.brittle.is_some_and(|brittle| {
        let (asked_at, now) = (received.requested_at, front.clock.now());
        let statement = BrittleStatement::new(brittle.rejections(), asked_at, now);
        front.scheduler.set_brittle(&upstream.service, statement)
    });
    let rests = received
        .word
        .pause
        .is_some_and(|pause| receive(UpstreamNotice::Pause(pause)));
    let leaving = received.word.leaving && receive(UpstreamNotice::Leaving);
    if rests || leaving || limit_changed || brittle_changed {
        record(front, &life, received);
    }
    if leaving {
        front.upstreams.tell_announced(&life);
    }
    if limit_changed || leaving {
        front.scheduler.schedule_load_update();
    }
    // The entry may have been removed and written again while the request was in progress.
    let listed = front.upstreams.get(&upstream.id);
    let listed = listed.filter(|u| u.incarnation() == life);
    if let Some(current) = listed.filter(|_| received.word.leaving) {
        handle_leaving(front, &current, departure);
    }
}

fn record(front: &Front, life: &Incarnation, received: &ReceivedStatement<'_>) {
    let limit = received.word.rate_limit;
    let brittle = received.word.brittle.and_then(Brittle::rejections);
    let pause_ms = received.word.pause.map(|p| p.as_millis() as u64);
    record!(
        events::UPSTREAM_SAID,
        upstream = life.id.as_str(),
        born = life.born,
        carrier = received.carrier,
        peer = received.peer,
        request = received.request,
        status = received.status,
        leaving = received.word.leaving,
        pause_ms = pause_ms,
        limit_per_s = limit.and_then(RateLimit::per_second),
        brittle = brittle,
    );
    let counted = &front.metrics.words;
    if received.word.leaving {
        counted.with_label_values(&["leaving"]).inc();
    }
    if pause_ms.is_some() {
        counted.with_label_values(&["pause"]).inc();
    }
    if brittle.is_some() {
        counted.with_label_values(&["brittle"]).inc();
    }
    if limit.is_some_and(RateLimit::is_limited) {
        counted.with_label_values(&["limit"]).inc();
    }
}
