//! The trait for following a kind of object in the store.

use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_platform::{Change, Kind, Object};

/// Default time for peers to deliver missed changes: a fraction of the bound within which a
/// leaving upstream must stop getting new work.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Applies lists and changes of one kind of object.
pub(super) trait Follower {
    /// The kind of object that is followed.
    const KIND: Kind;

    /// The revision up to which all changes are known, or `None` if a full list is needed.
    fn revision(&self) -> Option<Revision>;

    /// The watch timeout, if it differs from the default. A watch can stop delivering without an
    /// error, so a kind whose changes have a short bound needs a shorter timeout.
    fn watch_timeout(&self) -> Option<Duration> {
        None
    }

    /// Whether a peer has a newer revision.
    fn is_behind(&self) -> bool;

    /// How long to wait for peers to deliver missed changes before calling the store.
    fn peer_timeout(&self) -> Duration {
        PEER_TIMEOUT
    }

    /// Asks a peer with a newer revision for missed changes.
    fn ask_peers(&self);

    /// Whether peers no longer have all missed changes in their history.
    fn is_far_behind(&self) -> bool {
        false
    }

    /// Fetches a full list from a peer that has it. Returns whether it was fetched; if not, this VM
    /// must list all objects itself.
    async fn fetch_from_peers(&self) -> bool {
        false
    }

    /// Called while the first list of a starting VM is late. Fetches a full list from a peer that
    /// has it, and waits until there is one. Cancelled when the store answers.
    async fn fetch_from_peers_at_start(&self) {}

    /// Called after a failed call to the store. Fetches a full list from a peer with a newer
    /// revision if the changes that peers send do not follow the known revision.
    async fn fetch_from_peers_after_failure(&self) {}

    /// Applies a full list as of a revision. Ignored if a peer's list that is as new arrived during
    /// the call.
    fn apply_list(&self, objects: &[Object], revision: Revision);

    /// Applies changes up to a revision.
    fn apply_changes(&self, changes: Vec<Change>, revision: Revision);

    /// Handles that the store has no history after the known revision.
    fn handle_history_gone(&self);
}
