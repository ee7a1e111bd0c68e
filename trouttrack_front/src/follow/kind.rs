//! Listing a kind of object, then following its changes.

use super::backoff::Backoff;
use super::calls::{WatchOutcome, list, watch};
use super::follower::Follower;
use crate::peers::watches_store;
use crate::state::Front;
use rand::RngExt;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use trouttrack_core::membership::{Revision, UPDATE_REQUEST_DELAY};
use trouttrack_platform::{Reading, StoreError};

/// How long a watch waits. Each one is a call that is paid for; one that is
/// answered tells peers that its VM is in contact with the store.
const WATCH: Duration = Duration::from_secs(5);
/// A watch that only asks what is new.
const AT_ONCE: Duration = Duration::from_millis(1);
/// Pause after a watch that brought changes, in milliseconds: changes come in
/// bursts, and each answer is paid for. It is drawn, so that one of the watchers
/// of all failure domains is back soon: with four, in 90 ms in the mean.
const GATHER_MS: Range<u64> = 50..250;
/// How often a VM that does not watch looks whether it is to watch now.
const LOOK: Duration = Duration::from_millis(500);

/// Follows a kind for as long as the process runs.
pub(super) async fn follow<F: Follower>(front: Rc<Front>, follower: F) {
    let mut backoff = Backoff::new();
    // What a first list lacks is asked for from its revision on. A later one
    // makes up for history that is gone.
    let mut reading = Reading::MayLag;
    // Restarts since the last `StepOutcome::Continued`; a list does not reset the count.
    let mut consecutive_restarts = 0;
    loop {
        if follower.revision().is_some() {
            reading = Reading::Current;
        }
        let outcome = tokio::select! {
            outcome = step(&front, &follower, reading) => outcome,
            () = front.store_contact.returned() => continue,
        };
        match outcome {
            Ok(StepOutcome::Continued) => {
                consecutive_restarts = 0;
                backoff.succeeded();
            }
            Ok(StepOutcome::Listed) => {}
            Ok(StepOutcome::Restarted) => {
                consecutive_restarts += 1;
                if consecutive_restarts > 1 {
                    // The store rejects a revision that it just returned. Without a pause, lists
                    // and watches would alternate in a tight loop.
                    backoff.pause().await;
                }
            }
            Err(e) => {
                log::debug!("{e}");
                follower.take_from_peers_after_failure().await;
                backoff.pause().await;
            }
        }
    }
}

/// The result of a [`step`] that did not fail.
enum StepOutcome {
    /// The step ran a list.
    Listed,
    /// The step neither listed nor restarted.
    Continued,
    /// The store has no history after the revision, so a new list is needed.
    Restarted,
}

impl From<WatchOutcome> for StepOutcome {
    fn from(outcome: WatchOutcome) -> Self {
        match outcome {
            WatchOutcome::HistoryGone => Self::Restarted,
            WatchOutcome::Changes | WatchOutcome::NoChanges => Self::Continued,
        }
    }
}

/// Lists, watches, or waits for what this VM has missed: whichever is its part
/// now.
async fn step<F: Follower>(
    front: &Front,
    follower: &F,
    reading: Reading,
) -> Result<StepOutcome, StoreError> {
    match follower.revision() {
        None => {
            list(front, follower, reading).await?;
            Ok(StepOutcome::Listed)
        }
        Some(since) if watches_store(front) => keep_watching(front, follower, since).await,
        Some(_) => catch_up(front, follower).await,
    }
}

/// Watches the store once, and lets changes gather before the next time.
async fn keep_watching<F: Follower>(
    front: &Front,
    follower: &F,
    since: Revision,
) -> Result<StepOutcome, StoreError> {
    if front.store.epoch().is_some_and(|epoch| epoch > since.epoch) {
        // The revision predates a restore of the store, which has no history after it.
        follower.history_gone();
        return Ok(StepOutcome::Restarted);
    }
    let wait = follower.watch_for().unwrap_or(WATCH);
    let outcome = tokio::select! {
        watched = watch(front, follower, since, wait) => watched?,
        () = missed(front, follower) => watch(front, follower, since, AT_ONCE).await?,
    };
    if outcome == WatchOutcome::Changes {
        let pause = rand::rng().random_range(GATHER_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    Ok(outcome.into())
}

/// Asks the store for what was missed, if something is, until it is time to look whether
/// this VM is to watch. What is more than peers remember is taken from one of them: to make
/// all rows anew costs more than a call for a few changes.
async fn catch_up<F: Follower>(front: &Front, follower: &F) -> Result<StepOutcome, StoreError> {
    let missed = missed(front, follower);
    tokio::pin!(missed);
    loop {
        tokio::select! {
            () = &mut missed => {
                if follower.is_far_behind() && follower.take_from_peers().await {
                    return Ok(StepOutcome::Continued);
                }
                // Peers have told of some of it meanwhile.
                let Some(since) = follower.revision() else {
                    return Ok(StepOutcome::Continued);
                };
                return watch(front, follower, since, AT_ONCE).await.map(StepOutcome::from);
            }
            () = tokio::time::sleep(LOOK) => {
                if watches_store(front) {
                    return Ok(StepOutcome::Continued);
                }
            }
        }
    }
}

/// Waits until something was missed and did not come as news, nor from peers.
async fn missed<F: Follower>(front: &Front, follower: &F) {
    loop {
        front.peers.behind().await;
        if still_missed(follower).await {
            return;
        }
    }
}

/// Whether what was missed comes neither by itself nor from the peers asked. As long as they
/// bring some of it the store is not asked: when thousands of upstreams register at once,
/// all VMs are behind for seconds.
async fn still_missed<F: Follower>(follower: &F) -> bool {
    let mut known = follower.revision();
    let mut until = Instant::now() + follower.patience();
    while Instant::now() < until {
        tokio::time::sleep(UPDATE_REQUEST_DELAY).await;
        if !follower.is_behind() {
            return false;
        }
        if follower.revision() > known {
            known = follower.revision();
            until = Instant::now() + follower.patience();
        }
        follower.ask_peers();
    }
    tokio::time::sleep(UPDATE_REQUEST_DELAY).await;
    follower.is_behind()
}
