//! Streams go on only at upstreams of the software version that began them: at another attempt, a
//! move, a copy, and when their caller returns to any VM.

use crate::support::{Bed, ENGINES, config, events, long, settings, until};
use std::collections::BTreeSet;
use std::time::Duration;
use trouttrack_front::app::{Running, start};
use trouttrack_platform_standin::{Behaviour, CallerRequest, Reply, Store, Upstream};

/// Events of a complete stream.
pub(crate) const EVENTS: u64 = 10;
/// Events before a stream breaks off.
const BEFORE_BREAK: u64 = 4;
/// Long enough for the test to act between the first event and the break.
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
/// Streams of each test, enough for each upstream to get some.
pub(crate) const STREAMS: u64 = 8;

/// A fleet with an engine of each of these versions.
pub(crate) async fn bed_of(versions: &[&str], more: &str) -> Bed {
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

pub(crate) fn knows_all(bed: &Bed, vm: &Running) -> bool {
    let known = |u: &Upstream| vm.front.upstreams.get(&u.id).is_some();
    bed.upstreams.iter().all(known)
}

/// Starts another VM, which knows the first one and the upstreams.
pub(crate) async fn another_vm(bed: &Bed, name: &str) -> Running {
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
pub(crate) fn returns(id: &str, resumes: &str) -> CallerRequest {
    long(id, "resume").resuming(resumes, BEFORE_BREAK)
}

/// The events after those that a returning caller has.
pub(crate) fn rest_of(id: &str) -> String {
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
