//! Store calls that bring a follower up to date.

use super::backoff::Backoff;
use super::follower::Follower;
use crate::state::Front;
use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_platform::{Listed, Object, Reading, StoreError, Watched};
use trouttrack_telemetry::{events, record};

/// Attempts for one page before the list is restarted. By then the store has been unavailable
/// for seconds, and the pages already read are out of date.
const MAX_PAGE_ATTEMPTS: usize = 4;
/// Timeout for one page of a list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a VM waits for the first page before it also asks a peer. A store in good health
/// answers in milliseconds, and the slowest links, 10 Mbit/s, carry 0.3 MB in this time.
const FIRST_PAGE_PATIENCE: Duration = Duration::from_millis(250);

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
            follower.apply_changes(changes, revision);
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
            follower.handle_history_gone();
            Ok(WatchOutcome::HistoryGone)
        }
    }
}

/// Lists all objects page by page. If there is more than one page, or the first one is late, the
/// list is fetched from a peer that has it.
pub(super) async fn list<F: Follower>(
    front: &Front,
    follower: &F,
    reading: Reading,
) -> Result<(), StoreError> {
    let mut objects: Vec<Object> = Vec::new();
    let mut oldest: Option<Revision> = None;
    let mut after: Option<String> = None;
    loop {
        let is_first = after.is_none();
        let page = match after.as_deref() {
            None => first_page(front, follower, reading).await?,
            after => page_after::<F>(front, after, reading).await?,
        };
        front.store_answered();
        // The watch starts at the oldest page, so that it covers changes made during the list.
        let lowest = oldest.get_or_insert(page.revision);
        if lowest.epoch != page.revision.epoch {
            // The store was restored between two pages: they are from different histories.
            return Ok(());
        }
        *lowest = page.revision.min(*lowest);
        let oldest = *lowest;
        let ended = !page.more || page.next_after.is_none();
        if !ended && follower.revision().is_some() {
            // A peer's list arrived during the call; a watch from its revision reads the rest.
            return Ok(());
        }
        if is_first && !ended && follower.fetch_from_peers().await {
            return Ok(());
        }
        objects.extend(page.objects);
        after = page.next_after;
        if ended {
            follower.apply_list(&objects, oldest);
            return Ok(());
        }
    }
}

/// Reads the first page. If it is late, a list is also fetched from a peer, until either arrives;
/// the call to the store goes on.
async fn first_page<F: Follower>(
    front: &Front,
    follower: &F,
    reading: Reading,
) -> Result<Listed, StoreError> {
    let page = page_after::<F>(front, None, reading);
    tokio::pin!(page);
    let fetching = async {
        tokio::time::sleep(FIRST_PAGE_PATIENCE).await;
        follower.fetch_from_peers_at_start().await;
    };
    tokio::select! {
        biased;
        page = &mut page => return page,
        () = fetching => {}
    }
    page.await
}

/// Reads one page. Pages after the first are retried, so that a list resumes at the page that
/// failed.
async fn page_after<F: Follower>(
    front: &Front,
    after: Option<&str>,
    reading: Reading,
) -> Result<Listed, StoreError> {
    let mut backoff = Backoff::new();
    let mut attempts = 0;
    loop {
        attempts += 1;
        match front
            .store
            .list(F::KIND, after, reading, LIST_TIMEOUT)
            .await
        {
            Err(e) if attempts < MAX_PAGE_ATTEMPTS && after.is_some() => {
                front.store_failed(&e);
                backoff.pause().await;
            }
            outcome => return outcome,
        }
    }
}
