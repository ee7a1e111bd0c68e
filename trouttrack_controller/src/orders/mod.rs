//! Orders to engines, given by the one controller that holds the lease.
//!
//! What an engine should hold follows from the configuration: the models of
//! the services that it runs. What it holds, it says itself. Each difference
//! becomes an order that bears the lease's epoch; loads are paced, because the
//! weight store is shared.
//!
//! An engine that checks epochs refuses an old holder's orders. For one that
//! does not, a new holder waits until no order of the old one can be under way
//! any more, and every order is harmless to repeat. What remains possible
//! there: an order of an old holder that was held up longer than
//! [`LONGEST_FLIGHT`] arrives after a newer one; it loads a model that the next
//! round finds and says, and never takes one away.

mod plan;
mod run;

pub use plan::{Order, OrderKind, missing};
pub use run::{LONGEST_FLIGHT, run};
