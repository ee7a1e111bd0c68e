//! What VMs tell each other about upstreams that leave.

use crate::support::{Bed, PLAIN, plain, settings_in, until};
use std::time::Duration;
use trouttrack_core::membership::{Removal, Revision};
use trouttrack_front::app::{Running, start};
use trouttrack_front::peers::{EntryChange, EntryState, EntryUpdate};
use trouttrack_platform_standin::StoreFault;

/// Time within which what one VM knows must have reached all VMs that are in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// Less than an entry that has lapsed waits to be written again.
const BEFORE_LAPSE: Duration = Duration::from_secs(1);
/// Longer than a VM must have been served to know that no outage has passed unnoticed.
const SERVED_FOR: Duration = Duration::from_secs(6);

/// Two VMs more, each in a failure domain of its own, that know the first VM and its upstreams.
async fn others(bed: &Bed) -> [Running; 2] {
    let mut others = Vec::new();
    for (name, domain) in [("front-2", "b"), ("front-3", "c")] {
        let vm = start(&settings_in(&bed.store, name, domain, "")).await;
        others.push(vm.expect("a front"));
    }
    let others: [Running; 2] = others.try_into().expect("two");
    for vm in others.iter().chain([&bed.front]) {
        until("each VM knows the others and the upstreams", || {
            let knows = |id| vm.front.upstreams.get(id).is_some();
            vm.front.lifecycle.is_ready()
                && vm.front.peers.live_names().len() == 2
                && knows("u1")
                && knows("u2")
        })
        .await;
    }
    others
}

fn next(revision: Revision) -> Revision {
    Revision::new(revision.epoch, revision.number + 1)
}

/// Removes the entry of the first upstream so that no VM reads that by itself.
fn remove_unread(bed: &Bed) {
    bed.store.set_fault(StoreFault::Silent);
    bed.store.remove_upstream("u1");
}

/// Sends the others the removal of the first upstream, as read from the store by a VM that cannot
/// tell what it means.
fn tell_removal(reader: &Running) {
    let from = reader.front.upstreams.revision();
    let to = next(from);
    let change = EntryChange {
        id: "u1".to_owned(),
        revision: to,
        entry: EntryState::Gone(None),
    };
    let changes = vec![change];
    let update = EntryUpdate { from, to, changes };
    reader.front.updates.try_send(update).expect("room");
}

/// Puts a VM into the state after an outage of the store.
fn come_out_of_an_outage(vm: &Running) {
    vm.front.upstreams.store_lost();
    vm.front.upstreams.store_recovered();
}

/// Guards against an upstream that is used by some VMs after it has told others that it leaves,
/// while the store tells nobody.
#[actix_rt::test]
async fn an_upstreams_word_that_it_leaves_reaches_the_vms_that_have_not_heard_it() {
    let bed = Bed::new(PLAIN).await;
    let others = others(&bed).await;
    bed.store.set_fault(StoreFault::Silent);
    bed.upstreams[0].say_leaving_in_answers();
    let mut n = 0;
    while bed.upstreams[0].ran().is_empty() {
        n += 1;
        bed.send(&plain(&format!("r{n}"), "many")).await;
    }
    let is_heard = |vm: &Running| {
        let upstream = vm.front.upstreams.get("u1");
        upstream.is_some_and(|u| u.is_leaving())
    };
    let heard = until("all VMs have heard it", || others.iter().all(is_heard));
    let in_time = tokio::time::timeout(CONTACT, heard).await;
    in_time.expect("a word in time");
}

/// Guards against an upstream that some VMs go on using because the VM that read its removal could
/// not tell what it means, although another VM could.
#[actix_rt::test]
async fn a_vm_that_knows_what_a_removal_means_tells_those_that_do_not() {
    let bed = Bed::new(PLAIN).await;
    let [unsure, reader] = others(&bed).await;
    tokio::time::sleep(SERVED_FOR).await;
    come_out_of_an_outage(&unsure);
    remove_unread(&bed);
    tell_removal(&reader);
    let is_gone = || unsure.front.upstreams.get("u1").is_none();
    let gone = until("the upstream is gone", is_gone);
    let in_time = tokio::time::timeout(BEFORE_LAPSE, gone).await;
    in_time.expect("a word in time");
}

/// Guards against the same where the VM that can tell has read the removal itself, before it hears
/// of it from the other.
#[actix_rt::test]
async fn a_vm_that_has_read_a_removal_tells_those_that_cannot_tell_what_it_means() {
    let bed = Bed::new(PLAIN).await;
    let [unsure, reader] = others(&bed).await;
    tokio::time::sleep(SERVED_FOR).await;
    come_out_of_an_outage(&unsure);
    come_out_of_an_outage(&reader);
    remove_unread(&bed);
    let upstreams = &bed.front.front.upstreams;
    let revision = next(upstreams.revision());
    assert!(upstreams.accept("u1", revision));
    let gone = upstreams.removed("u1", Some(Removal::Final));
    assert!(gone.is_some());
    upstreams.advance(revision);
    tell_removal(&reader);
    let is_gone = || unsure.front.upstreams.get("u1").is_none();
    let gone = until("the upstream is gone", is_gone);
    let in_time = tokio::time::timeout(BEFORE_LAPSE, gone).await;
    in_time.expect("a word in time");
}

/// Guards against a live upstream that is given up in a true outage, because a VM that could not
/// have noticed it passes its own guess on.
#[actix_rt::test]
async fn after_an_outage_no_vm_tells_that_a_removal_is_final() {
    let bed = Bed::new(PLAIN).await;
    let [unsure, reader] = others(&bed).await;
    tokio::time::sleep(SERVED_FOR).await;
    come_out_of_an_outage(&unsure);
    come_out_of_an_outage(&bed.front);
    come_out_of_an_outage(&reader);
    remove_unread(&bed);
    tell_removal(&reader);
    tokio::time::sleep(BEFORE_LAPSE).await;
    for vm in [&unsure, &bed.front] {
        assert!(vm.front.upstreams.get("u1").is_some());
    }
}
