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
//! The cause may also be an attribute that requests share and that repeats in no other way: a
//! part of their prompts. Each request is therefore recorded under several [`Subject`]s, itself
//! and its parts ([`Attributes`]). What is blamed follows from the contrast between runs:
//!
//! - A part is suspect only if the answer had just begun, or not yet, when the upstream crashed.
//! - A run that outlived its beginning, at any VM, clears its parts of earlier crashes
//!   ([`Quarantine::record_begun_run`]).
//! - Upstreams that crash at the same moment have a common cause outside of the requests. They
//!   count once, unless one of the requests was sent after another upstream had crashed.
//! - A held part explains the crashes under it, so nothing else is held for these.
//! - A part that was always accompanied by the same other attributes is held together with them:
//!   only requests that have all of them are refused, until a crash or a run tells them apart.
//!
//! VMs merge their records. Each keeps the union of the crashes and the latest run that speaks
//! for the subject, so messages may arrive in any order and more than once. A single crash is
//! reported to the few VMs that keep the record of the subject ([`record_holders`]). Held
//! subjects are reported to all VMs, and so are parts that one more crash would hold, because
//! runs at any VM may clear them.

mod companions;
mod crash_record;
mod holds;
mod record;
mod record_holders;
mod settings;
mod subject;
mod table;

pub use companions::Companions;
pub use crash_record::{CrashContext, CrashRecord, RecordContext, UpstreamCrash};
pub use record_holders::record_holders;
pub use settings::QuarantineSettings;
pub use subject::{Attributes, ParseSubjectError, Subject};
pub use table::{CrashedRun, Hold, MergeResult, Quarantine};
