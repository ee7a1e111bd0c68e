//! Tests of malformed upstream entries in the store.

use crate::support::{Bed, PLAIN, plain, settings, until};
use serde_json::json;
use std::time::Duration;
use trouttrack_front::app::start;
use trouttrack_front::state::{Front, Upstream};

/// Enough requests that each of two upstreams in use gets some.
const REQUESTS: usize = 12;
/// Number of malformed variants of an entry: four that are no entry at all, eight fields that are
/// each missing or of three other types, and nine unknown values.
const MALFORMED_ENTRIES: usize = 4 + 8 * 4 + 9;
/// A start time, in Unix milliseconds.
const START_TIME_MS: u64 = 1_789_000_000_000;

fn is_used(front: &Front, id: &str) -> bool {
    let takes_work = |u: &Upstream| !u.is_leaving();
    front.upstreams.get(id).is_some_and(|u| takes_work(&u))
}

/// Sends requests, checks that all are served, and returns how many reached the first upstream.
async fn count_served_by_first(bed: &Bed, ids: &str) -> usize {
    let before = bed.upstreams[0].arrivals().len();
    for n in 0..REQUESTS {
        let reply = bed.send(&plain(&format!("{ids}-{n}"), "many")).await;
        assert_eq!(reply.status, 200);
    }
    bed.upstreams[0].arrivals().len() - before
}

async fn check_new_vm_uses_only_second(bed: &Bed) {
    let other = start(&settings(&bed.store, "front-2", "")).await;
    let other = other.expect("a front").front;
    until("the second VM is ready", || other.lifecycle.is_ready()).await;
    assert!(!is_used(&other, "u1"));
    assert!(is_used(&other, "u2"));
}

#[actix_rt::test]
async fn a_malformed_entry_removes_only_its_upstream() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    assert!(count_served_by_first(&bed, "good").await > 0);
    let malformed = bed.store.spoiled_entries("u1");
    assert_eq!(malformed.len(), MALFORMED_ENTRIES);
    for (n, entry) in malformed.into_iter().enumerate() {
        let text = entry.to_string();
        bed.store.put_entry("u1", entry);
        until(&format!("u1 is not used with the entry {text}"), || {
            !is_used(front, "u1")
        })
        .await;
        assert!(is_used(front, "u2"));
        // A valid entry puts the upstream back into use.
        bed.store.put_upstream(&bed.upstreams[0], false);
        until(
            &format!("u1 is used again after malformed entry {n}"),
            || is_used(front, "u1"),
        )
        .await;
    }
    bed.store.put_entry("u1", json!({}));
    until("u1 is not used", || !is_used(front, "u1")).await;
    assert_eq!(count_served_by_first(&bed, "malformed").await, 0);
}

#[actix_rt::test]
async fn a_new_vm_uses_only_readable_entries() {
    let bed = Bed::new(PLAIN).await;
    bed.store.put_entry("u1", json!({}));
    check_new_vm_uses_only_second(&bed).await;
}

#[actix_rt::test]
async fn an_entry_that_is_not_utf8_removes_only_its_upstream() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    bed.store.spoil_bytes("u1");
    until("u1 is not used", || !is_used(front, "u1")).await;
    assert!(is_used(front, "u2"));
    check_new_vm_uses_only_second(&bed).await;
}

#[actix_rt::test]
async fn an_entry_without_start_time_is_not_used_where_others_have_one() {
    let bed = Bed::new(PLAIN).await;
    let front = &bed.front.front;
    bed.store.put_life(&bed.upstreams[1], START_TIME_MS, false);
    until("the start time of u2 is known", || {
        front.upstreams.get("u2").is_some_and(|u| u.born > 0)
    })
    .await;
    // The same entry without a start time, written again.
    bed.store
        .put_cold(&bed.upstreams[0], Duration::from_millis(1));
    until("u1 is not used", || !is_used(front, "u1")).await;
    assert!(is_used(front, "u2"));
}
