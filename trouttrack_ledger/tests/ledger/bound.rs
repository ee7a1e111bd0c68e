//! What nobody could have saved, by a sheet.

use crate::shares::log;
use trouttrack_ledger::{Ledger, Loss, Sheet, line};

const SHEET: &str = "[drafts]\nobjective = 1500ms\nin_time = 10\nlate = 2\nattempts = 2\n";

fn answered(id: &str, first: u32, status: u16) -> String {
    log(
        2,
        "answered",
        &format!(
            r#""request":"{id}","route":"d","upstream":"e1","status":{status},"first_ms":{first},"objective_ms":1500"#
        ),
    )
}

fn placed(id: &str) -> String {
    log(
        1,
        "placed",
        &format!(r#""request":"{id}","route":"d","upstream":"e1""#),
    )
}

fn ended(id: &str, message: &str, reason: &str) -> String {
    let fields = format!(r#""request":"{id}","route":"d","reason":"{reason}""#);
    log(3, message, &fields)
}

fn ledger(lines: &[String]) -> Ledger {
    let mut ledger = Ledger::default();
    for said in lines.iter().filter_map(|l| line::decode(l)) {
        ledger.take(said);
    }
    ledger
}

#[test]
fn what_no_decision_could_change_is_told_apart() {
    let lines = [
        placed("in time"),
        answered("in time", 300, 200),
        placed("late"),
        answered("late", 1_600, 200),
        // Both upstreams that are allowed failed; of the next request only one was asked.
        placed("failed"),
        placed("failed"),
        answered("failed", 30, 500),
        placed("failed once"),
        answered("failed once", 30, 500),
        placed("killed"),
        ended("cut off", "not-run", "no upstream can be reached in time"),
        placed("broken"),
        ended("broken", "uncertain", "the stream broke off"),
        ended("wrong", "rejected", "the key is not known"),
        ended("gone", "left-by-caller", ""),
    ];
    let sheet = Sheet::parse(SHEET).expect("a sheet");
    let bound = ledger(&lines).bound(&sheet);
    let account = &bound.by_kind["drafts"];
    assert_eq!(account.requests, 7);
    assert!((account.owed - 70.0).abs() < 1e-9);
    let lost = |loss: Loss| account.lost.get(&loss).copied().unwrap_or_default();
    let open = |cause: &str| lost(Loss::Open(cause.to_owned()));
    assert_eq!(lost(Loss::UpstreamsFailed), 10.0);
    assert_eq!(lost(Loss::VmEnded), 10.0);
    assert_eq!(lost(Loss::OutOfReach), 10.0);
    assert_eq!(open("answered after its objective"), 8.0);
    assert_eq!(open("the upstream answered 500"), 10.0);
    assert_eq!(open("the stream broke off"), 10.0);
    assert!((account.bound() - 40.0 / 70.0).abs() < 1e-9);
    assert!((account.earned() - 12.0 / 70.0).abs() < 1e-9);
    insta::assert_snapshot!(bound.table());
}

#[test]
fn a_kind_that_the_sheet_does_not_name_is_left_out() {
    let sheet = Sheet::parse("[other]\nobjective = 1s\nin_time = 1\n").expect("a sheet");
    let bound = ledger(&[placed("r"), answered("r", 300, 200)]).bound(&sheet);
    assert!(bound.by_kind.is_empty());
    assert_eq!(bound.total().requests, 0);
}
