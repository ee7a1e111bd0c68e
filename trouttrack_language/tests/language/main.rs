//! The grammar: what it takes, where it points, what it completes.

use proptest::prelude::*;
use trouttrack_language::{Command, Op, complete, parse, run};

#[test]
fn errors_point_at_the_word() {
    let wrong = [
        "",
        "shwo services",
        "show",
        "show servces",
        "show services were priority = urgent",
        "show services where",
        "show services where priority",
        "show services where priority is urgent",
        "show services where priority =",
        "show services order priority",
        "show services limit many",
        "show services limit 3 now",
        "why",
        "why the request",
        "why request",
        "create lorry x a=b",
        "create service",
        "create service x",
        "set service x priority",
        "set service x priority= urgent",
        "set service x priority=\"urgent",
        "delete service",
        "drain",
        "undo",
        "undo last",
        "diff one",
    ];
    let mut seen = String::new();
    for text in wrong {
        let error = parse(text).expect_err(text);
        seen += &format!("{error}\n\n");
    }
    insta::assert_snapshot!(seen);
}

#[test]
fn commands_are_written_as_they_are_read() {
    let right = [
        "show services",
        "show upstreams where running > 3 and failure_domain = gasabo order by fill desc limit 5",
        "watch requests where service ~ letter order by age_ms",
        "evacuate gasabo",
        "take-back gasabo",
        "show evacuations",
        "why request r-123",
        "why upstream engine-1",
        "create service tides kind=plain repeatable=yes",
        "set organisation dealer weight=2.5 max_running=10",
        "set rule 10-quote to=\"a:1, b:3\"",
        "delete rule 10-quote",
        "drain engine-1",
        "undrain engine-1",
        "diff 3",
        "diff 3 5",
        "undo 4",
    ];
    for text in right {
        assert_eq!(parse(text).unwrap().to_string(), text);
    }
    assert_eq!(parse("drain upstream e1"), parse("  drain   e1 "));
}

#[test]
fn a_key_is_never_written_out() {
    let command = parse("set organisation dealer key=s3cret weight=2").unwrap();
    assert_eq!(
        command.to_string(),
        "set organisation dealer key=*** weight=2"
    );
}

#[test]
fn words_are_completed_in_their_place() {
    assert_eq!(complete("show org"), ["organisations"]);
    assert_eq!(complete("why "), ["request", "upstream"]);
    assert_eq!(complete("set s"), ["service"]);
    assert!(complete("shwo ").is_empty());
}

fn rows() -> Vec<trouttrack_language::Row> {
    let row = |name: &str, n: Option<i64>| {
        let value = serde_json::json!({ "name": name, "n": n });
        value.as_object().unwrap().clone()
    };
    vec![row("b", Some(10)), row("a", Some(9)), row("c", None)]
}

#[test]
fn numbers_compare_as_numbers_and_missing_values_match_only_unequal() {
    let names = |text: &str| -> Vec<String> {
        let Command::Show(query) = parse(text).unwrap() else {
            panic!("{text}")
        };
        let rows = run(&query, rows());
        rows.iter()
            .map(|r| r["name"].as_str().unwrap().to_owned())
            .collect()
    };
    assert_eq!(names("show vms where n > 9"), ["b"]);
    assert_eq!(names("show vms where n <= 10 order by n"), ["a", "b"]);
    assert_eq!(names("show vms where n != 9"), ["b", "c"]);
    assert_eq!(names("show vms where name ~ a"), ["a"]);
    assert_eq!(names("show vms order by name desc limit 1"), ["c"]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_parsed_or_pointed_at(text in "\\PC{0,60}") {
        if let Err(e) = parse(&text) {
            prop_assert!(e.offset <= text.len());
            let _ = e.to_string();
        }
        let _ = complete(&text);
    }

    #[test]
    fn near_commands_are_parsed_or_pointed_at(
        words in prop::collection::vec(
            prop::sample::select(vec![
                "show", "watch", "services", "where", "and", "priority", "=", "!=", "<", "order",
                "by", "desc", "limit", "3", "why", "request", "set", "service", "x", "a=b", "\"",
            ]),
            0..10,
        ),
    ) {
        let text = words.join(" ");
        match parse(&text) {
            Ok(command) => prop_assert_eq!(parse(&command.to_string()), Ok(command)),
            Err(e) => prop_assert!(e.offset <= text.len()),
        }
    }

    #[test]
    fn what_a_query_writes_it_reads(
        field in "[a-z_]{1,8}",
        op in prop::sample::select(Op::SIGNS.iter().map(|(_, s)| *s).collect::<Vec<_>>()),
        value in "[a-zA-Z0-9 ._-]{1,10}",
        limit in prop::option::of(0usize..100),
    ) {
        let limit = limit.map_or_else(String::new, |n| format!(" limit {n}"));
        let text = format!("show vms where {field} {op} \"{value}\"{limit}");
        let command = parse(&text).unwrap();
        prop_assert_eq!(parse(&command.to_string()), Ok(command));
    }
}
