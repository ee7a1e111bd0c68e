//! State that the gateways of a fleet exchange, and how it is merged.
//!
//! All state is merged by keeping the newer of two entries, so digests may arrive
//! in any order and more than once.

mod conditions;
mod departure_words;
mod departures;
mod dissemination;
mod entries;
mod evacuations;
mod heartbeat;
mod known;
mod marks;
mod peers;
mod receivers;
mod revision;
mod sent_times;
mod watch;
mod watcher_election;

pub use conditions::{
    Conditions, MAX_UNREACHABLE_PER_DATAGRAM, ReportedDemand, ReportedReachable,
    ReportedUnreachable,
};
pub use departure_words::{
    DepartureWord, DepartureWords, MAX_WORDS_PER_DATAGRAM, ReportedDeparture,
};
pub use departures::{Departures, RESTORE_GRACE};
pub use dissemination::{
    CONFIRMATION_RETRY_INTERVAL, LIST_RETRY_INTERVAL, MAX_CHANGES_PER_DATAGRAM,
    MAX_CONCURRENT_TRANSFERS, MAX_UPDATE_DATAGRAMS, MEAN_STORE_CALLERS, PEER_REQUEST_AGE,
    STORE_REQUEST_AGE, UPDATE_REQUEST_DELAY, WATCHER_RENEWAL_AGE,
};
pub use entries::{Entries, MAX_CONTACT_PAUSE, Removal};
pub use evacuations::Evacuations;
pub use heartbeat::{
    CHANGED_LIMIT_REPEAT_PERIOD, LOCAL_FANOUT, MAX_LIMITS_PER_DATAGRAM, REMOTE_FANOUT,
    heartbeat_interval, peer_timeout, sends_aggregates, watcher_heartbeat_interval,
};
pub use known::KnownRevisions;
pub use marks::{Mark, MarkEntry, MarkSource, MarkTable};
pub use peers::{Digest, Peer, PeerTable, UpstreamUse};
pub use receivers::{relays, update_receivers};
pub use revision::Revision;
pub use sent_times::SentTimes;
pub use watch::watches;
pub use watcher_election::{Precedence, StoreReachability, WatcherElection};
