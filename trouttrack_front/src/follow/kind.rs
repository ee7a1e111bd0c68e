//! Lists a kind of object, then follows its changes.

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

/// How long a watch waits for changes. Each watch is a billed call; an answered one shows peers
/// that its VM is in contact with the store.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Wait of a watch that only reads existing changes.
const IMMEDIATE_WATCH_TIMEOUT: Duration = Duration::from_millis(1);
/// Pause after a watch that returned changes, in milliseconds. Changes come in bursts, and each
/// answer is billed. The pause is random, so that one of the watchers of all failure domains
/// resumes soon: with four watchers, after 90 ms on average.
const WATCH_PAUSE_MS: Range<u64> = 50..250;
/// Interval at which a VM that does not watch checks whether it should.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows a kind for as long as the process runs.
pub(super) async fn follow<F: Follower>(front: Rc<Front>, follower: F) {
    let mut backoff = Backoff::new();
    // The first list may lag, because the watch resumes from its revision. A later list replaces
    // history that the store no longer has, so it must be current.
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
                backoff.reset();
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
                log::debug!("cannot update {} from the store: {e}", F::KIND.as_str());
                follower.fetch_from_peers_after_failure().await;
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

/// Lists, watches, or waits for missed changes, depending on this VM's state and role.
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

/// Watches the store once, then pauses so that changes accumulate before the next watch.
async fn keep_watching<F: Follower>(
    front: &Front,
    follower: &F,
    since: Revision,
) -> Result<StepOutcome, StoreError> {
    if front.store.epoch().is_some_and(|epoch| epoch > since.epoch) {
        // The revision predates a restore of the store, which has no history after it.
        follower.handle_history_gone();
        return Ok(StepOutcome::Restarted);
    }
    let wait = follower.watch_timeout().unwrap_or(WATCH_TIMEOUT);
    let outcome = tokio::select! {
        watched = watch(front, follower, since, wait) => watched?,
        () = wait_until_missed(front, follower) => {
            watch(front, follower, since, IMMEDIATE_WATCH_TIMEOUT).await?
        }
    };
    if outcome == WatchOutcome::Changes {
        let pause = rand::rng().random_range(WATCH_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    Ok(outcome.into())
}

/// Waits for missed changes and reads them from the store, or returns once this VM should watch.
/// If peers no longer have all missed changes in their history, the full list is fetched from a
/// peer; otherwise rebuilding all rows would cost more than a call for a few changes.
async fn catch_up<F: Follower>(front: &Front, follower: &F) -> Result<StepOutcome, StoreError> {
    let missed = wait_until_missed(front, follower);
    tokio::pin!(missed);
    loop {
        tokio::select! {
            () = &mut missed => {
                if follower.is_far_behind() && follower.fetch_from_peers().await {
                    return Ok(StepOutcome::Continued);
                }
                // Peers may have delivered some of the changes by now, so read the revision again.
                let Some(since) = follower.revision() else {
                    return Ok(StepOutcome::Continued);
                };
                let watched = watch(front, follower, since, IMMEDIATE_WATCH_TIMEOUT).await;
                return watched.map(StepOutcome::from);
            }
            () = tokio::time::sleep(WATCHER_CHECK_INTERVAL) => {
                if watches_store(front) {
                    return Ok(StepOutcome::Continued);
                }
            }
        }
    }
}

/// Waits until changes were missed that peers do not deliver.
async fn wait_until_missed<F: Follower>(front: &Front, follower: &F) {
    loop {
        front.peers.fell_behind().await;
        if still_missed(follower).await {
            return;
        }
    }
}

/// Returns whether missed changes arrive neither on their own nor from the peers asked. While
/// peers still deliver some of them, the store is not called: when thousands of upstreams
/// register at once, all VMs are behind for seconds.
async fn still_missed<F: Follower>(follower: &F) -> bool {
    let mut known = follower.revision();
    let mut until = Instant::now() + follower.peer_timeout();
    while Instant::now() < until {
        tokio::time::sleep(UPDATE_REQUEST_DELAY).await;
        if !follower.is_behind() {
            return false;
        }
        if follower.revision() > known {
            known = follower.revision();
            until = Instant::now() + follower.peer_timeout();
        }
        follower.ask_peers();
    }
    tokio::time::sleep(UPDATE_REQUEST_DELAY).await;
    follower.is_behind()
}
