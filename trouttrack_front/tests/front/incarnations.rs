//! Upstreams that restart under the same id.
//!
//! Guards against: the departure, the failures or a late entry of an earlier incarnation are
//! applied to the current one.

use crate::support::{Bed, PLAIN, plain, until};
use trouttrack_platform_standin::{Behaviour, Upstream};

/// Enough requests for each of two upstreams to get some.
const REQUESTS: usize = 12;
/// Start times of the incarnations, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_789_000_000_000;
const SECOND_START_MS: u64 = FIRST_START_MS + 4_000;

/// A fleet with two upstreams whose entries have a start time.
async fn bed() -> Bed {
    let bed = Bed::new(PLAIN).await;
    for upstream in &bed.upstreams {
        bed.store.put_life(upstream, FIRST_START_MS, false);
    }
    until("the first incarnations are known", || {
        ["u1", "u2"]
            .iter()
            .all(|id| born(&bed, id) == FIRST_START_MS)
    })
    .await;
    bed
}

fn born(bed: &Bed, id: &str) -> u64 {
    let known = bed.front.front.upstreams.get(id);
    known.map_or(0, |u| u.born)
}

fn accepts_work(bed: &Bed, id: &str) -> bool {
    let front = &bed.front.front;
    let stays = front.upstreams.get(id).is_some_and(|u| !u.is_leaving());
    stays && front.scheduler.is_available(id)
}

/// Sends requests and returns how many of them arrived at an upstream.
async fn count_arrivals(bed: &Bed, upstream: &Upstream, ids: &str) -> usize {
    let before = upstream.arrivals().len();
    for n in 0..REQUESTS {
        let reply = bed.send(&plain(&format!("{ids}-{n}"), "many")).await;
        assert_eq!(reply.status, 200);
    }
    upstream.arrivals().len() - before
}

#[actix_rt::test]
async fn an_upstream_that_left_gets_work_in_its_next_incarnation() {
    let bed = bed().await;
    bed.store.put_life(&bed.upstreams[0], FIRST_START_MS, true);
    until("u1 is leaving", || !accepts_work(&bed, "u1")).await;
    bed.store
        .put_life(&bed.upstreams[0], SECOND_START_MS, false);
    until("u1 accepts work again", || accepts_work(&bed, "u1")).await;
    assert!(count_arrivals(&bed, &bed.upstreams[0], "back").await > 0);
}

#[actix_rt::test]
async fn failures_of_one_incarnation_do_not_count_against_the_next() {
    let bed = bed().await;
    bed.upstreams[0].kill();
    for n in 0..REQUESTS {
        bed.send(&plain(&format!("dead-{n}"), "many")).await;
    }
    assert!(!accepts_work(&bed, "u1"));
    // The next incarnation has the same id and another address.
    let next = Upstream::start("u1", PLAIN, "a").await;
    next.always(Behaviour::Whole);
    bed.store.put_life(&next, SECOND_START_MS, false);
    until("the next incarnation is known", || {
        born(&bed, "u1") == SECOND_START_MS
    })
    .await;
    assert!(accepts_work(&bed, "u1"));
    assert!(count_arrivals(&bed, &next, "next").await > 0);
}

#[actix_rt::test]
async fn a_late_entry_of_an_earlier_incarnation_is_ignored() {
    let bed = bed().await;
    bed.store
        .put_life(&bed.upstreams[0], SECOND_START_MS, false);
    until("the second incarnation of u1 is known", || {
        born(&bed, "u1") == SECOND_START_MS
    })
    .await;
    bed.store.put_life(&bed.upstreams[0], FIRST_START_MS, true);
    // Once this later change is known, the late entry has been processed as well.
    bed.store
        .put_life(&bed.upstreams[1], SECOND_START_MS, false);
    until("the second incarnation of u2 is known", || {
        born(&bed, "u2") == SECOND_START_MS
    })
    .await;
    assert_eq!(born(&bed, "u1"), SECOND_START_MS);
    assert!(accepts_work(&bed, "u1"));
}
