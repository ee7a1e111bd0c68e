//! A stream is late by its first event, or by a pause between its events.

use crate::shares::log;
use trouttrack_ledger::{Ledger, Loss, Outcome, Sheet, line};

const SHEET: &str = "[drafts]\nobjective = 1500ms\nin_time = 10\nlate = 2\nattempts = 1\n";
const LATE_BY_PAUSE: &str = "a pause between events exceeded the route's limit";
const LATE_BY_FIRST: &str = "answered after its objective";

/// An answered stream, with further fields.
fn answered(id: &str, first_ms: u32, more: &str) -> String {
    let fields = format!(
        r#""request":"{id}","route":"d","upstream":"e1","status":200,"first_ms":{first_ms},"objective_ms":1500{more}"#
    );
    log(2, "answered", &fields)
}

fn ledger(lines: &[String]) -> Ledger {
    let mut ledger = Ledger::default();
    for said in lines.iter().filter_map(|l| line::decode(l)) {
        ledger.take(said);
    }
    ledger
}

fn streams() -> Ledger {
    ledger(&[
        answered("at the limit", 300, r#","pause_ms":180,"max_pause_ms":180"#),
        answered(
            "over the limit",
            300,
            r#","pause_ms":181,"max_pause_ms":180"#,
        ),
        answered(
            "late by both",
            1_501,
            r#","pause_ms":900,"max_pause_ms":180"#,
        ),
        answered("no limit", 300, r#","pause_ms":900"#),
        // Written by a version that names neither.
        answered("no pause", 300, ""),
    ])
}

#[test]
fn a_pause_over_the_limit_of_the_route_is_late_with_its_own_cause() {
    let entries = streams().entries();
    let found = entries
        .iter()
        .map(|(key, entry)| (key.outcome, key.cause.as_str(), entry.count));
    let expected = [
        (Outcome::InTime, "", 3),
        (Outcome::Late, LATE_BY_PAUSE, 1),
        (Outcome::Late, LATE_BY_FIRST, 1),
    ];
    assert_eq!(found.collect::<Vec<_>>(), expected);
}

#[test]
fn a_stream_that_is_late_by_a_pause_loses_what_a_late_one_loses() {
    let bound = streams().bound(&Sheet::parse(SHEET).expect("a sheet"));
    let account = &bound.by_kind["drafts"];
    let lost = |cause: &str| account.lost[&Loss::Open(cause.to_owned())];
    assert_eq!((lost(LATE_BY_PAUSE), lost(LATE_BY_FIRST)), (8.0, 8.0));
    assert!((account.earned() - 34.0 / 50.0).abs() < 1e-9);
    insta::assert_snapshot!(bound.table());
}

#[test]
fn a_failed_stream_is_lost_whatever_its_pauses() {
    let line = answered("failed", 300, r#","pause_ms":900,"max_pause_ms":180"#);
    let ledger = ledger(&[line.replace(r#""status":200"#, r#""status":500"#)]);
    assert_eq!(ledger.entries()[0].0.outcome, Outcome::Lost);
}
