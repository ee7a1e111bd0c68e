//! The catalogue.

use std::collections::HashSet;
use trouttrack_telemetry::events::{ALL, reference};

#[test]
fn numbers_and_names_differ_and_numbers_rise() {
    let names: HashSet<&str> = ALL.iter().map(|e| e.name).collect();
    assert_eq!(names.len(), ALL.len());
    assert!(ALL.windows(2).all(|w| w[0].number < w[1].number));
}

#[test]
fn the_page_is_the_one_in_the_docs() {
    let page = include_str!("../../../docs/EVENTS.md");
    assert_eq!(
        page,
        reference(),
        "write docs/EVENTS.md anew: cargo run -p trouttrack_telemetry --example events"
    );
}

fn sources(dir: &std::path::Path, out: &mut String) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() && !path.ends_with("target") {
            sources(&path, out);
        } else if path.extension().is_some_and(|e| e == "rs") {
            *out += &std::fs::read_to_string(&path).unwrap();
        }
    }
}

/// Every event of the catalogue is logged somewhere; the page promises none
/// that never comes.
#[test]
fn every_event_is_used() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut text = String::new();
    for entry in std::fs::read_dir(root).unwrap() {
        let src = entry.unwrap().path().join("src");
        if src.is_dir() {
            sources(&src, &mut text);
        }
    }
    for e in ALL {
        let constant = e.name.replace('-', "_").to_uppercase();
        assert!(
            text.contains(&format!("events::{constant}")),
            "{} is never logged",
            e.name
        );
    }
}
