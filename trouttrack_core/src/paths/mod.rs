//! Paths from this VM to upstreams: which connections fail although the upstream is reachable for
//! others, and which peers can relay them meanwhile.

mod relays;
mod table;

pub use relays::{MAX_RELAYS_ASKED, RelayCandidate, RelayTable};
pub use table::{PathChange, PathTable};
