//! Tests for data that VMs of a large fleet fetch from peers because the load would be too
//! high for the store, or the payload too large for a datagram. The tests run a small fleet
//! and use the sizes of a fleet of hundreds of VMs only where they affect the result.

use crate::support::{KEY, PLAIN, config, route, settings, until};
use std::collections::BTreeSet;
use std::time::Duration;
use trouttrack_config::settings::RetrySettings;
use trouttrack_core::fleet::{FleetConfig, RouteKind};
use trouttrack_core::membership::Revision;
use trouttrack_front::app::{Running, start};
use trouttrack_front::peers::{EntryChange, EntryState, EntryUpdate, Snapshot, watches_store};
use trouttrack_front::state::{Budgets, Clock, Upstreams};
use trouttrack_platform::UpstreamEntry;
use trouttrack_platform_standin::{Store, Upstream};

/// VMs in one failure domain: four times the number that list concurrently.
const VMS: usize = 12;
/// Upstream entries; the store returns two per page.
const UPSTREAMS: usize = 24;
/// Pages in a full upstream list.
const FULL_LIST_PAGES: u64 = 12;
/// VMs that are still registered in the store but no longer running. They lower the
/// probability that a VM is selected to list to 1 in 100.
const STALE_VMS: usize = 300;
/// Number of routes that makes a configuration (about 60 kB) too large for a datagram.
const LARGE_CONFIG_ROUTES: usize = 400;

/// Registers VMs that are no longer running.
fn register_stale_vms(store: &Store) {
    for i in 0..STALE_VMS {
        let unreachable = "127.0.0.1:9".parse().expect("valid socket address");
        store.put_vm(&format!("gone-{i}"), unreachable, "a");
    }
}

/// Starts a store whose upstream list spans several pages.
async fn start_store() -> (Store, Vec<Upstream>) {
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

async fn start_vm(store: &Store, number: usize, extra_settings: &str) -> Running {
    let settings = settings(store, &format!("front-{number}"), extra_settings);
    start(&settings).await.expect("front should start")
}

async fn start_fleet(store: &Store, extra_settings: &str) -> Vec<Running> {
    let mut fleet = Vec::new();
    for number in 0..VMS {
        fleet.push(start_vm(store, number, extra_settings).await);
    }
    until("all VMs are ready", || {
        fleet.iter().all(|f| f.front.lifecycle.is_ready())
    })
    .await;
    fleet
}

fn known_upstream_ids(vm: &Running) -> BTreeSet<String> {
    let mut ids = BTreeSet::new();
    vm.front.upstreams.for_each(|u, _| {
        ids.insert(u.id.clone());
    });
    ids
}

#[actix_rt::test]
async fn vms_starting_together_do_not_all_list_upstreams() {
    let (store, upstreams) = start_store().await;
    let fleet = start_fleet(&store, "").await;
    let all_ids: BTreeSet<String> = upstreams.iter().map(|u| u.id.clone()).collect();
    for vm in &fleet {
        assert_eq!(known_upstream_ids(vm), all_ids);
    }
    // The probability that every VM is selected to list is 1 in 10 million.
    assert!(store.upstream_pages() < VMS as u64 * FULL_LIST_PAGES);
}

#[actix_rt::test]
async fn vms_with_upstream_list_from_peers_receive_changes() {
    let (store, upstreams) = start_store().await;
    let fleet = start_fleet(&store, "").await;
    store.remove_upstream(&upstreams[3].id);
    store.put_upstream(&upstreams[5], true);
    for vm in &fleet {
        until("u03 is removed and u05 is leaving", || {
            let upstreams = &vm.front.upstreams;
            upstreams.get("u03").is_none() && upstreams.get("u05").is_some_and(|u| u.is_leaving())
        })
        .await;
    }
}

#[actix_rt::test]
async fn watcher_always_lists_at_start_and_after_history_loss() {
    let (store, upstreams) = start_store().await;
    register_stale_vms(&store);
    let fleet = start_fleet(&store, "").await;
    for leaving in upstreams.iter().take(4) {
        store.forget_history();
        store.put_upstream(leaving, true);
        for vm in &fleet {
            until("the upstream is leaving", || {
                let upstream = vm.front.upstreams.get(&leaving.id);
                upstream.is_some_and(|u| u.is_leaving())
            })
            .await;
        }
    }
}

#[actix_rt::test]
async fn few_vms_starting_together_call_store_to_confirm_config() {
    let store = Store::start().await;
    store.put_config(&config(1));
    register_stale_vms(&store);
    let fleet = start_fleet(&store, "").await;
    until("all VMs have a confirmed configuration", || {
        fleet.iter().all(|f| f.front.routing.is_fresh())
    })
    .await;
    // Each VM lists the configuration once to load it.
    let calls = store.config_lists();
    assert!(calls < 2 * VMS as u64, "{calls} configuration list calls");
}

// Guards against every VM listing all upstreams after a store restore, against missing a departure
// that is written right after it, and against undoing a departure that the restore has lost.
#[actix_rt::test]
async fn after_store_restore_all_vms_see_departure_and_few_list_upstreams() {
    let (store, upstreams) = start_store().await;
    register_stale_vms(&store);
    let fleet = start_fleet(&store, "").await;
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
    assert!(
        pages < VMS as u64 * FULL_LIST_PAGES / 2,
        "{pages} upstream pages listed"
    );
}

#[test]
fn no_retries_while_vm_count_is_unknown() {
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

/// Returns a configuration that is too large for a datagram.
fn large_config(version: u64) -> FleetConfig {
    let mut large_config = config(version);
    let plain = RouteKind::Plain { repeatable: true };
    let extra_routes =
        (0..LARGE_CONFIG_ROUTES).map(|i| route(&format!("idle-{i}"), PLAIN, plain, 2));
    large_config.routes.extend(extra_routes);
    large_config
}

#[actix_rt::test]
async fn config_too_large_for_datagram_is_fetched_from_peers() {
    let store = Store::start().await;
    store.put_config(&large_config(1));
    // The long bounds keep VMs from calling the store for any other reason during the test.
    let fleet = start_fleet(&store, "[bounds]\nrevoke = 600s\nconfig_apply = 300s\n").await;
    until("exactly one VM watches the store", || {
        let watching = fleet.iter().filter(|f| watches_store(&f.front));
        watching.count() == 1
    })
    .await;
    let mut updates_without_calls = 0;
    for version in 2..5 {
        let before: Vec<u64> = fleet.iter().map(|f| f.front.store.calls()).collect();
        store.put_config(&large_config(version));
        for vm in &fleet {
            until("the configuration version is in force", || {
                vm.front.routing.version() == version
            })
            .await;
        }
        let calls = fleet.iter().map(|f| f.front.store.calls());
        updates_without_calls += calls
            .zip(before)
            .filter(|(now, before)| now == before)
            .count();
    }
    // The watch may move to another VM during the test, so a few VMs may call the store.
    assert!(
        updates_without_calls > VMS,
        "only {updates_without_calls} updates without a store call"
    );
}

#[actix_rt::test]
async fn config_without_service_changes_creates_no_rows() {
    let (store, _upstreams) = start_store().await;
    let vm = start_vm(&store, 1, "").await;
    until("the VM is ready", || vm.front.lifecycle.is_ready()).await;
    let rows_before = vm.front.metrics.rows_made.get();
    let apply_config = async |config: FleetConfig| {
        let version = config.version;
        store.put_config(&config);
        until("the configuration is in force", || {
            vm.front.routing.version() == version
        })
        .await;
    };
    for version in 2..5 {
        apply_config(large_config(version)).await;
    }
    assert_eq!(vm.front.metrics.rows_made.get(), rows_before);
    let mut changed_cold_rate = config(5);
    changed_cold_rate.services[0].cold_rate = 3.0;
    apply_config(changed_cold_rate).await;
    assert_eq!(
        vm.front.metrics.rows_made.get(),
        rows_before + UPSTREAMS as u64
    );
}

fn revision(number: u64) -> Revision {
    Revision::new(0, number)
}

/// An upstream's entry.
pub(crate) fn entry(leaving: bool, born: u64) -> UpstreamEntry {
    UpstreamEntry {
        service: PLAIN.to_owned(),
        addr: "10.0.0.9:8080".parse().expect("valid socket address"),
        failure_domain: "a".to_owned(),
        slots: 6,
        cold_for: Duration::ZERO,
        leaving,
        born,
        version: "v1".to_owned(),
    }
}

#[test]
fn snapshot_contains_known_and_lapsed_upstreams() {
    let upstreams = Upstreams::new(Clock::start());
    upstreams.set_publishes_start_times();
    upstreams.seen("stays", revision(3), entry(false, 100));
    upstreams.seen("leaves", revision(4), entry(true, 200));
    upstreams.seen("lapsed", revision(5), entry(false, 300));
    upstreams.store_lost();
    assert!(upstreams.removed("lapsed", None).is_none());
    upstreams.advance(revision(6));

    let snapshot = Snapshot::of(&upstreams);
    assert_eq!(snapshot.revision(), revision(6));
    assert!(snapshot.publishes_start_times());
    let mut reported: Vec<_> = snapshot.entries().collect();
    reported.sort_by(|a, b| a.id.cmp(&b.id));
    let ids: Vec<(&str, bool)> = reported.iter().map(|t| (t.id.as_str(), t.lapsed)).collect();
    assert_eq!(ids, [("lapsed", true), ("leaves", false), ("stays", false)]);
    assert_eq!(reported[1].entry, entry(true, 200));
    assert_eq!(reported[2].entry, entry(false, 100));
}

/// Guards against VMs of the previous version that cannot read a snapshot with software versions,
/// and the reverse.
#[test]
fn snapshots_are_read_with_and_without_software_versions() {
    let upstreams = Upstreams::new(Clock::start());
    upstreams.seen("u1", revision(3), entry(false, 100));
    upstreams.advance(revision(4));
    let snapshot = Snapshot::of(&upstreams);
    let versions_of = |snapshot: &Snapshot| {
        let versions: Vec<_> = snapshot.entries().map(|e| e.entry.version).collect();
        versions
    };
    let bytes = snapshot.encode().expect("it encodes");
    let decoded = Snapshot::decode(&bytes).expect("a snapshot");
    assert_eq!(versions_of(&decoded), ["v1"]);
    let previous: Snapshot = postcard::from_bytes(&bytes).expect("the previous form");
    assert_eq!(versions_of(&previous), [""]);
    let without = postcard::to_extend(&snapshot, Vec::new()).expect("the previous form");
    let decoded = Snapshot::decode(&without).expect("a snapshot");
    assert_eq!(versions_of(&decoded), [""]);
}

#[test]
fn split_news_is_complete_and_contiguous() {
    // A change with an older revision than its predecessor must stay in the same part.
    let revisions = [11, 12, 15, 14, 16, 17, 13, 20, 21, 22, 22, 30].map(revision);
    let changes: Vec<EntryChange> = revisions
        .into_iter()
        .map(|revision| EntryChange {
            id: KEY.to_owned(),
            revision,
            entry: EntryState::Gone(None),
        })
        .collect();
    for max_changes in 1..=revisions.len() {
        let update = EntryUpdate {
            from: revision(10),
            to: revision(40),
            changes: changes.clone(),
        };
        let parts = update.in_parts(max_changes);
        let reported = parts.iter().flat_map(|part| &part.changes);
        assert!(reported.map(|c| c.revision).eq(revisions));
        assert_eq!(
            (parts[0].from, parts[parts.len() - 1].to),
            (revision(10), revision(40))
        );
        for pair in parts.windows(2) {
            assert_eq!(pair[0].to, pair[1].from);
            // A receiver that has only the first part must be sent the second part again.
            assert!(pair[0].changes.iter().all(|c| c.revision <= pair[0].to));
            assert!(pair[1].changes.iter().all(|c| c.revision > pair[0].to));
        }
    }
}
