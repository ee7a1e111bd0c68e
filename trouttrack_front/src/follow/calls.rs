//! The calls that a follower is made current by.

use super::follower::Follower;
use crate::state::Front;
use std::time::Duration;
use trouttrack_platform::{Object, Reading, StoreError, Watched};
use trouttrack_telemetry::{events, record};

/// How long a page of a list may take.
const LIST: Duration = Duration::from_secs(2);

/// Asks for changes, and takes them in. Returns whether there were any.
pub(super) async fn watch<F: Follower>(
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
pub(super) async fn list<F: Follower>(
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
