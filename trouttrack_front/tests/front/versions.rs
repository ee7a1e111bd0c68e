//! Streams go on only at upstreams of the software version that began them: at another attempt, a
//! move, a copy, and when their caller returns to any VM.

use crate::support::{Bed, ENGINES, config, events, long, settings, until};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_front::app::{Running, start, stop};
use trouttrack_platform_standin::{Behaviour, CallerRequest, Reply, Store, StoreFault, Upstream};

/// Events of a complete stream.
const EVENTS: u64 = 10;
/// Events before a stream breaks off.
const BEFORE_BREAK: u64 = 4;
/// Long enough for the test to act between the first event and the break.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Streams of each test, enough for each upstream to get some.
const STREAMS: u64 = 8;

/// A fleet with an engine of each of these versions.
async fn bed_of(versions: &[&str], more: &str) -> Bed {
    let store = Store::start().await;
    store.put_config(&config(1));
    let mut upstreams = Vec::new();
    for (n, version) in versions.iter().enumerate() {
        let mut upstream = Upstream::start(&format!("u{n}"), ENGINES, "a").await;
        upstream.version = (*version).to_owned();
        upstream.always(Behaviour::Stream(EVENTS));
        store.put_upstream(&upstream, false);
        upstreams.push(upstream);
    }
    let front = start(&settings(&store, "front-1", more)).await;
    let front = front.expect("the front starts");
    let bed = Bed {
        store,
        upstreams,
        front,
    };
    bed.ready().await;
    until("the upstreams are known", || knows_all(&bed, &bed.front)).await;
    bed
}

fn knows_all(bed: &Bed, vm: &Running) -> bool {
    let known = |u: &Upstream| vm.front.upstreams.get(&u.id).is_some();
    bed.upstreams.iter().all(known)
}

/// Starts another VM, which knows the first one and the upstreams.
async fn another_vm(bed: &Bed, name: &str) -> Running {
    let vm = start(&settings(&bed.store, name, "")).await;
    let vm = vm.expect("the VM starts");
    until("the VM is ready", || {
        vm.front.lifecycle.is_ready() && vm.front.routing.is_fresh() && knows_all(bed, &vm)
    })
    .await;
    until("the VMs know each other", || {
        let hears = |a: &Running, b: &Running| a.front.peers.is_live(&b.front.name);
        hears(&bed.front, &vm) && hears(&vm, &bed.front)
    })
    .await;
    vm
}

/// The versions of the upstreams that ran any of these attempts.
fn versions_of(bed: &Bed, ids: &[&str]) -> BTreeSet<String> {
    let ran = |u: &&Upstream| u.ran().iter().any(|id| ids.contains(&id.as_str()));
    let ran = bed.upstreams.iter().filter(ran);
    ran.map(|u| u.version.clone()).collect()
}

/// Sends a request whose first upstream, whichever that is, breaks the stream off.
async fn send_broken_off(bed: &Bed, req: &CallerRequest) -> Reply {
    for upstream in &bed.upstreams {
        upstream.next(Behaviour::StreamReset(EVENTS, BEFORE_BREAK));
        upstream.pace(EVENT_INTERVAL);
    }
    let at_first = async {
        until("an upstream has the request", || bed.working().is_some()).await;
        let others = bed.upstreams.iter().filter(|u| u.working_on() == 0);
        others.for_each(Upstream::clear_next);
    };
    let (reply, ()) = futures_util::join!(bed.send(req), at_first);
    reply
}

/// The request of a caller that takes up a stream after some events.
fn returns(id: &str, resumes: &str) -> CallerRequest {
    long(id, "resume").resuming(resumes, BEFORE_BREAK)
}

/// The events after those that a returning caller has.
fn rest_of(id: &str) -> String {
    let (all, had) = (events(id, EVENTS), events(id, BEFORE_BREAK));
    all[had.len()..].to_owned()
}

/// Guards against another attempt at an upstream of another version.
#[actix_rt::test]
async fn another_attempt_goes_on_at_the_version_that_began_the_stream() {
    for n in 0..STREAMS / 2 {
        // Failures in a row close an upstream.
        let bed = bed_of(&["v1", "v2", "v1"], "").await;
        let id = format!("r{n}");
        let reply = send_broken_off(&bed, &long(&id, "resume")).await;
        let versions = versions_of(&bed, &[&id]);
        assert_eq!(versions.len(), 1, "{id} went on at another version");
        // The only upstream of version v2 may take the stream up again itself.
        assert!(reply.whole || versions.contains("v2"), "{id}");
        match reply.whole {
            true => assert_eq!(reply.text(), events(&id, EVENTS), "{id}"),
            false => assert_eq!(reply.text(), events(&id, BEFORE_BREAK), "{id}"),
        }
    }
}

/// Guards against an attempt that is confined to a version although the stream has not begun.
#[actix_rt::test]
async fn a_stream_without_events_may_begin_at_any_version() {
    let bed = bed_of(&["v1", "v2"], "").await;
    for upstream in &bed.upstreams {
        upstream.next(Behaviour::LoseAnswer);
    }
    bed.upstreams[1].clear_next();
    for n in 0..STREAMS {
        let reply = bed.send(&long(&format!("r{n}"), "resume")).await;
        assert!(reply.whole, "{n}: {}", reply.status);
    }
}

/// Guards against a move to an upstream of another version.
#[actix_rt::test]
async fn a_generation_is_moved_only_to_its_own_version() {
    const LONG: u64 = 150;
    for versions in [vec!["v1", "v2"], vec!["v1", "v2", "v1", "v2"]] {
        let bed = bed_of(&versions, "").await;
        for upstream in &bed.upstreams {
            upstream.always(Behaviour::Stream(LONG));
            upstream.pace(Duration::from_millis(10));
        }
        let (req, addr) = (long("r1", "draft"), bed.addr());
        let answer = actix_rt::spawn(async move { req.send(addr).await });
        until("an engine has the request", || bed.working().is_some()).await;
        bed.store.put_upstream(bed.working().expect("it"), true);
        let reply = answer.await.expect("an answer");
        assert!(reply.whole);
        assert_eq!(reply.text(), events("r1", LONG));
        assert_eq!(versions_of(&bed, &["r1"]).len(), 1, "{versions:?}");
        let moved = bed.ran("r1").len() == 2;
        assert_eq!(moved, versions.len() == 4, "{versions:?}");
    }
}

/// Guards against a copy, from which the stream would be restored, at another version.
#[actix_rt::test]
async fn a_copy_is_kept_only_at_an_upstream_of_the_same_version() {
    let bed = bed_of(&["v1", "v2", "v1"], "[serving]\nbackup_below = 0.9\n").await;
    let version_at = |addr: &str| {
        let at = bed.upstreams.iter().find(|u| u.addr.to_string() == addr);
        at.expect("an upstream").version.clone()
    };
    for n in 0..STREAMS {
        let id = format!("r{n}");
        send_broken_off(&bed, &long(&id, "draft")).await;
        assert_eq!(versions_of(&bed, &[&id]).len(), 1, "{id}");
        for upstream in &bed.upstreams {
            let arrivals = upstream.arrivals().into_iter().filter(|a| a.id == id);
            for backup in arrivals.filter_map(|a| a.backup_at) {
                assert_eq!(version_at(&backup), upstream.version, "{id}");
            }
        }
    }
}

/// Guards against a returning caller that is sent to another version by the VM that it left.
#[actix_rt::test]
async fn a_returning_caller_goes_on_at_the_version_that_began_its_stream() {
    let bed = bed_of(&["v1", "v2", "v1", "v2"], "").await;
    for n in 0..STREAMS {
        let (first, then) = (format!("r{n}"), format!("again-{n}"));
        assert!(bed.send(&long(&first, "resume")).await.whole);
        let reply = bed.send(&returns(&then, &first)).await;
        assert_eq!(reply.status, 200);
        assert_eq!(reply.text(), rest_of(&then));
        assert_eq!(versions_of(&bed, &[&first, &then]).len(), 1, "{n}");
    }
}

/// Guards against a returning caller that is sent to another version by another VM.
#[actix_rt::test]
async fn a_returning_caller_goes_on_at_its_version_at_any_vm() {
    let bed = bed_of(&["v1", "v2", "v1", "v2"], "").await;
    let other = another_vm(&bed, "front-2").await;
    for n in 0..STREAMS {
        let (first, then) = (format!("r{n}"), format!("again-{n}"));
        assert!(bed.send(&long(&first, "resume")).await.whole);
        let reply = returns(&then, &first).send(other.callers).await;
        assert_eq!(reply.status, 200);
        assert_eq!(versions_of(&bed, &[&first, &then]).len(), 1, "{n}");
    }
}

/// Guards against a VM that has just started and takes a stream for its own to place.
#[actix_rt::test]
async fn a_vm_that_has_started_since_finds_the_version_of_a_stream() {
    let bed = bed_of(&["v1", "v2", "v1", "v2"], "").await;
    for n in 0..STREAMS {
        assert!(bed.send(&long(&format!("r{n}"), "resume")).await.whole);
    }
    let other = another_vm(&bed, "front-2").await;
    for n in 0..STREAMS {
        let (first, then) = (format!("r{n}"), format!("again-{n}"));
        let reply = returns(&then, &first).send(other.callers).await;
        assert_eq!(reply.status, 200);
        assert_eq!(versions_of(&bed, &[&first, &then]).len(), 1, "{n}");
    }
}

/// Guards against a guess: a stream of which no VM knows is not taken up while two versions serve.
#[actix_rt::test]
async fn a_stream_of_unknown_version_is_refused_as_not_run() {
    let bed = bed_of(&["v1", "v2"], "").await;
    let reply = bed.send(&returns("again", "of-another-time")).await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after.is_some());
    assert!(bed.ran("again").is_empty());
    // A caller that names no attempt may have begun anywhere, too.
    let mut unnamed = returns("unnamed", "");
    unnamed.headers.retain(|(name, _)| name != "Resumes");
    let reply = bed.send(&unnamed).await;
    assert_eq!(reply.status, 503);
    assert!(bed.ran("unnamed").is_empty());
}

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

/// Guards against a version that is read from today's entry of an upstream that has restarted.
#[actix_rt::test]
async fn a_stream_does_not_go_on_at_a_later_incarnation_of_another_version() {
    let mut bed = bed_of(&["v1"], "").await;
    assert!(bed.send(&long("r1", "resume")).await.whole);
    bed.upstreams[0].version = "v2".to_owned();
    bed.store.put_upstream(&bed.upstreams[0], false);
    until("the new version is known", || {
        let known = bed.front.front.upstreams.get("u0");
        known.is_some_and(|u| u.version() == "v2")
    })
    .await;
    let reply = bed.send(&returns("again", "r1")).await;
    assert_eq!(reply.status, 503);
    assert!(bed.ran("again").is_empty());
    // New streams begin there.
    assert!(bed.send(&long("r2", "resume")).await.whole);
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
