//! Fleet files and their parts.

use proptest::prelude::*;
use std::time::Duration;
use trouttrack_config::Findings;
use trouttrack_config::fleet::{
    Evacuation, Fleet, FleetView, Organisation, PartsError, Priority, Root, Rule, Service,
    ServiceKind, Target, Upstream, from_document, hash_key, join, split, to_ini,
};
use trouttrack_config::ini::Document;
use trouttrack_core::request::Delivery;

fn parse(text: &str) -> Result<Fleet, Findings> {
    let mut findings = Findings::default();
    let doc = Document::parse("fleet.ini", text, &mut findings);
    from_document(&doc, findings)
}

#[test]
fn a_wrong_fleet_is_reported_with_lines() {
    let text = "\
[service letters]
kind = model
repeatable = maybe
priority = soon

[organisation one]
key = k
weight = -1

[organisation two]
key = k

[upstream e1]
url = engine.example
failure_domain = a
services = letters, nobody

[rule 10]
asked = x
organisation = three
to = nothing:2

[thing]
a = b
";
    insta::assert_snapshot!(parse(text).unwrap_err().to_string());
}

#[test]
fn keys_are_kept_as_hashes() {
    let fleet = parse("[organisation o]\nkey = open sesame\n").unwrap();
    assert_eq!(fleet.organisations[0].keys, [hash_key("open sesame")]);
    assert!(!to_ini(&fleet).contains("sesame"));
    let view = FleetView::new(Root::default(), fleet);
    assert_eq!(view.organisation_of("open sesame").unwrap().name, "o");
    assert!(view.organisation_of("open").is_none());
}

fn service(name: String, i: u8) -> Service {
    let model = i.is_multiple_of(2);
    Service {
        name,
        kind: if model {
            ServiceKind::Model
        } else {
            ServiceKind::Plain
        },
        model: if model {
            format!("m{i}")
        } else {
            String::new()
        },
        priority: Priority::NAMES[usize::from(i % 4)].0,
        delivery: if i.is_multiple_of(3) {
            Delivery::Whole
        } else {
            Delivery::Stream
        },
        repeatable: i.is_multiple_of(5),
        queue_deadline: Duration::from_millis(u64::from(i) * 37 + 1),
        max_tokens: u64::from(i) + 1,
    }
}

prop_compose! {
    fn fleets()(
        services in 1u8..6,
        organisations in 0u16..30,
        upstreams in 0u8..10,
        rules in 0u8..5,
        weight in 0.01f64..100.0,
    ) -> Fleet {
        let name = |i: u8| format!("s{i}");
        let mut fleet = Fleet {
            services: (0..services).map(|i| service(name(i), i)).collect(),
            organisations: (0..organisations).map(|i| Organisation {
                name: format!("o{i}"),
                keys: vec![hash_key(&i.to_string())],
                weight,
                max_running: (i % 3 == 0).then_some(usize::from(i) + 1),
            }).collect(),
            upstreams: (0..upstreams).map(|i| Upstream {
                name: format!("u{i}"),
                url: format!("http://10.0.0.{i}:80"),
                failure_domain: "a".into(),
                services: vec![name(i % services)],
                capacity_tokens: 1000,
                max_running: 9,
                checks_fence: i % 2 == 0,
                draining: i % 3 == 0,
            }).collect(),
            rules: (0..rules).map(|i| Rule {
                name: format!("r{i}"),
                asked: (i % 2 == 0).then(|| format!("a{i}")),
                organisation: None,
                to: vec![Target { service: name(i % services), weight: 1 + u32::from(i) }],
                priority: (i % 2 == 1).then_some(Priority::High),
            }).collect(),
            evacuations: (0..upstreams % 2).map(|_| Evacuation { name: "a".into() }).collect(),
        };
        fleet.sort();
        fleet
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    #[test]
    fn what_is_written_is_read_back(fleet in fleets()) {
        prop_assert_eq!(parse(&to_ini(&fleet)).map_err(|e| e.to_string()), Ok(fleet));
    }

    #[test]
    fn parts_make_the_fleet_again(fleet in fleets()) {
        let (refs, parts) = split(&fleet);
        let root = Root { parts: refs, ..Root::default() };
        prop_assert_eq!(join(&root, &parts).unwrap(), fleet);
    }
}

#[test]
fn eighteen_thousand_organisations_fit_into_parts_below_a_megabyte() {
    let organisation = |i: u32| Organisation {
        name: format!("organisation-{i}"),
        keys: vec![hash_key(&i.to_string())],
        weight: 1.0,
        max_running: None,
    };
    let fleet = Fleet {
        organisations: (0..18_000).map(organisation).collect(),
        ..Fleet::default()
    };
    let (refs, parts) = split(&fleet);
    assert!(parts.iter().all(|p| p.body.len() < 200_000));
    assert!(parts.len() < 64, "{} parts", parts.len());
    // A change of one organisation changes few parts.
    let mut changed = fleet.clone();
    changed.organisations[17_999].weight = 2.0;
    let (after, _) = split(&changed);
    let new = after.iter().filter(|r| !refs.contains(r)).count();
    assert_eq!(new, 1);
}

#[test]
fn missing_and_corrupt_parts_are_told() {
    let fleet = parse("[organisation o]\nkey = k\n").unwrap();
    let (refs, mut parts) = split(&fleet);
    let root = Root {
        parts: refs,
        ..Root::default()
    };
    assert!(matches!(join(&root, &[]), Err(PartsError::Missing(_))));
    parts[0].body.push(' ');
    assert!(matches!(join(&root, &parts), Err(PartsError::Corrupt(_))));
}

#[test]
fn rules_choose_by_what_is_asked_by_whom_and_by_weight() {
    let text = "\
[service a]
model = m
repeatable = yes
[service b]
model = m
repeatable = yes
[organisation o]
key = k
[rule 10-mine]
asked = a
organisation = o
to = b
priority = urgent
[rule 20-split]
asked = both
to = a:1, b:3
";
    let view = FleetView::new(Root::default(), parse(text).unwrap());
    let mine = view.resolve("a", "o", 0).unwrap();
    assert_eq!(
        (mine.service.name.as_str(), mine.priority),
        ("b", Priority::Urgent)
    );
    assert_eq!(mine.rule, Some("10-mine"));
    assert_eq!(view.resolve("a", "other", 0).unwrap().service.name, "a");
    assert!(view.resolve("nobody", "o", 0).is_none());
    let to_b = (0..400)
        .filter(|i| view.resolve("both", "o", *i).unwrap().service.name == "b")
        .count();
    assert_eq!(to_b, 300);
}
