//! What the gateways of a fleet tell each other, and how it is merged.
//!
//! Everything here is merged by taking the newer of two entries, so the order
//! in which digests arrive, or arrive twice, does not matter.

mod departures;
mod duty;
mod echo;
mod entries;
mod evacuations;
mod marks;
mod peers;
mod receivers;
mod revision;
mod spreading;
mod telling;
mod watch;

pub use departures::{Departures, RESTORE_GRACE};
pub use duty::{Contact, Duty, Standing};
pub use echo::SentTimes;
pub use entries::Entries;
pub use evacuations::Evacuations;
pub use marks::{Mark, MarkEntry, MarkSource, MarkTable};
pub use peers::{Digest, Peer, PeerTable, UpstreamUse};
pub use receivers::{news_receivers, relays};
pub use revision::Revision;
pub use spreading::{
    ANSWERED_AT_ONCE, CALLERS, CHANGES_IN_DATAGRAM, CONFIRMATION_ASKED_AGAIN, CONFIRMED_BY_PEER,
    CONFIRMED_BY_STORE, CONFIRMED_BY_WATCHER, LISTS_AGAIN, NEWS_ANSWERS, NEWS_LATE,
};
pub use telling::{
    CHANGED_LIMIT_TOLD, FAR_TOLD, LIMITS_TOLD, NEAR_TOLD, heartbeat_pause, longest_silence,
    tells_sums, watchers_pause,
};
pub use watch::watches;
