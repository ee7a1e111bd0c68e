//! Changes in the vocabulary of the fleet file.

use trouttrack_config::fleet::{
    Change, DiffKind, EntityKind, Field, Fleet, Priority, diff, hash_key,
};

fn field(key: &str, value: &str) -> Field {
    Field {
        key: key.into(),
        value: value.into(),
    }
}

fn base() -> Fleet {
    let service = Change::Create(
        EntityKind::Service,
        "lookup".into(),
        vec![field("model", "m"), field("repeatable", "yes")],
    );
    let organisation = Change::Create(
        EntityKind::Organisation,
        "dealer".into(),
        vec![field("key", "old")],
    );
    let upstream = Change::Create(
        EntityKind::Upstream,
        "e1".into(),
        vec![
            field("url", "http://10.0.0.1:80"),
            field("failure_domain", "a"),
            field("services", "lookup"),
            field("capacity_tokens", "1000"),
        ],
    );
    [service, organisation, upstream]
        .iter()
        .fold(Fleet::default(), |fleet, change| {
            change.apply(&fleet).unwrap()
        })
}

#[test]
fn set_changes_one_field_and_keeps_the_rest() {
    let before = base();
    let change = Change::Set(
        EntityKind::Service,
        "lookup".into(),
        vec![field("priority", "urgent")],
    );
    let after = change.apply(&before).unwrap();
    assert_eq!(after.services[0].priority, Priority::Urgent);
    assert_eq!(after.services[0].model, "m");
    let lines = diff(&before, &after);
    assert_eq!(lines.len(), 1);
    assert_eq!(
        (
            lines[0].entity.as_str(),
            lines[0].field.as_str(),
            lines[0].to.as_str()
        ),
        ("service lookup", "priority", "urgent")
    );
}

#[test]
fn a_new_key_takes_the_place_of_the_old_one() {
    let change = Change::Set(
        EntityKind::Organisation,
        "dealer".into(),
        vec![field("key", "new")],
    );
    let after = change.apply(&base()).unwrap();
    assert_eq!(after.organisations[0].keys, [hash_key("new")]);
}

#[test]
fn an_empty_value_takes_a_field_out() {
    let set = |value: &str| {
        Change::Set(
            EntityKind::Organisation,
            "dealer".into(),
            vec![field("max_running", value)],
        )
    };
    let limited = set("5").apply(&base()).unwrap();
    assert_eq!(limited.organisations[0].max_running, Some(5));
    let free = set("").apply(&limited).unwrap();
    assert_eq!(free.organisations[0].max_running, None);
}

#[test]
fn wrong_changes_are_refused_with_all_findings() {
    let fleet = base();
    let cases = [
        Change::Create(EntityKind::Service, "lookup".into(), vec![]),
        Change::Set(
            EntityKind::Service,
            "nobody".into(),
            vec![field("model", "m")],
        ),
        Change::Delete(EntityKind::Rule, "nobody".into()),
        Change::Delete(EntityKind::Service, "lookup".into()),
        Change::Set(
            EntityKind::Service,
            "lookup".into(),
            vec![
                field("priority", "soon"),
                field("colour", "red"),
                field("model", ""),
            ],
        ),
        Change::Create(
            EntityKind::Organisation,
            "twin".into(),
            vec![field("key", "old")],
        ),
    ];
    let mut seen = String::new();
    for change in cases {
        let findings = change.apply(&fleet).unwrap_err();
        seen += &format!("{findings}\n\n");
    }
    insta::assert_snapshot!(seen);
}

#[test]
fn diff_names_what_is_new_and_what_is_gone() {
    let before = base();
    let gone = Change::Delete(EntityKind::Upstream, "e1".into());
    let after = gone.apply(&before).unwrap();
    assert_eq!(diff(&before, &after)[0].change, DiffKind::Removed);
    assert_eq!(diff(&after, &before)[0].change, DiffKind::Added);
}

#[test]
fn a_failure_domain_is_evacuated_and_taken_back() {
    let evacuate = |name: &str| Change::Create(EntityKind::Evacuation, name.into(), Vec::new());
    let evacuated = evacuate("a").apply(&base()).unwrap();
    assert_eq!(evacuated.evacuations[0].name, "a");
    // Twice, and where nothing stands.
    assert!(evacuate("a").apply(&evacuated).is_err());
    assert!(evacuate("b").apply(&base()).is_err());
    let lines = diff(&base(), &evacuated);
    assert_eq!(lines[0].entity, "evacuation a");
    assert_eq!(lines[0].change, DiffKind::Added);
    let take_back = Change::Delete(EntityKind::Evacuation, "a".into());
    assert_eq!(take_back.apply(&evacuated).unwrap(), base());
    assert!(take_back.apply(&base()).is_err());
}
