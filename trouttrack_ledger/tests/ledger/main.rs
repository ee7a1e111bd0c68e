//! Tests of the ledger.

mod shares;
