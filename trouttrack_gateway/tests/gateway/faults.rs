//! The fault table: what each kind of request is promised under each fault.
//!
//! Every cell causes its fault at a stand-in and checks the stated outcome
//! and, against the stand-ins' own ledgers, that
//!
//! - tokens came once, in order, from one generation,
//! - a complete answer is the whole of one run,
//! - `not-run` was run nowhere,
//! - what is not repeatable ran at most once.

use crate::support::{Answer, Bed, from_one_run, until};
use trouttrack_standin::engine::{Fault, FaultKind, On};
use trouttrack_standin::plain::PlainFault;
use trouttrack_standin::platform::PlatformFault;
use trouttrack_standin::platform::PlatformFaultKind::{self, Down};

const TOKENS: u64 = 40;

#[derive(Clone, Copy, Debug)]
enum Cause {
    /// One fault, or two that strike one after the other, at the first engine.
    Armed(&'static [(On, FaultKind, u64, u32)]),
    /// The first engine does not listen.
    Dead,
    /// The first engine dies while it streams.
    DiesInStream,
    /// The platform, from before the request on; and the first engine's fault.
    Platform(PlatformFaultKind, &'static [(On, FaultKind, u64, u32)]),
    /// A planned stop of the gateway while it streams; and the first engine's
    /// fault.
    Stop(&'static [(On, FaultKind, u64, u32)]),
    /// The first engine says that it leaves, while it streams.
    Leaves,
}

use Cause::{Armed, Dead, DiesInStream, Leaves, Platform, Stop};
use FaultKind::{
    Abort, Crossed, Duplicate, Gap, LateCall, LoseCall, OtherGeneration, Refuse, Reset, Restart,
    Silent,
};
use On::{Attach, Cancel, Submit};

struct Row {
    name: &'static str,
    cause: Cause,
    /// Outcomes of stream-many, stream-once, whole-many, whole-once.
    outcomes: [&'static str; 4],
}

const COMPLETE: [&str; 4] = ["complete"; 4];
/// Before the first token: runs again if it may.
const BEFORE: [&str; 4] = ["complete", "unknown", "complete", "unknown"];
/// In mid stream.
const MIDST: [&str; 4] = ["interrupted", "interrupted", "complete", "unknown"];

#[rustfmt::skip]
const ROWS: &[Row] = &[
    Row { name: "none",                        cause: Armed(&[]),                          outcomes: COMPLETE },
    Row { name: "engine dead",                 cause: Dead,                                outcomes: COMPLETE },
    Row { name: "refused",                     cause: Armed(&[(Submit, Refuse, 0, 1)]),    outcomes: COMPLETE },
    Row { name: "call lost on its way",        cause: Armed(&[(Submit, LoseCall, 0, 1)]),  outcomes: COMPLETE },
    Row { name: "call arrives late",           cause: Armed(&[(Submit, LateCall, 0, 1)]),  outcomes: COMPLETE },
    Row { name: "reset before first token",    cause: Armed(&[(Submit, Reset, 0, 1)]),     outcomes: COMPLETE },
    Row { name: "reset after first token",     cause: Armed(&[(Submit, Reset, 1, 1)]),     outcomes: COMPLETE },
    Row { name: "reset in mid stream",         cause: Armed(&[(Submit, Reset, 9, 1)]),     outcomes: COMPLETE },
    Row { name: "silent before first token",   cause: Armed(&[(Submit, Silent, 0, 1)]),    outcomes: COMPLETE },
    Row { name: "silent in mid stream",        cause: Armed(&[(Submit, Silent, 9, 1)]),    outcomes: COMPLETE },
    Row { name: "late duplicates",             cause: Armed(&[(Submit, Duplicate, 9, 1)]), outcomes: COMPLETE },
    Row { name: "a frame is missing",          cause: Armed(&[(Submit, Gap, 9, 1)]),       outcomes: COMPLETE },
    Row { name: "crossed answer at start",     cause: Armed(&[(Submit, Crossed, 0, 1)]),   outcomes: COMPLETE },
    Row { name: "crossed answer in midst",     cause: Armed(&[(Submit, Crossed, 9, 1)]),   outcomes: COMPLETE },
    Row { name: "frame of other generation",   cause: Armed(&[(Submit, OtherGeneration, 9, 1)]), outcomes: COMPLETE },
    Row { name: "aborted before first token",  cause: Armed(&[(Submit, Abort, 0, 1)]),     outcomes: BEFORE },
    Row { name: "aborted in mid stream",       cause: Armed(&[(Submit, Abort, 9, 1)]),     outcomes: MIDST },
    Row { name: "engine restarts on the call", cause: Armed(&[(Submit, Restart, 0, 1)]),   outcomes: BEFORE },
    Row { name: "engine dies in mid stream",   cause: DiesInStream,                        outcomes: MIDST },
    Row { name: "reset, attach refused twice", cause: Armed(&[(Submit, Reset, 9, 1), (Attach, Refuse, 0, 2)]),   outcomes: COMPLETE },
    Row { name: "reset, attach lost",          cause: Armed(&[(Submit, Reset, 9, 1), (Attach, LoseCall, 0, 1)]), outcomes: COMPLETE },
    Row { name: "reset twice",                 cause: Armed(&[(Submit, Reset, 9, 1), (Attach, Reset, 20, 1)]),   outcomes: COMPLETE },
    Row { name: "reset, then crossed",         cause: Armed(&[(Submit, Reset, 9, 1), (Attach, Crossed, 20, 1)]), outcomes: COMPLETE },
    Row { name: "silent, then duplicates",     cause: Armed(&[(Submit, Silent, 9, 1), (Attach, Duplicate, 20, 1)]), outcomes: COMPLETE },
    Row { name: "reset, never attached again", cause: Armed(&[(Submit, Reset, 9, 1), (Attach, Refuse, 0, 50)]),  outcomes: MIDST },
    Row { name: "platform down",               cause: Platform(Down, &[]),                 outcomes: COMPLETE },
    Row { name: "platform silent",             cause: Platform(PlatformFaultKind::LoseCall, &[]), outcomes: COMPLETE },
    Row { name: "platform slow",               cause: Platform(PlatformFaultKind::Slow { ms: 200 }, &[]), outcomes: COMPLETE },
    Row { name: "platform loses replies",      cause: Platform(PlatformFaultKind::LoseReply, &[]), outcomes: COMPLETE },
    Row { name: "platform down, then reset",   cause: Platform(Down, &[(Submit, Reset, 9, 1)]), outcomes: COMPLETE },
    Row { name: "platform down, then abort",   cause: Platform(Down, &[(Submit, Abort, 9, 1)]), outcomes: MIDST },
    Row { name: "planned stop",                cause: Stop(&[]),                           outcomes: COMPLETE },
    Row { name: "planned stop, then reset",    cause: Stop(&[(Submit, Reset, 12, 1)]),     outcomes: COMPLETE },
    Row { name: "planned stop, then silence",  cause: Stop(&[(Submit, Silent, 12, 1)]),    outcomes: COMPLETE },
    Row { name: "engine reclaimed with notice", cause: Leaves,                             outcomes: COMPLETE },
    Row { name: "call lost, fence unanswered", cause: Armed(&[(Submit, LoseCall, 0, 1), (Cancel, Silent, 0, 9)]), outcomes: BEFORE },
    Row { name: "call late, fence unanswered", cause: Armed(&[(Submit, LateCall, 0, 1), (Cancel, Refuse, 0, 9)]), outcomes: BEFORE },
];

const SERVICES: [&str; 4] = ["stream-many", "stream-once", "whole-many", "whole-once"];

fn check(cell: &str, service: &str, answer: &Answer, bed: &Bed, expected: &str) {
    let runs = bed.runs(cell);
    let context = format!("{cell}: {answer:?}, runs {runs:?}");
    assert_eq!(answer.outcome, expected, "{context}");
    match expected {
        "complete" => assert!(from_one_run(answer, &runs, true), "{context}"),
        "not-run" => assert!(runs.is_empty(), "{context}"),
        _ => assert!(
            from_one_run(answer, &runs, false) || answer.text.is_empty(),
            "{context}"
        ),
    }
    let in_order = (0..answer.ids.len() as u64).eq(answer.ids.iter().copied());
    assert!(in_order, "{context}");
    if service.ends_with("-once") {
        assert!(runs.len() <= 1, "{context}");
    }
}

fn arm(bed: &Bed, faults: &[(On, FaultKind, u64, u32)]) {
    for &(on, kind, at, times) in faults {
        let fault = Fault {
            on,
            kind,
            at,
            times,
        };
        bed.engines[0].state.arm(fault);
    }
}

/// What has happened before the request is made.
async fn before(cause: Cause, bed: &Bed) {
    match cause {
        Armed(faults) | Stop(faults) => arm(bed, faults),
        Platform(kind, faults) => {
            bed.platform.state.arm(PlatformFault {
                kind,
                times: None,
                writes_only: false,
            });
            arm(bed, faults);
        }
        Dead => bed.engines[0].kill().await,
        DiesInStream | Leaves => {}
    }
}

/// What happens once tokens are written.
async fn during(cause: Cause, bed: &Bed, marker: &str) {
    let wrote = || bed.runs(marker).first().is_some_and(|r| r.written > 5);
    match cause {
        DiesInStream => {
            until("tokens are written", wrote).await;
            bed.engines[0].state.restart();
            bed.engines[0].kill().await;
        }
        Stop(_) => {
            until("tokens are written", wrote).await;
            bed.gateways[0].stop().await;
        }
        Leaves => {
            until("tokens are written", wrote).await;
            bed.engines[0].state.set_leaving(true);
        }
        Armed(_) | Dead | Platform(..) => {}
    }
}

async fn cell(row: &Row, column: usize) {
    let service = SERVICES[column];
    let name = format!("{} / {service}", row.name);
    let bed = Bed::new(1).await;
    before(row.cause, &bed).await;
    let asked = bed.ask(service, &name, TOKENS);
    let meanwhile = during(row.cause, &bed, &name);
    let (answer, ()) = futures_util::join!(asked, meanwhile);
    check(&name, service, &answer, &bed, row.outcomes[column]);
}

/// One column of the table, several rows at a time.
async fn column(column: usize) {
    const AT_ONCE: usize = 9;
    for rows in ROWS.chunks(AT_ONCE) {
        futures_util::future::join_all(rows.iter().map(|row| cell(row, column))).await;
    }
}

#[actix_web::test]
async fn stream_that_may_be_repeated() {
    column(0).await;
}

#[actix_web::test]
async fn stream_that_runs_at_most_once() {
    column(1).await;
}

#[actix_web::test]
async fn whole_answer_that_may_be_repeated() {
    column(2).await;
}

#[actix_web::test]
async fn whole_answer_that_runs_at_most_once() {
    column(3).await;
}

struct PlainRow {
    name: &'static str,
    faults: &'static [PlainFault],
    dead: bool,
    /// Outcome and most runs of plain-many, plain-once.
    outcomes: [(&'static str, usize); 2],
}

#[rustfmt::skip]
const PLAIN_ROWS: &[PlainRow] = &[
    PlainRow { name: "none",       faults: &[],                      dead: false, outcomes: [("complete", 1), ("complete", 1)] },
    PlainRow { name: "dead",       faults: &[],                      dead: true,  outcomes: [("complete", 1), ("complete", 1)] },
    PlainRow { name: "refused",    faults: &[PlainFault::Refuse],    dead: false, outcomes: [("complete", 1), ("complete", 1)] },
    PlainRow { name: "call-lost",  faults: &[PlainFault::LoseCall],  dead: false, outcomes: [("complete", 1), ("unknown", 0)] },
    PlainRow { name: "reply-lost", faults: &[PlainFault::LoseReply], dead: false, outcomes: [("complete", 2), ("unknown", 1)] },
    PlainRow { name: "unframed",   faults: &[PlainFault::UnframedHalf], dead: false, outcomes: [("complete", 2), ("unknown", 1)] },
    PlainRow { name: "reply-cut",  faults: &[PlainFault::CutReply],  dead: false, outcomes: [("complete", 2), ("unknown", 1)] },
];

#[actix_web::test]
async fn plain_services() {
    for row in PLAIN_ROWS {
        for (column, service) in ["plain-many", "plain-once"].into_iter().enumerate() {
            let bed = Bed::new(1).await;
            for fault in row.faults {
                bed.plains[0].state.arm(*fault);
            }
            if row.dead {
                bed.plains[0].kill().await;
            }
            let answer = bed.call(service, row.name).await;
            let (outcome, runs) = row.outcomes[column];
            let context = format!("{} / {service}: {answer:?}", row.name);
            assert_eq!(answer.outcome, outcome, "{context}");
            assert_eq!(bed.plain_runs(row.name), runs, "{context}");
        }
    }
}

/// Where nothing can run a request, it is told so at once or at its queue's
/// deadline, with a time to come back, and nothing ran.
#[actix_web::test]
async fn not_run_is_said_with_a_time_to_come_back() {
    let bed = Bed::new(1).await;
    for e in &bed.engines {
        e.state.arm(Fault {
            on: Submit,
            kind: Refuse,
            at: 0,
            times: 100,
        });
    }
    for service in SERVICES {
        let marker = format!("refused everywhere {service}");
        let answer = bed.ask(service, &marker, TOKENS).await;
        assert_eq!(answer.outcome, "not-run", "{answer:?}");
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.retry_after.is_some(), "{answer:?}");
        assert!(bed.runs(&marker).is_empty());
    }
}
