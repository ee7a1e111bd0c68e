//! The decisions, without input or output.

mod claims;
mod length;
mod membership;
mod policies;
mod retry_rule;
mod support;
mod world;
