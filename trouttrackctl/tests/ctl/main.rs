//! What operators see.

mod tls;
mod walkthrough;

use serde_json::{Value, json};
use trouttrack_controller::changes::{ChangeAnswer, ChangeOutcome};
use trouttrack_language::Row;
use trouttrackctl::Exit;
use trouttrackctl::output::{change, change_exit, table};

fn row(value: Value) -> Row {
    value.as_object().unwrap().clone()
}

#[test]
fn tables() {
    let rows = [
        row(
            json!({ "priority": "urgent", "name": "price-lookup", "keys": 3, "services": ["a", "b"] }),
        ),
        row(json!({ "priority": null, "name": "letter", "draining": true })),
    ];
    insta::assert_snapshot!(table(&rows));
    insta::assert_snapshot!(table(&[]), @"(0 rows)");
}

fn answer(outcome: ChangeOutcome) -> ChangeAnswer {
    serde_json::from_value(json!({
        "outcome": outcome,
        "change": "6f9a",
        "base": 4,
        "version": null,
        "in_force": [],
        "lagging": [],
        "unreachable": [],
        "findings": [],
        "meanwhile": [],
    }))
    .unwrap()
}

#[test]
fn answers_to_changes() {
    let mut seen = String::new();
    let in_force = ChangeAnswer {
        version: Some(5),
        in_force: vec!["g1".into(), "g2".into()],
        unreachable: vec!["10.0.0.3:7131".into()],
        ..answer(ChangeOutcome::InForce)
    };
    let lagging = ChangeAnswer {
        version: Some(5),
        in_force: vec!["g1".into()],
        lagging: vec!["g2".into()],
        ..answer(ChangeOutcome::Committed)
    };
    let refused = ChangeAnswer {
        findings: vec!["change: [service x] no service is named `x` (missing-reference)".into()],
        ..answer(ChangeOutcome::Refused)
    };
    let conflict = ChangeAnswer {
        meanwhile: serde_json::from_value(json!([
            { "version": 5, "change": "c", "author": "anna", "summary": "drain e1", "at": 0 }
        ]))
        .unwrap(),
        ..answer(ChangeOutcome::Conflict)
    };
    for a in [
        in_force,
        lagging,
        refused,
        conflict,
        answer(ChangeOutcome::NotWritten),
        answer(ChangeOutcome::Unsettled),
    ] {
        seen += &change(&a);
        seen += &format!("exit {}\n\n", change_exit(a.outcome) as u8);
    }
    insta::assert_snapshot!(seen);
}

#[test]
fn only_done_is_zero() {
    let outcomes = [
        ChangeOutcome::Committed,
        ChangeOutcome::Refused,
        ChangeOutcome::Conflict,
        ChangeOutcome::NotWritten,
        ChangeOutcome::Unsettled,
    ];
    assert!(outcomes.iter().all(|o| change_exit(*o) != Exit::Done));
    assert_eq!(change_exit(ChangeOutcome::InForce), Exit::Done);
}
