//! What the gateways of a fleet tell each other, and how it is merged.
//!
//! Everything here is merged by taking the newer of two entries, so the order
//! in which digests arrive, or arrive twice, does not matter.

mod duty;
mod echo;
mod entries;
mod evacuations;
mod marks;
mod peers;
mod receivers;
mod telling;
mod watch;

pub use duty::{Contact, Duty, Standing};
pub use echo::SentTimes;
pub use entries::Entries;
pub use evacuations::Evacuations;
pub use marks::{Mark, MarkEntry, MarkSource, MarkTable};
pub use peers::{Digest, Peer, PeerTable, UpstreamUse};
pub use receivers::{news_receivers, relays};
pub use telling::{
    FAR_TOLD, NEAR_TOLD, heartbeat_pause, longest_silence, tells_sums, watchers_pause,
};
pub use watch::watches;
