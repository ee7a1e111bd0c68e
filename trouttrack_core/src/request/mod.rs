//! Lifecycle of a request: phases, retry rules, retry budgets and token cursor.

mod budget;
mod cursor;
mod machine;
mod rule;
mod search;
mod shared_budget;

pub use budget::RetryBudget;
pub use cursor::{Cursor, FrameError, Token};
pub use machine::{Machine, StepResult};
pub use rule::{Delivery, Failure, Kind, Phase, RULES, Rule, Step, Traits, rule_for};
pub use search::UpstreamSearch;
pub use shared_budget::SharedBudget;
