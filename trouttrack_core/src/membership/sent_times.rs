//! Dating of the information in a peer's message without synchronised clocks.
//!
//! A peer reports the age of its last confirmation. The datagram may have been
//! delayed by any amount, for example in a receive buffer of a VM that was
//! suspended, so the age at the time of receipt is unknown. Each heartbeat
//! therefore echoes the sequence number of the last heartbeat that its sender has
//! received from its receiver. The report was made after that heartbeat was sent,
//! and the receiver knows when it sent it.

use crate::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent heartbeats whose send times are kept. Echoes of older ones are ignored.
const MAX_SENT_TIMES: usize = 64;

/// Send times of a VM's own recent heartbeats.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::membership::SentTimes;
/// let ms = Duration::from_millis;
/// let mut sent = SentTimes::default();
/// sent.sent(7, ms(1000));
/// // A peer that had received heartbeat 7 and then reported a state 300 ms old
/// // reported a state that was valid at 700 ms or later.
/// assert_eq!(sent.earliest_time(7, ms(300)), Some(ms(700)));
/// assert_eq!(sent.earliest_time(8, ms(300)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SentTimes {
    times: VecDeque<(u64, Time)>,
}

impl SentTimes {
    /// Records that a heartbeat is sent.
    pub fn sent(&mut self, sequence: u64, now: Time) {
        if self.times.len() == MAX_SENT_TIMES {
            self.times.pop_front();
        }
        self.times.push_back((sequence, now));
    }

    /// Returns a lower bound of the time of an event whose age was `age` after its
    /// reporter had received heartbeat `echo`, or `None` if that heartbeat is unknown.
    #[must_use]
    pub fn earliest_time(&self, echo: u64, age: Duration) -> Option<Time> {
        let (_, sent_at) = self.times.iter().find(|(sequence, _)| *sequence == echo)?;
        Some(sent_at.saturating_sub(age))
    }
}
