//! Believing what a peer says of the past, without common clocks.
//!
//! A peer says "what I know was confirmed so long ago". The datagram may have
//! waited anywhere since, also in a buffer of a VM that stood still. So each
//! heartbeat names the last one that its sender has heard from its receiver:
//! what it says was true after that one was sent, and the receiver knows when
//! it sent it.

use crate::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Heartbeats whose time is remembered; echoes of older ones say nothing.
const REMEMBERED: usize = 64;

/// When a VM's own heartbeats were sent.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::SentTimes;
/// let ms = Duration::from_millis;
/// let mut sent = SentTimes::default();
/// sent.sent(7, ms(1000));
/// // Whoever had heard heartbeat 7 and then spoke of something 300 ms old
/// // spoke of what was true at 700 ms or later.
/// assert_eq!(sent.at_least(7, ms(300)), Some(ms(700)));
/// assert_eq!(sent.at_least(8, ms(300)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SentTimes {
    times: VecDeque<(u64, Time)>,
}

impl SentTimes {
    /// A heartbeat is sent.
    pub fn sent(&mut self, sequence: u64, now: Time) {
        if self.times.len() == REMEMBERED {
            self.times.pop_front();
        }
        self.times.push_back((sequence, now));
    }

    /// The time since which something holds that was `age` old when its sender
    /// had heard heartbeat `echo`.
    #[must_use]
    pub fn at_least(&self, echo: u64, age: Duration) -> Option<Time> {
        let (_, at) = self.times.iter().find(|(sequence, _)| *sequence == echo)?;
        Some(at.saturating_sub(age))
    }
}
