//! What is too much for the store, or for a datagram, in a fleet of hundreds of VMs: what
//! a VM takes from another one. The figures of such a fleet are put in where they decide.

use crate::support::{KEY, PLAIN, config, route, settings, until};
use std::collections::BTreeSet;
use std::time::Duration;
use trouttrack_config::settings::RetrySettings;
use trouttrack_core::fleet::{FleetConfig, RouteKind};
use trouttrack_core::membership::Revision;
use trouttrack_front::app::{Running, start};
use trouttrack_front::peers::{EntryChange, EntryState, News, Snapshot, watches_store};
use trouttrack_front::state::{Budgets, Clock, Upstreams};
use trouttrack_platform::UpstreamEntry;
use trouttrack_platform_standin::{Store, Upstream};

/// VMs of one failure domain: four times as many as list at once.
const VMS: usize = 12;
/// Entries; the store gives out two at a time.
const UPSTREAMS: usize = 24;
/// Pages of the whole list.
const PAGES: u64 = 12;
/// VMs that the store lists besides and that are gone: with them a VM is drawn to list
/// once in a hundred times.
const GONE: usize = 300;
/// Routes of a configuration that no datagram holds: some 60 kB.
const MANY_ROUTES: usize = 400;

/// Lists VMs that are gone besides.
fn list_those_gone(store: &Store) {
    for i in 0..GONE {
        let nobody = "127.0.0.1:9".parse().expect("an address");
        store.put_vm(&format!("gone-{i}"), nobody, "a");
    }
}

/// A store that lists upstreams on several pages.
async fn store() -> (Store, Vec<Upstream>) {
    let store = Store::start().await;
    store.put_config(&config(1));
    let mut upstreams = Vec::new();
    for i in 0..UPSTREAMS {
        let upstream = Upstream::start(&format!("u{i:02}"), PLAIN, "a").await;
        store.put_upstream(&upstream, false);
        upstreams.push(upstream);
    }
    (store, upstreams)
}

async fn vm(store: &Store, number: usize, more: &str) -> Running {
    let settings = settings(store, &format!("front-{number}"), more);
    start(&settings).await.expect("a front")
}

async fn fleet(store: &Store, more: &str) -> Vec<Running> {
    let mut fleet = Vec::new();
    for number in 0..VMS {
        fleet.push(vm(store, number, more).await);
    }
    until("all are ready", || {
        fleet.iter().all(|f| f.front.lifecycle.is_ready())
    })
    .await;
    fleet
}

fn known(vm: &Running) -> BTreeSet<String> {
    let mut ids = BTreeSet::new();
    vm.front.upstreams.for_each(|u, _| {
        ids.insert(u.id.clone());
    });
    ids
}

#[actix_rt::test]
async fn of_vms_that_start_together_not_all_list_what_has_many_pages() {
    let (store, upstreams) = store().await;
    let fleet = fleet(&store, "").await;
    let all: BTreeSet<String> = upstreams.iter().map(|u| u.id.clone()).collect();
    for vm in &fleet {
        assert_eq!(known(vm), all);
    }
    // That all are drawn to list happens once in ten million times.
    assert!(store.upstream_pages() < VMS as u64 * PAGES);
}

#[actix_rt::test]
async fn vms_that_took_the_list_from_others_follow_its_changes() {
    let (store, upstreams) = store().await;
    let fleet = fleet(&store, "").await;
    store.remove_upstream(&upstreams[3].id);
    store.put_upstream(&upstreams[5], true);
    for vm in &fleet {
        until("one is gone and one leaves", || {
            let upstreams = &vm.front.upstreams;
            upstreams.get("u03").is_none() && upstreams.get("u05").is_some_and(|u| u.is_leaving())
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_watcher_lists_by_itself_at_the_start_and_when_its_history_is_gone() {
    let (store, upstreams) = store().await;
    list_those_gone(&store);
    let fleet = fleet(&store, "").await;
    for leaving in upstreams.iter().take(4) {
        store.forget_history();
        store.put_upstream(leaving, true);
        for vm in &fleet {
            until("it leaves", || {
                let upstream = vm.front.upstreams.get(&leaving.id);
                upstream.is_some_and(|u| u.is_leaving())
            })
            .await;
        }
    }
}

#[actix_rt::test]
async fn of_vms_that_start_together_few_call_the_store_to_confirm() {
    let store = Store::start().await;
    store.put_config(&config(1));
    list_those_gone(&store);
    let fleet = fleet(&store, "").await;
    until("all are confirmed", || {
        fleet.iter().all(|f| f.front.routing.is_fresh())
    })
    .await;
    // Each VM lists it once to know it.
    let calls = store.config_lists();
    assert!(calls < 2 * VMS as u64, "{calls} calls");
}

// Guards against every VM listing all upstreams after a store restore, against missing a departure
// that is written right after it, and against undoing a departure that the restore has lost.
#[actix_rt::test]
async fn after_a_restore_all_vms_see_a_departure_and_few_list_upstreams() {
    let (store, upstreams) = store().await;
    list_those_gone(&store);
    let fleet = fleet(&store, "").await;
    let is_leaving = |vm: &Running, id: &str| {
        let upstream = vm.front.upstreams.get(id);
        upstream.is_some_and(|u| u.is_leaving())
    };
    let backup = store.backup();
    store.put_upstream(&upstreams[3], true);
    until("all VMs see u03 leaving", || {
        fleet.iter().all(|vm| is_leaving(vm, "u03"))
    })
    .await;
    let pages_before = store.upstream_pages();
    store.restore(&backup);
    store.put_upstream(&upstreams[5], true);
    until("all VMs see u05 leaving", || {
        fleet.iter().all(|vm| is_leaving(vm, "u05"))
    })
    .await;
    assert!(fleet.iter().all(|vm| is_leaving(vm, "u03")));
    let pages = store.upstream_pages() - pages_before;
    assert!(pages < VMS as u64 * PAGES / 2, "{pages} pages");
}

#[test]
fn while_the_number_of_vms_is_not_known_nobody_retries() {
    let settings = RetrySettings {
        ratio: 0.2,
        extra: 20.0,
        window: Duration::from_secs(10),
    };
    let budgets = Budgets::new(settings);
    let later = 2 * settings.window;
    assert!(!budgets.try_retry(later, PLAIN));
    budgets.set_vms(1);
    assert!(budgets.try_retry(later, PLAIN));
}

/// A configuration that is too large for a datagram.
fn large(version: u64) -> FleetConfig {
    let mut large = config(version);
    let plain = RouteKind::Plain { repeatable: true };
    let more = (0..MANY_ROUTES).map(|i| route(&format!("idle-{i}"), PLAIN, plain, 2));
    large.routes.extend(more);
    large
}

#[actix_rt::test]
async fn a_configuration_that_no_datagram_holds_passes_from_vm_to_vm() {
    let store = Store::start().await;
    store.put_config(&large(1));
    // Nothing else makes a VM call the store meanwhile.
    let fleet = fleet(&store, "[bounds]\nrevoke = 600s\nconfig_apply = 300s\n").await;
    until("one watches", || {
        let watching = fleet.iter().filter(|f| watches_store(&f.front));
        watching.count() == 1
    })
    .await;
    let mut without_a_call = 0;
    for version in 2..5 {
        let before: Vec<u64> = fleet.iter().map(|f| f.front.store.calls()).collect();
        store.put_config(&large(version));
        for vm in &fleet {
            until("the version is in force", || {
                vm.front.routing.version() == version
            })
            .await;
        }
        let calls = fleet.iter().map(|f| f.front.store.calls());
        without_a_call += calls
            .zip(before)
            .filter(|(now, before)| now == before)
            .count();
    }
    // The watch may change hands meanwhile, so that a few make calls.
    assert!(without_a_call > VMS, "{without_a_call}");
}

#[actix_rt::test]
async fn a_configuration_that_says_nothing_new_of_services_makes_no_rows() {
    let (store, _upstreams) = store().await;
    let vm = vm(&store, 1, "").await;
    until("it is ready", || vm.front.lifecycle.is_ready()).await;
    let made = vm.front.metrics.rows_made.get();
    let in_force = async |config: FleetConfig| {
        let version = config.version;
        store.put_config(&config);
        until("it is in force", || vm.front.routing.version() == version).await;
    };
    for version in 2..5 {
        in_force(large(version)).await;
    }
    assert_eq!(vm.front.metrics.rows_made.get(), made);
    let mut colder = config(5);
    colder.services[0].cold_rate = 3.0;
    in_force(colder).await;
    assert_eq!(vm.front.metrics.rows_made.get(), made + UPSTREAMS as u64);
}

fn at(number: u64) -> Revision {
    Revision::new(0, number)
}

fn entry(leaving: bool, born: u64) -> UpstreamEntry {
    UpstreamEntry {
        service: PLAIN.to_owned(),
        addr: "10.0.0.9:8080".parse().expect("an address"),
        failure_domain: "a".to_owned(),
        slots: 6,
        cold_for: Duration::ZERO,
        leaving,
        born,
    }
}

#[test]
fn a_snapshot_says_what_its_vm_knows() {
    let known = Upstreams::new(Clock::start());
    known.set_say_births();
    known.seen("stays", at(3), entry(false, 100));
    known.seen("leaves", at(4), entry(true, 200));
    known.seen("lapsed", at(5), entry(false, 300));
    known.store_lost();
    assert!(known.removed("lapsed").is_none());
    known.advance(at(6));

    let snapshot = Snapshot::of(&known);
    assert_eq!(snapshot.revision(), at(6));
    assert!(snapshot.say_births());
    let mut told: Vec<_> = snapshot.entries().collect();
    told.sort_by(|a, b| a.id.cmp(&b.id));
    let ids: Vec<(&str, bool)> = told.iter().map(|t| (t.id.as_str(), t.lapsed)).collect();
    assert_eq!(ids, [("lapsed", true), ("leaves", false), ("stays", false)]);
    assert_eq!(told[1].entry, entry(true, 200));
    assert_eq!(told[2].entry, entry(false, 100));
}

#[test]
fn news_in_parts_are_all_there_and_each_follows_the_one_before() {
    // A change that bears an older revision than the one before it is not cut off from it.
    let revisions = [11, 12, 15, 14, 16, 17, 13, 20, 21, 22, 22, 30].map(at);
    let changes: Vec<EntryChange> = revisions
        .into_iter()
        .map(|revision| EntryChange {
            id: KEY.to_owned(),
            revision,
            entry: EntryState::Gone,
        })
        .collect();
    for most in 1..=revisions.len() {
        let news = News {
            from: at(10),
            to: at(40),
            changes: changes.clone(),
        };
        let parts = news.in_parts(most);
        let told = parts.iter().flat_map(|part| &part.changes);
        assert!(told.map(|c| c.revision).eq(revisions));
        assert_eq!((parts[0].from, parts[parts.len() - 1].to), (at(10), at(40)));
        for pair in parts.windows(2) {
            assert_eq!(pair[0].to, pair[1].from);
            // Whoever has only the first part is told the second again.
            assert!(pair[0].changes.iter().all(|c| c.revision <= pair[0].to));
            assert!(pair[1].changes.iter().all(|c| c.revision > pair[0].to));
        }
    }
}
