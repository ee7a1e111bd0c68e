//! What a log line says of a request.

use serde::Deserialize;
use std::time::{Duration, SystemTime};
use trouttrack_core::{RequestId, UpstreamId};

/// How a request ended, or how far it has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// It was sent to an upstream.
    Placed,
    /// An upstream's answer was passed on.
    Answered {
        /// The answer's status.
        status: u16,
        /// From its arrival to the first byte of its answer.
        first: Duration,
        /// The time within which the route's requests are to be answered.
        objective: Option<Duration>,
        /// The longest pause between two events of a stream.
        longest_pause: Duration,
        /// The longest pause that the route allows.
        max_pause: Option<Duration>,
    },
    /// It was refused and has not run.
    NotRun,
    /// It ended without a whole answer and may have run.
    Uncertain,
    /// It was rejected as not valid.
    Rejected,
    /// Its caller went away.
    LeftByCaller,
}

/// What a line says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    /// When.
    pub at: SystemTime,
    /// The caller's id of the try.
    pub request: RequestId,
    /// What happened.
    pub event: Event,
    /// Why, in the front's words.
    pub reason: String,
    /// The route, where the line names it.
    pub route: Option<String>,
    /// The upstream, where the line names it.
    pub upstream: Option<UpstreamId>,
}

#[derive(Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    kvs: Fields,
}

#[derive(Default, Deserialize)]
struct Fields {
    request: Option<RequestId>,
    reason: Option<String>,
    route: Option<String>,
    upstream: Option<UpstreamId>,
    status: Option<u16>,
    first_ms: Option<u64>,
    objective_ms: Option<u64>,
    pause_ms: Option<u64>,
    max_pause_ms: Option<u64>,
}

/// Decodes a line, which may have something before its JSON. `None` if it says
/// nothing of what became of a request.
///
/// # Examples
///
/// ```
/// use trouttrack_ledger::line::{decode, Event};
/// let line = r#"vm-1 {"timestamp":"2026-01-01T00:00:01.5+00:00","message":"not-run",
///     "kvs":{"request":"r1","reason":"this VM is stopping"}}"#;
/// let said = decode(line).unwrap();
/// assert_eq!((said.event, said.request.as_str()), (Event::NotRun, "r1"));
/// assert!(decode("no JSON").is_none());
/// ```
#[must_use]
pub fn decode(line: &str) -> Option<Said> {
    let json = &line[line.find('{')?..];
    let Line {
        timestamp,
        message,
        kvs,
    } = serde_json::from_str(json).ok()?;
    let event = event(&message, &kvs)?;
    let utc = timestamp.replace("+00:00", "Z");
    Some(Said {
        at: humantime::parse_rfc3339(&utc).ok()?,
        request: kvs.request?,
        event,
        reason: kvs.reason.unwrap_or_default(),
        route: kvs.route,
        upstream: kvs.upstream,
    })
}

fn event(message: &str, fields: &Fields) -> Option<Event> {
    match message {
        "placed" => Some(Event::Placed),
        "answered" => Some(Event::Answered {
            status: fields.status?,
            first: Duration::from_millis(fields.first_ms?),
            objective: fields.objective_ms.map(Duration::from_millis),
            longest_pause: Duration::from_millis(fields.pause_ms.unwrap_or_default()),
            max_pause: fields.max_pause_ms.map(Duration::from_millis),
        }),
        "not-run" => Some(Event::NotRun),
        "uncertain" => Some(Event::Uncertain),
        "rejected" => Some(Event::Rejected),
        "left-by-caller" => Some(Event::LeftByCaller),
        _ => None,
    }
}
