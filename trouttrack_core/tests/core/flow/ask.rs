//! What callers ask for.

use crate::support::{SERVICE, submission};
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::length::LengthKey;
use trouttrack_core::world::{ServiceLevel, Submission};

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Ask {
    pub(crate) class: u8,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) objective: Duration,
}

impl Ask {
    pub(super) fn submission(self, now: Time) -> Submission {
        Submission {
            prompt_tokens: self.prompt_tokens,
            length_key: LengthKey::new(SERVICE, "m", &self.class.to_string()),
            guessed_tokens: Some(self.output_tokens),
            version: None,
            known_tokens: Some(self.output_tokens),
            deadline: now + self.objective.mul_f64(0.6),
            service_level: ServiceLevel {
                due: now + self.objective,
                longest_pause: Some(Duration::from_millis(180)),
                expires: now + 8 * self.objective,
            },
            ..submission("r", "o", self.class)
        }
    }
}
