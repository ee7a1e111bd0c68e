//! The check of the books finds each breach.

use std::path::PathBuf;
use trouttrack_engine::token_text;
use trouttrack_load::faults::{Books, Kind, Tally, Told, tally};

fn books(name: &str, lines: &[&str]) -> Books {
    let file: PathBuf =
        std::env::temp_dir().join(format!("trouttrack-books-{name}-{}", std::process::id()));
    std::fs::write(&file, lines.join("\n")).unwrap();
    let books = Books::read(std::slice::from_ref(&file)).unwrap();
    std::fs::remove_file(&file).unwrap();
    books
}

fn begun(generation: u64) -> String {
    format!(
        "{{\"marker\":\"request-000000 [tokens=3]\",\"generation\":{generation},\"ended\":null}}"
    )
}

fn ended(generation: u64, tokens: u64) -> String {
    format!(
        "{{\"marker\":\"request-000000 [tokens=3]\",\"generation\":{generation},\"ended\":{tokens}}}"
    )
}

fn text(generation: u64, tokens: u64) -> String {
    (0..tokens).map(|i| token_text(generation, i)).collect()
}

fn told(kind: Kind, outcome: &str, text: String) -> Told {
    Told {
        kind,
        outcome: outcome.to_owned(),
        text,
        not_run: outcome == "not-run",
        ..Told::nothing(0)
    }
}

struct Case {
    name: &'static str,
    told: Told,
    lines: Vec<String>,
    breach: fn(&Tally) -> usize,
    expected: usize,
}

#[test]
fn each_breach_is_found_and_nothing_else() {
    let whole = || vec![begun(7), ended(7, 3)];
    let case = |name, told, lines, breach: fn(&Tally) -> usize, expected| Case {
        name,
        told,
        lines,
        breach,
        expected,
    };
    let cases = [
        case(
            "fine",
            told(Kind::StreamOnce, "complete", text(7, 3)),
            whole(),
            |t| t.complete,
            1,
        ),
        case(
            "a part called complete",
            told(Kind::StreamMany, "complete", text(7, 2)),
            whole(),
            |t| t.lost,
            1,
        ),
        case(
            "no answer",
            told(Kind::StreamMany, "none", String::new()),
            whole(),
            |t| t.lost,
            1,
        ),
        case(
            "complete without a run",
            told(Kind::PlainOnce, "complete", String::new()),
            vec![],
            |t| t.lost,
            1,
        ),
        case(
            "run twice",
            told(Kind::WholeOnce, "complete", text(7, 3)),
            vec![begun(7), begun(8), ended(7, 3)],
            |t| t.doubled,
            1,
        ),
        case(
            "run twice, and may",
            told(Kind::WholeMany, "complete", text(7, 3)),
            vec![begun(7), begun(8), ended(7, 3)],
            |t| t.doubled,
            0,
        ),
        case(
            "two generations",
            told(Kind::StreamMany, "interrupted", text(7, 1) + &text(8, 1)),
            vec![begun(7), begun(8)],
            |t| t.mixed,
            1,
        ),
        case(
            "a token twice",
            told(Kind::StreamMany, "interrupted", text(7, 1) + &text(7, 1)),
            vec![begun(7)],
            |t| t.mixed,
            1,
        ),
        case(
            "not-run that ran",
            told(Kind::StreamOnce, "not-run", String::new()),
            whole(),
            |t| t.false_not_run,
            1,
        ),
        case(
            "not-run",
            told(Kind::StreamOnce, "not-run", String::new()),
            vec![],
            |t| t.false_not_run,
            0,
        ),
    ];
    for c in cases {
        let lines: Vec<&str> = c.lines.iter().map(String::as_str).collect();
        let t = tally(std::slice::from_ref(&c.told), &books("breach", &lines));
        assert_eq!((c.breach)(&t), c.expected, "{}: {t}", c.name);
    }
}
