//! What upstreams say of themselves: here all carriers of such a word meet.
//!
//! The head of any answer may say that its upstream leaves, also while the store is away and
//! nobody else can, or that it wants nothing from this VM for a while. The store's entry and
//! an engine's report say the former too.

use super::upstreams::said_leaving;
use crate::state::{Front, Upstream};
use std::rc::Rc;
use trouttrack_core::Time;
use trouttrack_core::rescue::Departure;
use trouttrack_core::upstream::Said;
use trouttrack_platform::{AnswerHead, EngineReport, OwnWord};
use trouttrack_telemetry::{events, record};

/// What an upstream said, and in what.
#[derive(Clone, Copy, Debug)]
struct Told<'a> {
    word: OwnWord,
    /// What carried the word.
    carrier: &'static str,
    /// The request that the answer is to.
    request: Option<&'a str>,
    /// The answer's status.
    status: Option<u16>,
}

/// An answer to a request has come, whatever it is worth to the caller.
pub(crate) fn heard_in_answer(
    front: &Rc<Front>,
    upstream: &Rc<Upstream>,
    request: &str,
    head: &AnswerHead,
) {
    let told = Told {
        word: head.word,
        carrier: "answer",
        request: Some(request),
        status: Some(head.status.as_u16()),
    };
    let departure = Departure::noticed(front.clock.now());
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
            ..report.word
        },
        carrier: "report",
        request: None,
        status: None,
    };
    heard(front, upstream, &told, Departure::reported(asked_at));
}

/// Takes in a word. What was placed by then and not yet sent goes elsewhere.
fn heard(front: &Rc<Front>, upstream: &Rc<Upstream>, told: &Told<'_>, departure: Departure) {
    if told.word.is_empty() {
        return;
    }
    let life = upstream.incarnation();
    let hear = |said| front.scheduler.hear(&life, said);
    let rests = told
        .word
        .pause
        .is_some_and(|pause| hear(Said::Rests(pause)));
    let leaving = told.word.leaving && hear(Said::Leaves);
    if rests || leaving {
        record(front, upstream, told);
    }
    // Its entry may have gone and come back while the request was there.
    let listed = front.upstreams.get(&upstream.id);
    let listed = listed.filter(|u| u.incarnation() == life);
    if let Some(current) = listed.filter(|_| told.word.leaving) {
        said_leaving(front, &current, departure);
    }
}

fn record(front: &Front, upstream: &Upstream, told: &Told<'_>) {
    let pause_ms = told.word.pause.map(|p| p.as_millis() as u64);
    record!(
        events::UPSTREAM_SAID,
        upstream = upstream.id.as_str(),
        born = upstream.born,
        carrier = told.carrier,
        request = told.request,
        status = told.status,
        leaving = told.word.leaving,
        pause_ms = pause_ms,
    );
    let counted = &front.metrics.words;
    if told.word.leaving {
        counted.with_label_values(&["leaving"]).inc();
    }
    if pause_ms.is_some() {
        counted.with_label_values(&["pause"]).inc();
    }
}
