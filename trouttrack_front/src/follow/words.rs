//! What upstreams say of themselves: here all carriers of such a word meet.
//!
//! The head of any answer may say that its upstream leaves, also while the store is away and
//! nobody else can, that it wants nothing from this VM for a while, or how many requests a
//! second it takes from all VMs together. The store's entry and an engine's report say the
//! first too. Limits are also told by VM to VM: one that gets no answer goes by them too.

use super::upstreams::said_leaving;
use crate::state::{Front, Upstream};
use std::rc::Rc;
use trouttrack_core::Time;
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::{
    Incarnation, RateLimit, RateStatement, ReportedLimit, UpstreamNotice,
};
use trouttrack_platform::{AnswerHead, EngineReport, OwnWord};
use trouttrack_telemetry::{events, record};

/// What an upstream said, and in what.
#[derive(Clone, Copy, Debug)]
struct Told<'a> {
    word: OwnWord,
    /// What carried the word.
    carrier: &'static str,
    /// The VM that told of it.
    peer: Option<&'a str>,
    /// The request that the answer is to.
    request: Option<&'a str>,
    /// The answer's status.
    status: Option<u16>,
    /// When it was asked.
    asked_at: Time,
}

/// An answer to a request that was sent at `asked_at` or later has come, whatever it is worth
/// to the caller.
pub(crate) fn heard_in_answer(
    front: &Rc<Front>,
    upstream: &Rc<Upstream>,
    request: &str,
    asked_at: Time,
    head: &AnswerHead,
) {
    let mut word = head.word;
    if !head.answers(request) {
        // An answer to an earlier request may be older than a limit that was named since.
        word.rate_limit = word.rate_limit.filter(|limit| limit.is_limited());
    }
    let told = Told {
        word,
        carrier: "answer",
        peer: None,
        request: Some(request),
        status: Some(head.status.as_u16()),
        asked_at,
    };
    let departure = Departure::from_notice(front.clock.now());
    heard(front, upstream, &told, departure);
}

/// A report that was asked for at `asked_at` has come. One of another life says nothing of
/// this one.
pub(crate) fn heard_in_report(
    front: &Rc<Front>,
    upstream: &Rc<Upstream>,
    asked_at: Time,
    report: &EngineReport,
) {
    if report.born != 0 && upstream.born != 0 && report.born != upstream.born {
        return;
    }
    let told = Told {
        word: OwnWord {
            leaving: report.leaving || report.word.leaving,
            // Only answers to requests promise to name a limit.
            rate_limit: report.word.rate_limit.filter(|limit| limit.is_limited()),
            ..report.word
        },
        carrier: "report",
        peer: None,
        request: None,
        status: None,
        asked_at,
    };
    heard(front, upstream, &told, Departure::from_report(asked_at));
}

/// A peer has told of limits that upstreams named, or that have ended.
pub(crate) fn heard_from_peer(front: &Front, peer: &str, limits: &[ReportedLimit]) {
    let now = front.clock.now();
    for limit in limits {
        let statement = limit.statement(now);
        if !front
            .scheduler
            .receive_notice(&limit.life, UpstreamNotice::RateLimit(statement))
        {
            continue;
        }
        let told = Told {
            word: OwnWord {
                rate_limit: Some(statement.limit),
                ..OwnWord::default()
            },
            carrier: "peer",
            peer: Some(peer),
            request: None,
            status: None,
            asked_at: now,
        };
        record(front, &limit.life, &told);
    }
}

/// Takes in a word. What was placed by then and not yet sent goes elsewhere.
fn heard(front: &Rc<Front>, upstream: &Rc<Upstream>, told: &Told<'_>, departure: Departure) {
    let ends_limit = told.word.rate_limit == Some(RateLimit::Unlimited)
        && front.scheduler.rate_limit(&upstream.id).is_limited();
    if told.word.is_empty() && !ends_limit {
        return;
    }
    let life = upstream.incarnation();
    let hear = |notice| front.scheduler.receive_notice(&life, notice);
    let limit_changed = told.word.rate_limit.is_some_and(|limit| {
        let now = front.clock.now();
        hear(UpstreamNotice::RateLimit(RateStatement::new(
            limit,
            told.asked_at,
            now,
        )))
    });
    let rests = told
        .word
        .pause
        .is_some_and(|pause| hear(UpstreamNotice::Pause(pause)));
    let leaving = told.word.leaving && hear(UpstreamNotice::Leaving);
    if rests || leaving || limit_changed {
        record(front, &life, told);
    }
    if limit_changed {
        front.scheduler.tell_soon();
    }
    // Its entry may have gone and come back while the request was there.
    let listed = front.upstreams.get(&upstream.id);
    let listed = listed.filter(|u| u.incarnation() == life);
    if let Some(current) = listed.filter(|_| told.word.leaving) {
        said_leaving(front, &current, departure);
    }
}

fn record(front: &Front, life: &Incarnation, told: &Told<'_>) {
    let limit = told.word.rate_limit;
    let pause_ms = told.word.pause.map(|p| p.as_millis() as u64);
    record!(
        events::UPSTREAM_SAID,
        upstream = life.id.as_str(),
        born = life.born,
        carrier = told.carrier,
        peer = told.peer,
        request = told.request,
        status = told.status,
        leaving = told.word.leaving,
        pause_ms = pause_ms,
        limit_per_s = limit.and_then(RateLimit::per_second),
    );
    let counted = &front.metrics.words;
    if told.word.leaving {
        counted.with_label_values(&["leaving"]).inc();
    }
    if pause_ms.is_some() {
        counted.with_label_values(&["pause"]).inc();
    }
    if limit.is_some_and(RateLimit::is_limited) {
        counted.with_label_values(&["limit"]).inc();
    }
}
