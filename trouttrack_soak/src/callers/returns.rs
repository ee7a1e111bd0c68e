//! Callers whose streams broke off, and that return for the rest.

use super::ask::{Asked, Callers};
use super::call::{Call, is_success};
use crate::bed::RouteName;
use rand::RngExt;
use rand::rngs::SmallRng;
use std::ops::Range;
use std::time::{Duration, Instant};
use tokio::time::sleep;
use trouttrack_http::{Client, Reuse};

/// How often a caller returns at most.
const RETURNS: usize = 5;
/// Pause before a return, in milliseconds.
const PAUSE_MS: Range<u64> = 0..600;
/// The share of returns that do not name the call that began the stream.
const UNNAMED: f64 = 0.2;
/// A caller with less time than this gives up.
const LEAST_LEFT: Duration = Duration::from_millis(300);

/// A stream of which a caller holds the beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The call that brought the first event.
    first: String,
    key: String,
    /// The last event that the caller has.
    had: u64,
}

impl Broken {
    /// The stream that a first call has begun; `None` if it has no event, is complete, or may not be
    /// taken up.
    #[must_use]
    pub fn after(call: &Call) -> Option<Self> {
        let reply = call.reply().filter(|r| is_success(r) && !r.whole)?;
        let had = last_event(&reply.text())?;
        (call.route == RouteName::Resume).then(|| Self {
            first: call.id.clone(),
            key: call.key.clone(),
            had,
        })
    }

    /// What is left to ask for after a return; `None` if the stream is complete or no answer will
    /// be better.
    #[must_use]
    pub fn after_return(self, call: &Call) -> Option<Self> {
        let Some(reply) = call.reply() else {
            return Some(self);
        };
        match reply.status {
            200..300 if reply.whole => None,
            200..300 => Some(Self {
                had: last_event(&reply.text()).unwrap_or(self.had),
                ..self
            }),
            400 | 401 | 404 | 413 | 431 => None,
            _ => Some(self),
        }
    }

    /// The last event that the caller has.
    #[must_use]
    pub fn had(&self) -> u64 {
        self.had
    }
}

impl Callers {
    /// Returns for the rest of a stream that broke off, on a new connection each time, as often as
    /// the time of its caller allows.
    pub(super) async fn return_for_rest(
        &self,
        call: &Call,
        patience: Duration,
        rng: &mut SmallRng,
    ) {
        let Some(mut broken) = Broken::after(call) else {
            return;
        };
        let until = call.sent + patience;
        for number in 1..=RETURNS {
            sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
            let left = until.saturating_duration_since(Instant::now());
            if left < LEAST_LEFT {
                return;
            }
            let ready = self.bed.ready();
            let vm = ready[rng.random_range(0..ready.len())];
            let id = format!("{}-again{number}", broken.first);
            let asked = Asked::new(id, vm, call.route, broken.key.clone());
            let asked = asked.resuming(&broken.first, broken.had, left);
            let asked = match rng.random_bool(UNNAMED) {
                true => asked.without_first(),
                false => asked,
            };
            let req = asked.request();
            let client = Client::builder().build();
            let call = self.ask_by(&client, asked, &req, Reuse::Never).await;
            let next = broken.after_return(&call);
            self.calls.borrow_mut().push(call);
            match next {
                Some(next) => broken = next,
                None => return,
            }
        }
    }
}

/// The number of the last complete event of a stream.
fn last_event(text: &str) -> Option<u64> {
    let complete = &text[..text.rfind("\n\n")?];
    let last = complete.rsplit("\n\n").next()?;
    last.lines()
        .find_map(|line| line.strip_prefix("id: "))?
        .parse()
        .ok()
}
