//! Entries in the store that another writer has spoiled.

use crate::support::{Bed, PLAIN, plain, settings, until};
use serde_json::json;
use std::time::Duration;
use trouttrack_front::app::start;
use trouttrack_front::state::{Front, Upstream};

/// Requests of which each of two upstreams would get some.
const MANY: usize = 12;
/// Spoiled forms of an entry: four are none, eight fields are missing or of three other
/// types, nine values are unknown.
const SPOILED: usize = 4 + 8 * 4 + 9;
/// A start, in Unix milliseconds.
const BORN: u64 = 1_789_000_000_000;

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

#[actix_rt::test]
async fn a_spoiled_entry_takes_its_upstream_out_and_costs_the_others_nothing() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    assert!(reach_the_first(&bed, "good").await > 0);
    let spoiled = bed.store.spoiled_entries("u1");
    assert_eq!(spoiled.len(), SPOILED);
    for (n, entry) in spoiled.into_iter().enumerate() {
        let text = entry.to_string();
        bed.store.put_entry("u1", entry);
        until(&format!("it is out: {text}"), || !knows(front, "u1")).await;
        assert!(knows(front, "u2"));
        // It comes back with a proper entry.
        bed.store.put_upstream(&bed.upstreams[0], false);
        until(&format!("it is back after {n}"), || knows(front, "u1")).await;
    }
    bed.store.put_entry("u1", json!({}));
    until("it is out", || !knows(front, "u1")).await;
    assert_eq!(reach_the_first(&bed, "spoiled").await, 0);
}

#[actix_rt::test]
async fn a_vm_that_starts_uses_only_what_can_be_read() {
    let bed = Bed::new(PLAIN).await;
    bed.store.put_entry("u1", json!({}));
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
    bed.store.put_life(&bed.upstreams[1], BORN, false);
    until("it is known", || {
        front.upstreams.get("u2").is_some_and(|u| u.born > 0)
    })
    .await;
    // The same entry as before, written again.
    bed.store
        .put_cold(&bed.upstreams[0], Duration::from_millis(1));
    until("it is out", || !knows(front, "u1")).await;
    assert!(knows(front, "u2"));
}
