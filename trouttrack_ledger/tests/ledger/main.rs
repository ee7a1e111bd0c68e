//! Tests of the ledger.

mod bound;
mod pauses;
mod shares;
