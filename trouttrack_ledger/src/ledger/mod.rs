//! Requests by what they ended as.

mod entry;
mod table;

pub(crate) use entry::NO_END;
pub use entry::{Entry, Key, Outcome};

use crate::bound::{Bound, Ended, Sheet};
use crate::line::{Event, Said};
use entry::{LATE_BY_PAUSE, NO_ROUTE};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, SystemTime};
use trouttrack_core::{RequestId, UpstreamId};

/// A request, as far as the lines so far tell.
#[derive(Clone, Debug)]
struct Request {
    at: SystemTime,
    route: Option<String>,
    upstream: Option<UpstreamId>,
    /// Upstreams that it was sent to.
    attempts: u32,
    /// The status of an upstream's answer.
    status: Option<u16>,
    end: Option<(Outcome, String)>,
}

/// Every request that the logs name, once.
///
/// # Examples
///
/// ```
/// use trouttrack_ledger::{line, Ledger, Outcome};
/// let mut ledger = Ledger::default();
/// let line = r#"{"timestamp":"2026-01-01T00:00:01+00:00","message":"not-run",
///     "kvs":{"request":"r1","route":"drafts","reason":"this VM is stopping"}}"#;
/// ledger.take(line::decode(line).unwrap());
/// let entries = ledger.entries();
/// assert_eq!(entries[0].0.outcome, Outcome::Refused);
/// assert_eq!(entries[0].1.count, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    requests: HashMap<RequestId, Request>,
    /// The objectives of routes, as far as answers named them.
    objectives: HashMap<String, Duration>,
}

impl Ledger {
    /// Takes in what a line says. The lines of a request come in order; those of
    /// different VMs may be read one after the other.
    pub fn take(&mut self, said: Said) {
        let request = self.requests.entry(said.request).or_insert(Request {
            at: said.at,
            route: None,
            upstream: None,
            attempts: 0,
            status: None,
            end: None,
        });
        request.route = said.route.or(request.route.take());
        request.upstream = said.upstream.or(request.upstream.take());
        match said.event {
            Event::Placed => request.attempts += 1,
            Event::Answered {
                status, objective, ..
            } => {
                request.status = Some(status);
                if let (Some(route), Some(objective)) = (&request.route, objective) {
                    self.objectives.insert(route.clone(), objective);
                }
            }
            _ => {}
        }
        if let Some(end) = ended(&said.event, said.reason) {
            request.at = said.at;
            request.end = Some(end);
        }
    }

    /// Requests in all.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no line named a request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// What requests ended as, the most frequent first.
    #[must_use]
    pub fn entries(&self) -> Vec<(Key, Entry)> {
        let mut entries: BTreeMap<Key, Entry> = BTreeMap::new();
        for request in self.requests.values() {
            let entry = entries.entry(request.key()).or_default();
            entry.add(request.at, request.upstream.as_ref());
        }
        let mut entries: Vec<(Key, Entry)> = entries.into_iter().collect();
        entries.sort_by(|a, b| b.1.count.cmp(&a.1.count).then(a.0.cmp(&b.0)));
        entries
    }

    /// What nobody could have saved, and what is left by cause, priced by a sheet.
    #[must_use]
    pub fn bound(&self, sheet: &Sheet) -> Bound {
        Bound::of(sheet, self.requests.values().map(|r| self.end_of(r)))
    }

    fn end_of<'a>(&self, request: &'a Request) -> Ended<'a> {
        let route = request.route.as_ref();
        Ended {
            outcome: request.outcome(),
            cause: request.cause(),
            status: request.status,
            attempts: request.attempts,
            objective: route.and_then(|r| self.objectives.get(r).copied()),
        }
    }

    /// When each request ended, and as what.
    pub(crate) fn ends(&self) -> impl Iterator<Item = (SystemTime, Outcome)> {
        self.requests.values().map(|r| (r.at, r.outcome()))
    }
}

impl Request {
    fn outcome(&self) -> Outcome {
        self.end.as_ref().map_or(Outcome::Lost, |(o, _)| *o)
    }

    fn cause(&self) -> &str {
        self.end.as_ref().map_or(NO_END, |(_, cause)| cause)
    }

    fn key(&self) -> Key {
        Key {
            outcome: self.outcome(),
            route: self.route.clone().unwrap_or_else(|| NO_ROUTE.to_owned()),
            cause: self.cause().to_owned(),
        }
    }
}

/// What an event makes of its request; `None` if it goes on.
fn ended(event: &Event, reason: String) -> Option<(Outcome, String)> {
    let (outcome, cause) = match event {
        Event::Placed => return None,
        Event::Answered { status, .. } if *status >= 500 => {
            (Outcome::Lost, format!("the upstream answered {status}"))
        }
        Event::Answered {
            first,
            objective,
            longest_pause,
            max_pause,
            ..
        } => {
            let exceeds =
                |time: &Duration, limit: &Option<Duration>| limit.is_some_and(|l| *time > l);
            if exceeds(first, objective) {
                (Outcome::Late, "answered after its objective".to_owned())
            } else if exceeds(longest_pause, max_pause) {
                (Outcome::Late, LATE_BY_PAUSE.to_owned())
            } else {
                (Outcome::InTime, String::new())
            }
        }
        Event::NotRun => (Outcome::Refused, reason),
        Event::Uncertain => (Outcome::Lost, reason),
        Event::Rejected => (Outcome::Rejected, reason),
        Event::LeftByCaller => (Outcome::Left, "the caller went away".to_owned()),
    };
    Some((outcome, cause))
}
