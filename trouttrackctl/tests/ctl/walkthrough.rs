//! The commands of the operators' walk-through are commands.

use trouttrack_language::parse;

const PAGE: &str = include_str!("../../../docs/operators/walkthrough.md");
const PROMPT: &str = "$ $ctl ";

/// The words behind the prompt, without options and what the shell adds.
fn commands() -> Vec<String> {
    let lines = PAGE.lines().filter_map(|l| l.trim().strip_prefix(PROMPT));
    let words = |line: &str| {
        let line = line.split(" ; ").next().unwrap_or_default();
        let mut words: Vec<&str> = line.split_whitespace().collect();
        if words.first() == Some(&"--base") {
            words.drain(..2);
        }
        words.join(" ")
    };
    lines.map(words).collect()
}

#[test]
fn each_is_understood() {
    let commands = commands();
    assert!(commands.len() >= 12, "{commands:?}");
    for command in commands {
        let of_the_program = command.starts_with("apply ") || command.starts_with("check ");
        let text = command.replace('…', "1");
        assert!(of_the_program || parse(&text).is_ok(), "{command}");
    }
}
