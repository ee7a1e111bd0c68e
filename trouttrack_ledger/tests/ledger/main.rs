//! Tests of the ledger.

mod bound;
mod shares;
