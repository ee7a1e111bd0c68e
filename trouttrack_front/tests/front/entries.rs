//! Entries in the store that another writer has spoiled.

use crate::support::{Bed, PLAIN, plain, settings, until};
use serde_json::{Value, json};
use trouttrack_front::app::start;
use trouttrack_front::state::{Front, Upstream};

/// Requests of which each of two upstreams would get some.
const MANY: usize = 12;

fn knows(front: &Front, id: &str) -> bool {
    let takes_work = |u: &Upstream| !u.is_leaving();
    front.upstreams.get(id).is_some_and(|u| takes_work(&u))
}

/// Sends requests, all of which are served, and returns how many reached the first
/// upstream.
async fn reach_the_first(bed: &Bed, ids: &str) -> usize {
    let before = bed.upstreams[0].arrivals().len();
    for n in 0..MANY {
        let reply = bed.send(&plain(&format!("{ids}-{n}"), "many")).await;
        assert_eq!(reply.status, 200);
    }
    bed.upstreams[0].arrivals().len() - before
}

async fn a_vm_that_starts_uses_only_the_second(bed: &Bed) {
    let other = start(&settings(&bed.store, "front-2", "")).await;
    let other = other.expect("a front").front;
    until("it is ready", || other.lifecycle.is_ready()).await;
    assert!(!knows(&other, "u1"));
    assert!(knows(&other, "u2"));
}

/// Entries that name no upstream to use: a field is missing, has another type, or names
/// what is not known.
fn spoiled(bed: &Bed) -> Vec<Value> {
    let good = bed.store.upstream_spec("u1");
    let mut spoiled = vec![json!(null), json!("\u{0}"), json!([]), json!({})];
    for field in [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_left_ms",
        "call_seq",
    ] {
        let mut without = good.clone();
        without.as_object_mut().expect("an object").remove(field);
        spoiled.push(without);
        for other in [json!(null), json!(["x"]), json!({"a": 1})] {
            let mut of_another_type = good.clone();
            of_another_type[field] = other;
            spoiled.push(of_another_type);
        }
    }
    for (field, value) in [
        ("state", json!("resting")),
        ("slots", json!(0)),
        ("slots", json!(-6)),
        ("slots", json!("6")),
        ("cold_left_ms", json!(-1)),
        ("address", json!("nowhere")),
        ("service", json!("")),
        ("born", json!("yesterday")),
        ("born", json!(1.5)),
    ] {
        let mut unknown = good.clone();
        unknown[field] = value;
        spoiled.push(unknown);
    }
    spoiled
}

#[actix_rt::test]
async fn a_spoiled_entry_takes_its_upstream_out_and_costs_the_others_nothing() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    assert!(reach_the_first(&bed, "good").await > 0);
    for (n, spec) in spoiled(&bed).into_iter().enumerate() {
        let text = spec.to_string();
        bed.store.put_upstream_spec("u1", spec);
        until(&format!("it is out: {text}"), || !knows(front, "u1")).await;
        assert!(knows(front, "u2"));
        // It comes back with a proper entry.
        bed.store.put_upstream(&bed.upstreams[0], false);
        until(&format!("it is back after {n}"), || knows(front, "u1")).await;
    }
    bed.store.put_upstream_spec("u1", json!({}));
    until("it is out", || !knows(front, "u1")).await;
    assert_eq!(reach_the_first(&bed, "spoiled").await, 0);
}

#[actix_rt::test]
async fn a_vm_that_starts_uses_only_what_can_be_read() {
    let bed = Bed::new(PLAIN).await;
    bed.store.put_upstream_spec("u1", json!({"service": 7}));
    a_vm_that_starts_uses_only_the_second(&bed).await;
}

#[actix_rt::test]
async fn bytes_that_are_no_text_cost_only_their_entry() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    bed.store.spoil_bytes("u1");
    until("it is out", || !knows(front, "u1")).await;
    assert!(knows(front, "u2"));
    a_vm_that_starts_uses_only_the_second(&bed).await;
}

#[actix_rt::test]
async fn where_upstreams_say_when_they_started_one_that_does_not_is_not_used() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    let mut born = bed.store.upstream_spec("u2");
    born["born"] = json!(1_789_000_000_000_u64);
    bed.store.put_upstream_spec("u2", born);
    until("it is known", || {
        front.upstreams.get("u2").is_some_and(|u| u.born > 0)
    })
    .await;
    // The same entry as before, written again.
    let mut unborn = bed.store.upstream_spec("u1");
    unborn["call_seq"] = json!(9);
    bed.store.put_upstream_spec("u1", unborn);
    until("it is out", || !knows(front, "u1")).await;
    assert!(knows(front, "u2"));
}
