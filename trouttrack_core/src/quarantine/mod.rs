//! Requests that end what runs them.
//!
//! Some requests crash each upstream that begins to run them. Such a request comes back
//! under another id, at any VM, so nothing that belongs to one arrival bounds what it
//! ends. It is told by its [`Fingerprint`](crate::Fingerprint), and under each one it is
//! remembered which upstreams ended. From some number of ends on the request is held:
//! no VM sends it to an upstream until the hold is over.
//!
//! An upstream that ends takes many requests with it, and only one of them is the cause.
//! Those that merely ran there are told apart by time: a request is held only when
//! several upstreams ended under it in a row, with no run of it that came to its end in
//! between ([`Quarantine::ran_well`]).
//!
//! VMs merge what they know. Each keeps the union of the ends and the newest good run, so
//! the order in which word arrives does not matter, nor whether it arrives twice. A single
//! end is told to the few VMs that keep account of the request ([`keepers`]); what is held
//! is told to all.

mod keepers;
mod record;
mod settings;
mod suspect;
mod table;

pub use keepers::keepers;
pub use settings::QuarantineSettings;
pub use suspect::{Suspect, UpstreamEnd};
pub use table::{Heard, Hold, Quarantine};
