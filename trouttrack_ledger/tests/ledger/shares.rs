//! Every request is counted once, and the shares add up.

use std::time::Duration;
use trouttrack_ledger::{Ledger, chart, line};

/// A line of a front at a second, with fields.
pub(crate) fn log(second: u32, message: &str, fields: &str) -> String {
    format!(
        r#"  {second}.0 front-1 {{"timestamp":"2026-01-01T10:00:{second:02}+00:00","level":"INFO","message":"{message}","kvs":{{{fields}}}}}"#
    )
}

fn story() -> Vec<String> {
    let answered = |id: &str, first: u32, status: u16| {
        format!(
            r#""request":"{id}","route":"drafts","upstream":"e1","status":{status},"first_ms":{first},"objective_ms":1500"#
        )
    };
    vec![
        log(1, "placed", r#""request":"a","upstream":"e1""#),
        log(2, "answered", &answered("a", 300, 200)),
        log(3, "answered", &answered("b", 1600, 200)),
        log(4, "answered", &answered("c", 30, 500)),
        log(4, "placed", r#""request":"d","upstream":"e2""#),
        log(
            5,
            "uncertain",
            r#""request":"d","route":"drafts","reason":"the stream broke off""#,
        ),
        log(
            6,
            "not-run",
            r#""request":"e","route":"lookups","reason":"this VM is stopping""#,
        ),
        log(7, "rejected", r#""request":"f","reason":"no such route""#),
        // Its VM was killed.
        log(8, "placed", r#""request":"g","upstream":"e2""#),
        // A refusal at one VM is a request of its own; the same id twice is not.
        log(9, "left-by-caller", r#""request":"h""#),
        log(9, "left-by-caller", r#""request":"h""#),
        log(9, "departure", r#""upstream":"e2""#),
        "no JSON at all".to_owned(),
    ]
}

fn ledger() -> Ledger {
    let mut ledger = Ledger::default();
    for said in story().iter().filter_map(|l| line::decode(l)) {
        ledger.take(said);
    }
    ledger
}

#[test]
fn each_request_is_counted_once_by_what_it_ended_as() {
    insta::assert_snapshot!(ledger().table(true));
}

#[test]
fn the_shares_are_those_of_all_requests() {
    let ledger = ledger();
    let counted: usize = ledger.entries().iter().map(|(_, e)| e.count).sum();
    assert_eq!((counted, ledger.len()), (8, 8));
}

#[test]
fn without_lines_there_is_an_empty_table_and_a_chart() {
    let ledger = Ledger::default();
    assert!(ledger.is_empty());
    assert!(
        ledger
            .table(false)
            .ends_with("| 100.00 % | 0 | all | | | | |\n")
    );
    let dir = std::env::temp_dir().join(format!("ledger-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    for (name, ledger) in [("empty.svg", ledger), ("full.svg", self::ledger())] {
        let path = dir.join(name);
        chart::draw(&ledger, Duration::from_secs(2), &path).expect("a chart");
        let svg = std::fs::read_to_string(&path).expect("a file");
        assert!(svg.trim_end().ends_with("</svg>"), "{name}");
    }
    std::fs::remove_dir_all(&dir).expect("the folder goes");
}
