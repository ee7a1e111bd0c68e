//! Checking, committing and rolling out a change.

mod answer;
mod commit;
mod current;

pub use answer::{ChangeAnswer, ChangeOutcome, ChangeState};
pub use commit::{Committer, Intent};
pub use current::{Current, Origin};
