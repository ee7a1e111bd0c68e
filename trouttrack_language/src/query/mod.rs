//! Queries over rows: `where`, `order by`, `limit`.

mod run;
mod types;

pub use run::run;
pub use types::{Condition, Direction, Op, Order, Query, Row};
