//! Selection of an upstream for a request.

mod baselines;
mod explain;
mod policy;
mod prediction;
mod score;

pub use baselines::{LeastOutstanding, RandomChoice, RoundRobin, TwoChoices};
pub use explain::{CandidateNote, Explanation, ExplanationTable};
pub use policy::{AnyPolicy, Candidate, Policy, UnknownPolicy};
pub(crate) use prediction::long_share;
pub use prediction::{Excess, PredictedLoad, PredictedRequest, Prediction};
pub(crate) use score::UNCERTAINTY_PENALTY;
pub use score::{Scored, Weights};
