//! Listing a kind of object, then following its changes.

use super::backoff::Backoff;
use crate::peers::watches_store;
use crate::state::Front;
use rand::RngExt;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_platform::{Change, Kind, Object, Reading, StoreError, Watched};
use trouttrack_telemetry::{events, record};

/// How long a watch waits. Each one is a call that is paid for; one that is
/// answered tells peers that its VM is in contact with the store.
const WATCH: Duration = Duration::from_secs(5);
/// A watch that only asks what is new.
const AT_ONCE: Duration = Duration::from_millis(1);
/// How long a page of a list may take.
const LIST: Duration = Duration::from_secs(2);
/// How long news may be late before the store is asked for them: the same news
/// come from several VMs.
const NEWS_LATE: Duration = Duration::from_millis(250);
/// Pause after a watch that brought changes, in milliseconds: changes come in
/// bursts, and each answer is paid for. It is drawn, so that one of the watchers
/// of all failure domains is back soon: with four, in 90 ms in the mean.
const GATHER_MS: Range<u64> = 50..250;
/// How often a VM that does not watch looks whether it is to watch now.
const LOOK: Duration = Duration::from_millis(500);

/// Takes in what a kind's objects say.
pub(super) trait Follower {
    /// The kind.
    const KIND: Kind;

    /// The revision up to which everything is known; `None` if it must be
    /// listed.
    fn revision(&self) -> Option<u64>;

    /// Whether a peer knows more.
    fn is_behind(&self) -> bool;

    /// Everything was listed, as of a revision.
    fn listed(&self, objects: &[Object], revision: u64);

    /// Changes came, up to a revision.
    fn changed(&self, changes: Vec<Change>, revision: u64);

    /// The store has forgotten what came after the known revision.
    fn history_gone(&self);
}

/// Follows a kind for as long as the process runs.
pub(super) async fn follow<F: Follower>(front: Rc<Front>, follower: F) {
    let mut backoff = Backoff::new();
    // What a first list lacks is asked for from its revision on. A later one
    // makes up for history that is gone.
    let mut reading = Reading::MayLag;
    loop {
        if follower.revision().is_some() {
            reading = Reading::Current;
        }
        let outcome = tokio::select! {
            outcome = step(&front, &follower, reading) => outcome,
            () = front.store_contact.returned() => continue,
        };
        match outcome {
            Ok(()) => backoff.succeeded(),
            Err(e) => {
                log::debug!("{e}");
                backoff.pause().await;
            }
        }
    }
}

/// Lists, watches, or waits for what this VM has missed: whichever is its part
/// now.
async fn step<F: Follower>(
    front: &Front,
    follower: &F,
    reading: Reading,
) -> Result<(), StoreError> {
    match follower.revision() {
        None => list(front, follower, reading).await,
        Some(since) if watches_store(front) => {
            let changed = tokio::select! {
                watched = watch(front, follower, since, WATCH) => watched,
                () = missed(front, follower) => watch(front, follower, since, AT_ONCE).await,
            };
            if changed? {
                let pause = rand::rng().random_range(GATHER_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
            Ok(())
        }
        Some(since) => tokio::select! {
            () = missed(front, follower) => {
                watch(front, follower, since, AT_ONCE).await.map(drop)
            }
            () = tokio::time::sleep(LOOK) => Ok(()),
        },
    }
}

/// Waits until something was missed and did not come as news.
async fn missed<F: Follower>(front: &Front, follower: &F) {
    loop {
        front.peers.behind().await;
        tokio::time::sleep(NEWS_LATE).await;
        if follower.is_behind() {
            return;
        }
    }
}

/// Asks for changes, and takes them in. Returns whether there were any.
async fn watch<F: Follower>(
    front: &Front,
    follower: &F,
    since: u64,
    wait: Duration,
) -> Result<bool, StoreError> {
    let watched = front.store.watch(F::KIND, since, wait).await?;
    front.store_answered();
    match watched {
        Watched::Changes { changes, revision } => {
            let any = !changes.is_empty();
            follower.changed(changes, revision);
            Ok(any)
        }
        Watched::HistoryGone => {
            record!(
                events::WATCH_RESTARTED,
                kind = F::KIND.as_str(),
                since = since,
            );
            follower.history_gone();
            Ok(false)
        }
    }
}

/// Lists everything, page by page.
async fn list<F: Follower>(
    front: &Front,
    follower: &F,
    reading: Reading,
) -> Result<(), StoreError> {
    let mut objects: Vec<Object> = Vec::new();
    let mut oldest = u64::MAX;
    loop {
        let after = objects.last().map(|o| o.name.clone());
        let listing = front.store.list(F::KIND, after.as_deref(), reading, LIST);
        let page = listing.await?;
        // Changes during the listing are asked for from its oldest page on.
        oldest = oldest.min(page.revision);
        let ended = !page.more || page.objects.is_empty();
        objects.extend(page.objects);
        if ended {
            front.store_answered();
            follower.listed(&objects, oldest);
            return Ok(());
        }
    }
}
