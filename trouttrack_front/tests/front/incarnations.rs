//! Upstreams that start again under the id that they had.

use crate::support::{Bed, PLAIN, plain, until};
use trouttrack_platform_standin::{Behaviour, Upstream};

/// Requests of which each of two upstreams would get some.
const MANY: usize = 12;
/// Starts, in Unix milliseconds.
const FIRST: u64 = 1_789_000_000_000;
const SECOND: u64 = FIRST + 4_000;

/// Two upstreams that say when they started.
async fn bed() -> Bed {
    let bed = Bed::new(PLAIN).await;
    for upstream in &bed.upstreams {
        bed.store.put_life(upstream, FIRST, false);
    }
    until("they are known", || {
        ["u1", "u2"].iter().all(|id| born(&bed, id) == FIRST)
    })
    .await;
    bed
}

fn born(bed: &Bed, id: &str) -> u64 {
    let known = bed.front.front.upstreams.get(id);
    known.map_or(0, |u| u.born)
}

fn takes_work(bed: &Bed, id: &str) -> bool {
    let front = &bed.front.front;
    let stays = front.upstreams.get(id).is_some_and(|u| !u.is_leaving());
    stays && front.scheduler.is_available(id)
}

async fn reaches(bed: &Bed, upstream: &Upstream, ids: &str) -> usize {
    let before = upstream.arrivals().len();
    for n in 0..MANY {
        let reply = bed.send(&plain(&format!("{ids}-{n}"), "many")).await;
        assert_eq!(reply.status, 200);
    }
    upstream.arrivals().len() - before
}

#[actix_rt::test]
async fn one_that_had_left_gets_work_in_its_next_life() {
    let bed = bed().await;
    bed.store.put_life(&bed.upstreams[0], FIRST, true);
    until("it leaves", || !takes_work(&bed, "u1")).await;
    bed.store.put_life(&bed.upstreams[0], SECOND, false);
    until("it is back", || takes_work(&bed, "u1")).await;
    assert!(reaches(&bed, &bed.upstreams[0], "back").await > 0);
}

#[actix_rt::test]
async fn what_failed_in_one_life_does_not_speak_against_the_next() {
    let bed = bed().await;
    bed.upstreams[0].kill();
    for n in 0..MANY {
        bed.send(&plain(&format!("dead-{n}"), "many")).await;
    }
    assert!(!takes_work(&bed, "u1"));
    // At another address, under its id.
    let next = Upstream::start("u1", PLAIN, "a").await;
    next.always(Behaviour::Whole);
    bed.store.put_life(&next, SECOND, false);
    until("it is known", || born(&bed, "u1") == SECOND).await;
    assert!(takes_work(&bed, "u1"));
    assert!(reaches(&bed, &next, "next").await > 0);
}

#[actix_rt::test]
async fn a_late_word_of_the_life_before_changes_nothing() {
    let bed = bed().await;
    bed.store.put_life(&bed.upstreams[0], SECOND, false);
    until("the next life is known", || born(&bed, "u1") == SECOND).await;
    bed.store.put_life(&bed.upstreams[0], FIRST, true);
    // A later change shows that the late word has been heard.
    bed.store.put_life(&bed.upstreams[1], SECOND, false);
    until("the other's is known", || born(&bed, "u2") == SECOND).await;
    assert_eq!(born(&bed, "u1"), SECOND);
    assert!(takes_work(&bed, "u1"));
}
