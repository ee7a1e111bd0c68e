//! Retry budgets of VMs that know neither what they have spent before nor how many they are.

use crate::support::{Bed, PLAIN, settings, until};
use std::time::Duration;
use trouttrack_front::app::{Running, start};
use trouttrack_platform_standin::{Store, StoreFault};

/// Extra retries of the fleet in a window that no test outlasts.
const EXTRA: usize = 100;
const BUDGET: &str = "[retry]\nextra = 100\nwindow = 60s\n";
/// More restarts than the fleet's budget has parts that seem safe after a single one.
const RESTARTS: usize = 6;
/// VMs that have an entry in the store and do not run.
const SILENT_VMS: usize = 9;

/// Spends all retries that a VM may make, and returns their number.
fn spend(vm: &Running) -> usize {
    let retry = || vm.front.budgets.try_retry(vm.front.clock.now(), PLAIN);
    std::iter::repeat_with(retry)
        .take_while(|made| *made)
        .count()
}

/// Starts the VM of a bed again.
async fn start_again(store: &Store) -> Running {
    let vm = start(&settings(store, "front-1", BUDGET)).await;
    let vm = vm.expect("the VM starts again");
    until("all VMs are listed", || vm.front.peers.are_all_known()).await;
    vm
}

/// Guards against a VM whose every start allows it another part of the extra retries, so that
/// several restarts within a window exceed the budget of the fleet.
#[actix_rt::test]
async fn restarts_do_not_renew_the_budget() {
    let bed = Bed::with(PLAIN, BUDGET).await;
    let mut spent = spend(&bed.front);
    // A VM that runs for the first time need not wait for the end of a window.
    assert!(spent > 0);
    for _ in 0..RESTARTS {
        spent += spend(&start_again(&bed.store).await);
    }
    assert!(spent <= EXTRA, "{spent} retries, {EXTRA} are allowed");
}

/// Guards against a VM that takes itself for new because a restore of the store has lost its
/// entry.
#[actix_rt::test]
async fn a_lost_entry_does_not_renew_the_budget() {
    let store = Store::start().await;
    let without_entry = store.backup();
    let mut spent = spend(&start_again(&store).await);
    for _ in 0..RESTARTS {
        store.restore(&without_entry);
        spent += spend(&start_again(&store).await);
    }
    assert!(spent <= EXTRA, "{spent} retries, {EXTRA} are allowed");
}

/// Guards against a VM that could not list the VMs and shares the budget only with those that it
/// has heard of.
#[actix_rt::test]
async fn vms_that_were_heard_of_are_not_taken_for_all() {
    const PAST_THE_FIRST_WINDOW: Duration = Duration::from_millis(200);
    let bed = Bed::new(PLAIN).await;
    for n in 0..SILENT_VMS {
        let unreachable = "127.0.0.1:9".parse().expect("an address");
        bed.store.put_vm(&format!("gone-{n}"), unreachable, "b");
    }
    let its_store = bed.store.second_address().await;
    its_store.set_fault(StoreFault::Silent);
    let budget = "[retry]\nextra = 100\nwindow = 100ms\n";
    let vm = start(&settings(&its_store, "front-2", budget)).await;
    let vm = vm.expect("the second VM starts");
    let addr = *bed.front.front.peer_addr.get().expect("bound");
    vm.front.peers.insert("front-1", addr, "a");
    vm.front.peers.announce();
    until("it hears of a peer and has a configuration", || {
        vm.front.peers.is_live("front-1") && vm.front.routing.is_known()
    })
    .await;
    tokio::time::sleep(PAST_THE_FIRST_WINDOW).await;
    let (spent, share) = (spend(&vm), EXTRA / (SILENT_VMS + 2));
    assert!(spent <= share, "{spent} retries, its share is {share}");
}
