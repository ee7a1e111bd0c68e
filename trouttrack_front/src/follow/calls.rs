//! The calls that a follower is made current by.

use super::backoff::Backoff;
use super::follower::Follower;
use crate::state::Front;
use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_platform::{Listed, Object, Reading, StoreError, Watched};
use trouttrack_telemetry::{events, record};

/// How often a page is asked for before its list is begun anew: by then the store has
/// been away for seconds, and what was listed is old.
const TRIES: usize = 4;
/// How long a page of a list may take.
const LIST: Duration = Duration::from_secs(2);

/// The result of a watch that the store answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WatchOutcome {
    /// The answer contained changes.
    Changes,
    /// The answer contained no changes.
    NoChanges,
    /// The store has no history after the revision, so a new list is needed.
    HistoryGone,
}

/// Asks for changes since a revision and applies them to the follower.
pub(super) async fn watch<F: Follower>(
    front: &Front,
    follower: &F,
    since: Revision,
    wait: Duration,
) -> Result<WatchOutcome, StoreError> {
    let watched = front.store.watch(F::KIND, since, wait).await?;
    front.store_answered();
    match watched {
        Watched::Changes { changes, revision } => {
            let any = !changes.is_empty();
            follower.changed(changes, revision);
            Ok(if any {
                WatchOutcome::Changes
            } else {
                WatchOutcome::NoChanges
            })
        }
        Watched::HistoryGone => {
            record!(
                events::WATCH_RESTARTED,
                kind = F::KIND.as_str(),
                epoch = since.epoch,
                since = since.number,
            );
            follower.history_gone();
            Ok(WatchOutcome::HistoryGone)
        }
    }
}

/// Lists everything, page by page; a list of several pages is taken from a peer if one
/// has it.
pub(super) async fn list<F: Follower>(
    front: &Front,
    follower: &F,
    reading: Reading,
) -> Result<(), StoreError> {
    let mut objects: Vec<Object> = Vec::new();
    let mut oldest: Option<Revision> = None;
    loop {
        let is_first = objects.is_empty();
        let after = objects.last().map(|o| o.name.clone());
        let page = page_after::<F>(front, after.as_deref(), reading).await?;
        front.store_answered();
        // Changes during the listing are asked for from its oldest page on.
        let lowest = oldest.get_or_insert(page.revision);
        if lowest.epoch != page.revision.epoch {
            // The store was restored between two pages: they are from different histories.
            return Ok(());
        }
        *lowest = page.revision.min(*lowest);
        let oldest = *lowest;
        let ended = !page.more || page.objects.is_empty();
        if is_first && !ended && follower.take_from_peers().await {
            return Ok(());
        }
        objects.extend(page.objects);
        if ended {
            follower.listed(&objects, oldest);
            return Ok(());
        }
    }
}

/// One page. A list that fails goes on at the page where it was.
async fn page_after<F: Follower>(
    front: &Front,
    after: Option<&str>,
    reading: Reading,
) -> Result<Listed, StoreError> {
    let mut backoff = Backoff::new();
    let mut tries = 0;
    loop {
        tries += 1;
        match front.store.list(F::KIND, after, reading, LIST).await {
            Err(e) if tries < TRIES && after.is_some() => {
                front.store_failed(&e);
                backoff.pause().await;
            }
            outcome => return outcome,
        }
    }
}
