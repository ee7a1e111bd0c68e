//! State that the gateways of a fleet exchange, and how it is merged.
//!
//! All state is merged by keeping the newer of two entries, so digests may arrive
//! in any order and more than once.

mod departures;
mod dissemination;
mod duty;
mod entries;
mod evacuations;
mod heartbeat;
mod marks;
mod peers;
mod receivers;
mod revision;
mod sent_times;
mod watch;

pub use departures::{Departures, RESTORE_GRACE};
pub use dissemination::{
    ANSWERED_AT_ONCE, CALLERS, CHANGES_IN_DATAGRAM, CONFIRMATION_ASKED_AGAIN, CONFIRMED_BY_PEER,
    CONFIRMED_BY_STORE, CONFIRMED_BY_WATCHER, LISTS_AGAIN, NEWS_ANSWERS, NEWS_LATE,
};
pub use duty::{Contact, Duty, Standing};
pub use entries::Entries;
pub use evacuations::Evacuations;
pub use heartbeat::{
    CHANGED_LIMIT_TOLD, FAR_TOLD, LIMITS_TOLD, NEAR_TOLD, heartbeat_pause, longest_silence,
    tells_sums, watchers_pause,
};
pub use marks::{Mark, MarkEntry, MarkSource, MarkTable};
pub use peers::{Digest, Peer, PeerTable, UpstreamUse};
pub use receivers::{news_receivers, relays};
pub use revision::Revision;
pub use sent_times::SentTimes;
pub use watch::watches;
