//! Requests that an upstream turns away without running them.
//!
//! A refusal comes at once, so an upstream that refuses has nothing running and, if a refusal
//! counted as a good end, a clean record: it would be taken for the best one there is. So it
//! is left alone for a moment, for longer with each refusal in a row, and then tried with one
//! request. An upstream that names a pause is left alone for that long, see
//! [`Words`](super::Words), and then tried in the same way.

use crate::Time;
use std::time::Duration;

/// The first pause after a refusal that names none: what refused callers are told to wait.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Doublings of that pause, up to 1.6 s: upstreams that name a pause ask for some seconds,
/// and one that names none may have room again at any time.
const DOUBLINGS: u32 = 4;

/// An upstream's refusals in a row, as one VM has met them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Refusals {
    in_a_row: u32,
    /// Until when it is left alone.
    until: Time,
    /// Whether a request is there to see if it still refuses.
    tried: bool,
}

impl Refusals {
    /// It refused a request. Those that were sent together and are refused together count
    /// once.
    pub(crate) fn refused(&mut self, now: Time) {
        self.tried = false;
        if now < self.until {
            return;
        }
        let doublings = self.in_a_row.min(DOUBLINGS);
        self.until = now + FIRST_PAUSE * (1 << doublings);
        self.in_a_row += 1;
    }

    /// It has run a request.
    pub(crate) fn ran(&mut self) {
        *self = Self::default();
    }

    /// It was given a request.
    pub(crate) fn given(&mut self) {
        self.tried = self.in_a_row > 0;
    }

    /// A request ended there, whatever became of it.
    pub(crate) fn ended(&mut self) {
        self.tried = false;
    }

    /// Whether it may be given a request.
    pub(crate) fn allow(&self, now: Time) -> bool {
        now >= self.until && !self.tried
    }

    /// When it may be given a request at the earliest.
    pub(crate) fn allow_at(&self, now: Time) -> Time {
        self.until.max(now)
    }
}
