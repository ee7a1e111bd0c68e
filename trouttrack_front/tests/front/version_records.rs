//! The store's records of software versions, from which VMs conclude which one began a stream, and what
//! VMs tell each other of streams when they stop.

use crate::support::{Bed, ENGINES, config, long, settings, until};
use crate::versions::{EVENTS, STREAMS, another_vm, bed_of, knows_all, rest_of, returns};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_front::app::{start, stop};
use trouttrack_platform_standin::{Behaviour, Store, StoreFault, Upstream};

/// Guards against refusals where nothing can be mixed: the store's records show that no other
/// version has served.
#[actix_rt::test]
async fn any_stream_is_taken_up_where_only_one_version_is_recorded() {
    let bed = bed_of(&["v1", "v1"], "").await;
    recorded(&bed.store, &["v1"]).await;
    let reply = bed.send(&returns("again", "of-another-time")).await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text(), rest_of("again"));
}

/// Guards against a VM that takes the only version it has seen for the only one that served: the
/// store does not tell it which have.
#[actix_rt::test]
async fn a_stream_is_not_taken_up_while_the_records_cannot_be_read() {
    let bed = bed_of(&["v1", "v1"], "").await;
    recorded(&bed.store, &["v1"]).await;
    for fault in [StoreFault::Refuse, StoreFault::Silent, StoreFault::Reset] {
        bed.store.set_fault(fault);
        let id = format!("{fault:?}");
        let reply = bed.send(&returns(&id, "of-another-time")).await;
        assert_eq!(reply.status, 503, "{id}");
        assert!(reply.retry_after.is_some(), "{id}");
        assert!(bed.ran(&id).is_empty(), "{id}");
    }
}

/// Waits until the store has recorded just these versions of the engines.
async fn recorded(store: &Store, versions: &[&str]) {
    let versions: BTreeSet<_> = versions
        .iter()
        .map(|v| (ENGINES.to_owned(), (*v).to_owned()))
        .collect();
    until("the versions are recorded", || {
        let recorded = store.recorded_versions().into_iter();
        recorded.collect::<BTreeSet<_>>() == versions
    })
    .await;
}

/// Starts a VM after all of the bed's have ended, when upstreams of other versions have replaced
/// the bed's.
async fn after_all_vms_ended(bed: &Bed, versions: &[&str]) -> Bed {
    let store = bed.store.without_vms().await;
    for upstream in &bed.upstreams {
        store.remove_upstream(&upstream.id);
    }
    let mut upstreams = Vec::new();
    for (n, version) in versions.iter().enumerate() {
        let mut upstream = Upstream::start(&format!("n{n}"), ENGINES, "a").await;
        upstream.version = (*version).to_owned();
        upstream.always(Behaviour::Stream(EVENTS));
        store.put_upstream(&upstream, false);
        upstreams.push(upstream);
    }
    let front = start(&settings(&store, "front-9", "")).await;
    let bed = Bed {
        store,
        upstreams,
        front: front.expect("the front starts"),
    };
    bed.ready().await;
    until("the upstreams are known", || knows_all(&bed, &bed.front)).await;
    bed
}

/// Guards against a stream that is joined from two versions after all VMs have ended: those that
/// start have seen only the version that has replaced the one that began it.
#[actix_rt::test]
async fn a_vm_started_after_all_were_killed_does_not_resume_at_the_version_it_sees() {
    let before = bed_of(&["v1"], "").await;
    assert!(before.send(&long("r1", "resume")).await.whole);
    for versions in [&["v2"][..], &["v2", "v2"], &["v1", "v2"]] {
        let bed = after_all_vms_ended(&before, versions).await;
        let reply = bed.send(&returns("again", "r1")).await;
        assert_eq!(reply.status, 503, "{versions:?}");
        assert!(reply.retry_after.is_some(), "{versions:?}");
        assert!(bed.ran("again").is_empty(), "{versions:?}");
        // New streams begin there.
        assert!(bed.send(&long("new", "resume")).await.whole);
    }
}

/// Guards against refusals after all VMs have ended where no second version has served.
#[actix_rt::test]
async fn a_vm_started_after_all_were_killed_resumes_at_the_only_recorded_version() {
    let before = bed_of(&["v1"], "").await;
    assert!(before.send(&long("r1", "resume")).await.whole);
    let bed = after_all_vms_ended(&before, &["v1", "v1"]).await;
    let reply = bed.send(&returns("again", "r1")).await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text(), rest_of("again"));
}

/// Guards against streams that begin at a version of which the store has no record.
#[actix_rt::test]
async fn a_version_is_recorded_before_its_first_event_is_forwarded() {
    let mut bed = bed_of(&["v1"], "").await;
    for n in 2..6 {
        let version = format!("v{n}");
        let mut upstream = Upstream::start(&format!("u{n}"), ENGINES, "a").await;
        upstream.version = version.clone();
        upstream.always(Behaviour::Stream(EVENTS));
        for before in &bed.upstreams {
            bed.store.remove_upstream(&before.id);
        }
        // Longer than a stream takes.
        bed.store.set_create_takes(Duration::from_millis(350));
        bed.store.put_upstream(&upstream, false);
        let replaced = std::mem::replace(&mut bed.upstreams, vec![upstream]);
        until("the upstream is known", || knows_all(&bed, &bed.front)).await;
        until("the one before is gone", || {
            let known = &bed.front.front.upstreams;
            replaced
                .iter()
                .all(|before| known.get(&before.id).is_none())
        })
        .await;
        assert!(bed.send(&long(&version, "resume")).await.whole);
        let recorded = bed.store.recorded_versions();
        assert!(recorded.contains(&(ENGINES.to_owned(), version)));
    }
}

/// Guards against a stream that nobody knows after VMs have stopped in turn: those that were told of it
/// are not there any more.
#[actix_rt::test]
async fn a_stopping_vm_hands_over_what_it_knows_of_streams() {
    let bed = bed_of(&["v1", "v2"], "").await;
    let second = another_vm(&bed, "front-2").await;
    assert!(bed.send(&long("r1", "resume")).await.whole);
    until("it is told", || second.front.origins.knows("r1")).await;
    // These VMs start when the stream has been told.
    let third = another_vm(&bed, "front-3").await;
    assert!(!third.front.origins.knows("r1"));
    let stopping = Rc::clone(&second.front);
    actix_rt::spawn(async move { stop(&stopping, Duration::from_secs(8)).await });
    until("it is handed over", || third.front.origins.knows("r1")).await;
}

/// Guards against records that a restore of the store has lost.
#[actix_rt::test]
async fn a_restored_store_gets_the_records_again() {
    let bed = bed_of(&["v1"], "").await;
    recorded(&bed.store, &["v1"]).await;
    bed.store.restore_without_versions();
    assert!(bed.store.recorded_versions().is_empty());
    recorded(&bed.store, &["v1"]).await;
}

/// Guards against a version that nobody records: its first event came while the VM paused after a
/// restore of the store.
#[actix_rt::test]
async fn a_version_whose_first_event_came_before_its_record_was_begun_is_recorded() {
    let store = Store::start().await;
    // The pause grows with the fleet.
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    for n in 0..2_000 {
        store.put_vm(&format!("gone-{n}"), nowhere, "b");
    }
    store.put_config(&config(1));
    let front = start(&settings(&store, "front-1", "")).await;
    let mut bed = Bed {
        store,
        upstreams: Vec::new(),
        front: front.expect("the front starts"),
    };
    for n in 0..4 {
        let mut upstream = Upstream::start(&format!("u{n}"), ENGINES, "a").await;
        upstream.version = format!("v{n}");
        upstream.always(Behaviour::Stream(EVENTS));
        bed.store.restore(&bed.store.backup());
        for before in &bed.upstreams {
            bed.store.remove_upstream(&before.id);
        }
        bed.store.put_upstream(&upstream, false);
        let version = upstream.version.clone();
        bed.upstreams = vec![upstream];
        // The number of VMs is known later, and nothing here depends on it.
        until("the front is ready", || {
            bed.front.front.lifecycle.is_ready() && bed.front.front.routing.is_fresh()
        })
        .await;
        until("the upstream is known", || knows_all(&bed, &bed.front)).await;
        while bed.send(&long(&version, "resume")).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        until(&format!("{version} is recorded"), || {
            let recorded = bed.store.recorded_versions();
            recorded.contains(&(ENGINES.to_owned(), version.clone()))
        })
        .await;
    }
}

/// Guards against a record that cannot be read and is taken for none.
#[actix_rt::test]
async fn a_stream_is_not_taken_up_while_a_record_cannot_be_read() {
    let bed = bed_of(&["v1", "v1"], "").await;
    recorded(&bed.store, &["v1"]).await;
    bed.store.put_unreadable_version("00000000000000aa");
    let reply = bed.send(&returns("again", "of-another-time")).await;
    assert_eq!(reply.status, 503);
    assert!(bed.ran("again").is_empty());
}

/// Guards against a stream that is joined from two versions: the one that began it was not known to its
/// VM and is therefore not recorded.
#[actix_rt::test]
async fn a_stream_begun_at_an_unknown_version_is_not_resumed_at_the_only_recorded_one() {
    let before = bed_of(&[""], "").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(before.send(&long("r1", "resume")).await.whole);
    let bed = after_all_vms_ended(&before, &["v2"]).await;
    until("v2 is recorded", || {
        let recorded = bed.store.recorded_versions();
        recorded.contains(&(ENGINES.to_owned(), "v2".to_owned()))
    })
    .await;
    let reply = bed.send(&returns("again", "r1")).await;
    assert_eq!(reply.status, 503, "{:?}", bed.store.recorded_versions());
    assert!(bed.ran("again").is_empty());
}

/// Guards against streams that are handed over to VMs that are gone for good.
#[actix_rt::test]
async fn a_stopping_vm_hands_over_to_vms_that_are_there() {
    const GONE: usize = 60;
    let store = Store::start().await;
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    for n in 0..GONE {
        store.put_vm(&format!("gone-{n}"), nowhere, "a");
    }
    store.put_config(&config(1));
    let mut upstream = Upstream::start("u0", ENGINES, "a").await;
    upstream.version = "v1".to_owned();
    upstream.always(Behaviour::Stream(EVENTS));
    store.put_upstream(&upstream, false);
    let front = start(&settings(&store, "front-1", "")).await;
    let bed = Bed {
        store,
        upstreams: vec![upstream],
        front: front.expect("the front starts"),
    };
    bed.ready().await;
    until("the upstreams are known", || knows_all(&bed, &bed.front)).await;
    let second = another_vm(&bed, "front-2").await;
    for n in 0..STREAMS {
        assert!(bed.send(&long(&format!("r{n}"), "resume")).await.whole);
    }
    let stopping = Rc::clone(&bed.front.front);
    actix_rt::spawn(async move { stop(&stopping, Duration::from_secs(8)).await });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let known = (0..STREAMS).filter(|n| second.front.origins.knows(&format!("r{n}")));
    assert_eq!(known.count() as u64, STREAMS);
}

/// Guards against a stream that goes on at another service: its route was moved there after all VMs had
/// ended, and the records of that service name one version.
#[actix_rt::test]
async fn a_stream_is_not_resumed_at_the_service_to_which_its_route_was_moved() {
    for all_end in [false, true] {
        let before = bed_of(&["v1"], "").await;
        recorded(&before.store, &["v1"]).await;
        assert!(before.send(&long("r1", "resume")).await.whole);
        let bed = match all_end {
            true => after_all_vms_ended(&before, &[]).await,
            false => before,
        };
        let mut moved = config(2);
        let mut service = moved
            .services
            .iter()
            .find(|s| s.name == ENGINES)
            .unwrap()
            .clone();
        service.name = "other".to_owned();
        moved.services.push(service);
        let route = moved
            .routes
            .iter_mut()
            .find(|r| r.name == "resume")
            .unwrap();
        route.shares[0].service = "other".to_owned();
        bed.store.put_config(&moved);
        let mut upstream = Upstream::start("o0", "other", "a").await;
        upstream.version = "w1".to_owned();
        upstream.always(Behaviour::Stream(EVENTS));
        bed.store.put_upstream(&upstream, false);
        until("the version is recorded", || {
            let recorded = bed.store.recorded_versions();
            recorded.contains(&("other".to_owned(), "w1".to_owned()))
        })
        .await;
        until("the new config is in force", || {
            bed.front.front.upstreams.get("o0").is_some() && bed.front.front.routing.version() == 2
        })
        .await;
        let mut unnamed = returns("unnamed", "");
        unnamed.headers.retain(|(name, _)| name != "Resumes");
        let unnamed = bed.send(&unnamed).await.status;
        let named = bed.send(&returns("again", "r1")).await.status;
        assert_eq!([unnamed, named], [503, 503], "all end: {all_end}");
    }
}

/// Guards against a write by each VM when all start at once, or when a list lags: the store's writes
/// are limited.
#[actix_rt::test]
async fn few_vms_write_the_record_of_a_version() {
    const VMS: usize = 30;
    let store = Store::start().await;
    store.put_config(&config(1));
    let mut upstream = Upstream::start("u0", ENGINES, "a").await;
    upstream.version = "v1".to_owned();
    store.put_upstream(&upstream, false);
    let mut vms = Vec::new();
    for n in 0..VMS {
        let vm = start(&settings(&store, &format!("front-{n}"), "")).await;
        vms.push(vm.expect("the VM starts"));
    }
    until("all know the upstream", || {
        vms.iter().all(|vm| vm.front.upstreams.get("u0").is_some())
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let at_start = store.version_writes();
    let mut at_release = [0; 2];
    for (n, lag) in [Duration::ZERO, Duration::from_millis(1500)]
        .into_iter()
        .enumerate()
    {
        store.set_lag(lag);
        let (before, id) = (store.version_writes(), format!("next-{n}"));
        let mut upstream = Upstream::start(&id, ENGINES, "a").await;
        upstream.version = id.clone();
        store.put_upstream(&upstream, false);
        until("all know the upstream", || {
            vms.iter().all(|vm| vm.front.upstreams.get(&id).is_some())
        })
        .await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        at_release[n] = store.version_writes() - before;
    }
    eprintln!("writes at the start {at_start}, at releases {at_release:?}");
    assert!(at_start <= 8, "{at_start} writes at the start");
    assert!(
        at_release.iter().all(|writes| *writes <= 8),
        "{at_release:?}"
    );
}

/// Guards against a record that is removed although its version serves again: the store carries out a
/// removal late.
#[actix_rt::test]
async fn a_removal_that_is_done_late_does_not_remove_the_record_of_a_version_that_is_back() {
    const LATE: Duration = Duration::from_secs(4);
    let bed = bed_of(&["v1", "v2"], "").await;
    recorded(&bed.store, &["v1", "v2"]).await;
    bed.store.remove_upstream(&bed.upstreams[0].id);
    until("v1 is gone", || {
        bed.front.front.upstreams.get("u0").is_none()
    })
    .await;
    let before = bed.store.version_writes();
    bed.store.set_late_removals(Some(LATE));
    bed.front.front.clock.suspended(Duration::from_secs(601));
    until("the removal has begun", || {
        bed.store.version_writes() > before
    })
    .await;
    bed.store.put_upstream(&bed.upstreams[0], false);
    until("v1 is back", || {
        bed.front.front.upstreams.get("u0").is_some()
    })
    .await;
    tokio::time::sleep(LATE * 2).await;
    let stored = bed.store.recorded_versions();
    assert!(
        stored.contains(&(ENGINES.to_owned(), "v1".to_owned())),
        "{stored:?}"
    );
}
