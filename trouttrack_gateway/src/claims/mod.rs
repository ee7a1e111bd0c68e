//! Claims of callers' idempotency keys: routed to the shard's process, written
//! many at a time.

mod actor;
mod ledger;
mod shard_task;

pub use actor::{Alive, ClaimHere, ClaimKey, Claimer, Note, Settled, StateOf, TakeOverHere};
pub use ledger::{ClaimLedger, Progressed};
