//! VMs that tell each other what the store says.

use crate::support::{Bed, PLAIN, config, plain, settings, until};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_front::app::{Running, start};
use trouttrack_front::peers::watches_store;
use trouttrack_front::state::Front;
use trouttrack_platform::{StoreError, StoreErrorKind};
use trouttrack_platform_standin::StoreFault;

/// A time after its start at which a VM has heard the other and left it the watch.
const SETTLED: Duration = Duration::from_secs(4);

async fn second(bed: &Bed) -> Running {
    let more = "[bounds]\nrevoke = 5s\n";
    let other = start(&settings(&bed.store, "front-2", more))
        .await
        .expect("a front");
    until("both know each other", || {
        let knows = |front: &Running| !front.front.peers.others().is_empty();
        knows(&bed.front) && knows(&other)
    })
    .await;
    until("the second is ready", || other.front.lifecycle.is_ready()).await;
    other
}

#[actix_rt::test]
async fn a_change_reaches_the_vm_that_does_not_watch() {
    let bed = Bed::new(PLAIN).await;
    let other = second(&bed).await;
    for version in 2..6 {
        bed.store.put_config(&config(version));
        bed.store.put_upstream(&bed.upstreams[0], version % 2 == 0);
        for front in [&bed.front.front, &other.front] {
            until("the version is in force", || {
                front.routing.version() == version
            })
            .await;
        }
        until("both have left", || {
            let leaves = |f: &Running| f.front.upstreams.get("u1").is_none_or(|u| u.is_leaving());
            leaves(&bed.front) && leaves(&other)
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_configuration_is_asked_of_the_vm_that_has_it() {
    // Nothing else makes a VM call the store meanwhile.
    let bed = Bed::with(PLAIN, "[bounds]\nrevoke = 600s\nconfig_apply = 300s\n").await;
    let other = second(&bed).await;
    let [first, second] = [&bed.front.front, &other.front];
    until("one watches for good", || {
        let settled = [first, second].iter().all(|f| f.clock.now() > SETTLED);
        settled && watches_store(first) != watches_store(second)
    })
    .await;
    let waiting = match watches_store(first) {
        true => second,
        false => first,
    };
    let mut without_a_call = 0;
    for version in 2..8 {
        let before = waiting.store.calls();
        bed.store.put_config(&config(version));
        until("the version is in force", || {
            waiting.routing.version() == version
        })
        .await;
        without_a_call += usize::from(waiting.store.calls() == before);
    }
    // A datagram may be lost; then the store is asked.
    assert!(without_a_call > 0);
}

/// More changes at once than fit into a datagram.
const TOO_MANY_TO_TELL: usize = 150;

#[actix_rt::test]
async fn what_no_peer_can_tell_is_asked_of_the_store() {
    let bed = Bed::new(PLAIN).await;
    let other = second(&bed).await;
    let both = [&bed.front.front, &other.front];
    // The one that comes first has taken the watch from the one that started first.
    until("one watches for good", || {
        let settled = both.iter().all(|f| f.clock.now() > SETTLED);
        settled && watches_store(both[0]) != watches_store(both[1])
    })
    .await;
    for turn in 0..TOO_MANY_TO_TELL {
        bed.store.put_upstream(&bed.upstreams[0], turn % 2 == 0);
    }
    bed.store.put_upstream(&bed.upstreams[0], true);
    until("both know that it leaves", || {
        let leaves = |f: &Rc<Front>| f.upstreams.get("u1").is_none_or(|u| u.is_leaving());
        both.iter().all(|f| leaves(f))
    })
    .await;
    until("both know of everything", || {
        both[0].upstreams.revision() == both[1].upstreams.revision()
    })
    .await;
}

#[actix_rt::test]
async fn one_of_two_vms_watches_and_both_are_confirmed() {
    let bed = Bed::new(PLAIN).await;
    let other = second(&bed).await;
    until("one watches", || {
        watches_store(&bed.front.front) != watches_store(&other.front)
    })
    .await;
    assert!(other.front.routing.is_fresh());
    assert!(bed.front.front.routing.is_fresh());
}

#[actix_rt::test]
async fn a_vm_turned_away_by_the_store_leaves_the_watch_to_the_other() {
    let bed = Bed::new(PLAIN).await;
    let other = second(&bed).await;
    let [first, second] = [&bed.front.front, &other.front];
    until("one watches", || {
        watches_store(first) != watches_store(second)
    })
    .await;
    let (watcher, waiting) = match watches_store(first) {
        true => (first, second),
        false => (second, first),
    };
    let refused = StoreError {
        kind: StoreErrorKind::NotDone,
        call: "GET /".to_owned(),
        detail: "turned away".to_owned(),
    };
    // Calls that are answered say that it is over, so it is said again.
    until("the other watches", || {
        watcher.store_contact.lost(&refused);
        watches_store(waiting)
    })
    .await;
}

#[actix_rt::test]
async fn use_of_upstreams_is_told() {
    let bed = Bed::new(PLAIN).await;
    let other = second(&bed).await;
    for upstream in &bed.upstreams {
        upstream.always(trouttrack_platform_standin::Behaviour::Silent);
    }
    let (req, addr) = (plain("r1", "once"), bed.addr());
    let waiting = actix_rt::spawn(async move { req.send(addr).await });
    until("the other VM knows", || {
        let working = bed.working().map(|u| u.id.clone());
        working.is_some_and(|id| other.front.scheduler.load_of(&id).1 > 0)
    })
    .await;
    waiting.abort();
}

#[actix_rt::test]
async fn while_the_store_is_away_one_vm_looks_for_it_and_all_notice_its_return() {
    let bed = Bed::new(PLAIN).await;
    let other = second(&bed).await;
    let both = [&bed.front.front, &other.front];
    bed.store.set_fault(StoreFault::Refuse);
    until("both have noticed", || {
        both.iter().all(|f| f.store_contact.is_away())
    })
    .await;
    until("one looks for it", || {
        both.iter().filter(|f| watches_store(f)).count() == 1
    })
    .await;
    bed.store.set_fault(StoreFault::None);
    until("both know that it is back", || {
        both.iter().all(|f| !f.store_contact.is_away())
    })
    .await;
    assert_eq!(bed.send(&plain("r1", "many")).await.status, 200);
}
