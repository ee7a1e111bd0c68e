//! VMs that start while lists that may lag lack the newest changes of the store.

use crate::support::{KEY, PLAIN, config, plain, settings, until};
use std::time::{Duration, Instant};
use trouttrack_core::fleet::FleetConfig;
use trouttrack_front::app::{Running, start};
use trouttrack_platform_standin::{CallerRequest, Store, Upstream};

/// Time after its start from which a VM is bound by what the store says.
const CONTACT: Duration = Duration::from_secs(3);

/// Starts a VM before a store whose lists lag behind `change`.
async fn start_behind(change: impl Fn(&Store, &Upstream)) -> (Running, Upstream) {
    let store = Store::start().await;
    store.put_config(&config(1));
    let upstream = Upstream::start("u1", PLAIN, "a").await;
    store.put_upstream(&upstream, false);
    let before = store.backup();
    change(&store, &upstream);
    store.lag(&before);
    let vm = start(&settings(&store, "front-1", "")).await;
    (vm.expect("a front"), upstream)
}

/// Asserts that a condition holds within the contact time.
async fn in_time(what: &str, f: impl Fn() -> bool) {
    let began = Instant::now();
    until(what, f).await;
    assert!(began.elapsed() < CONTACT, "{what}: {:?}", began.elapsed());
}

/// The configuration without the key, with a route more.
fn next_config() -> FleetConfig {
    let mut next = config(2);
    let organisations = next.organisations.as_mut().expect("organisations");
    organisations[0].keys = vec!["another-key".to_owned()];
    let mut added = next.routes[0].clone();
    added.name = "added".to_owned();
    added.path_prefix = "/added/".to_owned();
    added.public = true;
    next.routes.push(added);
    next
}

/// Sends a request until the VM knows what to answer.
async fn send_until_known(vm: &Running, req: &CallerRequest) -> u16 {
    loop {
        let status = req.send(vm.callers).await.status;
        if status != 503 {
            return status;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a VM without history that takes an earlier configuration for the one in force,
/// and accepts a removed key or rejects a route that was added.
#[actix_rt::test]
async fn keys_and_routes_of_an_earlier_configuration_are_not_taken_for_those_in_force() {
    let change = |store: &Store, _: &Upstream| store.put_config(&next_config());
    let (vm, upstream) = start_behind(change).await;
    let added = plain("r1", "added");
    let removed = plain("r2", "many").key(KEY);
    let answers = futures_util::join!(
        send_until_known(&vm, &added),
        send_until_known(&vm, &removed)
    );
    assert_eq!(answers, (200, 401));
    assert!(!upstream.ran().contains(&"r2".to_owned()));
}

/// Guards against a VM without history that uses an upstream for long which had announced its
/// departure before the VM started.
#[actix_rt::test]
async fn a_departure_before_the_start_is_known_in_time() {
    let change = |store: &Store, upstream: &Upstream| store.put_upstream(upstream, true);
    let (vm, _upstream) = start_behind(change).await;
    let leaves = || vm.front.upstreams.get("u1").is_some_and(|u| u.is_leaving());
    in_time("the departure is known", leaves).await;
}

/// Guards against the same for an upstream whose entry is gone.
#[actix_rt::test]
async fn a_removal_before_the_start_is_known_in_time() {
    let change = |store: &Store, _: &Upstream| store.remove_upstream("u1");
    let (vm, _upstream) = start_behind(change).await;
    in_time("the removal is known", || {
        vm.front.upstreams.is_listed()
            && vm.front.upstreams.get("u1").is_none_or(|u| u.is_leaving())
    })
    .await;
}

/// Guards against a VM without history that uses a failure domain which was evacuated before it
/// started.
#[actix_rt::test]
async fn an_evacuation_before_the_start_is_known_in_time() {
    let (vm, _upstream) = start_behind(|store, _| store.evacuate("a")).await;
    let is_evacuated = || vm.front.evacuations.borrow().contains("a");
    in_time("the evacuation is known", is_evacuated).await;
}
