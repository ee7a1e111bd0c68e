//! Listing a kind of object, then watching it.

use super::backoff::Backoff;
use super::outage::StoreEvents;
use crate::state::Front;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_platform::{Change, Kind, Object, StoreError, Watched};
use trouttrack_telemetry::{events, record};

/// How long a watch waits. Each one is a call that is paid for, and one that
/// is cut off without a word is noticed no sooner than this.
const WATCH: Duration = Duration::from_secs(20);
/// How long a page of a list may take.
const LIST: Duration = Duration::from_secs(2);

/// Takes in what a kind's objects say.
pub(super) trait Follower {
    /// The kind.
    const KIND: Kind;

    /// Everything was listed, as of a revision.
    fn listed(&self, objects: &[Object], revision: u64);

    /// Changes came, up to a revision.
    fn changed(&self, changes: &[Change], revision: u64);
}

/// Follows a kind for as long as the process runs.
pub(super) async fn follow<F: Follower>(front: Rc<Front>, store: Rc<StoreEvents>, follower: Rc<F>) {
    let mut backoff = Backoff::new();
    let mut revision = None;
    loop {
        let step = async {
            match revision {
                Some(since) => watch(&front, &*follower, since).await,
                None => list(&front, &*follower).await.map(Some),
            }
        };
        let outcome = tokio::select! {
            outcome = step => outcome,
            () = store.returned() => continue,
        };
        match outcome {
            Ok(next) => {
                backoff.succeeded();
                revision = next;
            }
            Err(e) => {
                log::debug!("{e}");
                backoff.pause().await;
            }
        }
    }
}

async fn watch<F: Follower>(
    front: &Front,
    follower: &F,
    since: u64,
) -> Result<Option<u64>, StoreError> {
    match front.store.watch(F::KIND, since, WATCH).await? {
        Watched::Changes { changes, revision } => {
            follower.changed(&changes, revision);
            Ok(Some(revision))
        }
        Watched::HistoryGone => {
            record!(
                events::WATCH_RESTARTED,
                kind = F::KIND.as_str(),
                since = since,
            );
            Ok(None)
        }
    }
}

/// Lists everything, page by page.
pub(super) async fn list<F: Follower>(front: &Front, follower: &F) -> Result<u64, StoreError> {
    let mut objects: Vec<Object> = Vec::new();
    let mut first_revision = None;
    loop {
        let after = objects.last().map(|o| o.name.clone());
        let page = front.store.list(F::KIND, after.as_deref(), LIST).await?;
        // Changes during the listing are watched for from its beginning.
        let revision = *first_revision.get_or_insert(page.revision);
        let ended = !page.more || page.objects.is_empty();
        objects.extend(page.objects);
        if ended {
            follower.listed(&objects, revision);
            return Ok(revision);
        }
    }
}
