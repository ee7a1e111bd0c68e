//! Quarantine of requests that crash upstreams (poison requests).
//!
//! Some requests crash every upstream that starts to run them. Such a request is sent again
//! under a new id and to any VM, so per-request retry limits do not bound the number of
//! crashes. It is identified by its [`Fingerprint`](crate::Fingerprint), and the upstreams
//! that crashed while running it are recorded per fingerprint. From a configured number of
//! crashes on the request is held: no VM sends it to an upstream until the hold expires.
//!
//! Any unannounced end of an upstream counts as a crash, for example the loss of its rack.
//! A crash ends all requests on the upstream, and at most one of them is the cause. A
//! request is therefore held only if several upstreams crashed in a row while running it,
//! without a completed run of it in between ([`Quarantine::record_completed_run`]).
//!
//! VMs merge their records. Each keeps the union of the crashes and the latest completed
//! run, so messages may arrive in any order and more than once. A single crash is reported
//! to the few VMs that keep the record of the request ([`record_holders`]); held requests are
//! reported to all VMs.

mod crash_record;
mod record;
mod record_holders;
mod settings;
mod table;

pub use crash_record::{CrashRecord, UpstreamCrash};
pub use record_holders::record_holders;
pub use settings::QuarantineSettings;
pub use table::{Hold, MergeResult, Quarantine};
