//! What follows a kind of object.

use std::time::Duration;
use trouttrack_platform::{Change, Kind, Object};

/// Takes in what a kind's objects say.
pub(super) trait Follower {
    /// The kind.
    const KIND: Kind;

    /// The revision up to which everything is known; `None` if it must be
    /// listed.
    fn revision(&self) -> Option<u64>;

    /// How long a watch of it waits, if not as long as others: the bound within which
    /// its changes must be in force is short, and a watch may fall silent.
    fn watch_for(&self) -> Option<Duration> {
        None
    }

    /// Whether a peer knows more.
    fn is_behind(&self) -> bool;

    /// Asks a peer that knows more for what was missed.
    fn ask_peers(&self);

    /// Everything was listed, as of a revision.
    fn listed(&self, objects: &[Object], revision: u64);

    /// Changes came, up to a revision.
    fn changed(&self, changes: Vec<Change>, revision: u64);

    /// The store has forgotten what came after the known revision.
    fn history_gone(&self);
}
