//! What follows a kind of object.

use std::time::Duration;
use trouttrack_core::membership::Revision;
use trouttrack_platform::{Change, Kind, Object};

/// How long peers are given to bring news: a fraction of the time in which a leaving
/// upstream must get no new work.
const NEWS_PATIENCE: Duration = Duration::from_millis(500);

/// Takes in what a kind's objects say.
pub(super) trait Follower {
    /// The kind.
    const KIND: Kind;

    /// The revision up to which everything is known; `None` if it must be
    /// listed.
    fn revision(&self) -> Option<Revision>;

    /// How long a watch of it waits, if not as long as others: the bound within which
    /// its changes must be in force is short, and a watch may fall silent.
    fn watch_for(&self) -> Option<Duration> {
        None
    }

    /// Whether a peer knows more.
    fn is_behind(&self) -> bool;

    /// How long peers are given to bring what was missed, before the store is asked.
    fn patience(&self) -> Duration {
        NEWS_PATIENCE
    }

    /// Asks a peer that knows more for what was missed.
    fn ask_peers(&self);

    /// Whether peers no longer remember all that was missed.
    fn is_far_behind(&self) -> bool {
        false
    }

    /// Takes a list that is long from a peer that has it. Returns whether it was taken; if
    /// not, this VM is to list everything itself.
    async fn take_from_peers(&self) -> bool {
        false
    }

    /// Called after a failed call to the store. Takes everything from a peer that knows more, if
    /// peers' news do not follow what is known.
    async fn take_from_peers_after_failure(&self) {}

    /// Everything was listed, as of a revision.
    fn listed(&self, objects: &[Object], revision: Revision);

    /// Changes came, up to a revision.
    fn changed(&self, changes: Vec<Change>, revision: Revision);

    /// The store has forgotten what came after the known revision.
    fn history_gone(&self);
}
