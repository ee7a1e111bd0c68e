//! The promises, held against what callers were told and the upstreams' books.
//!
//! - `answers`: each caller gets its own whole answer.
//! - `order`: what a caller holds of a stream, by one or several answers, is the stream, event by
//!   event, and joins no runs that may not be joined.
//! - `runs`: at most once, "not run" is true, retries stay in their budget.
//! - `keys`: configurations never go back, removed keys are dead.
//! - `ends`: a request that ends engines is stopped.
//! - `stops`: planned work cuts off nothing; leaving upstreams and evacuated failure
//!   domains get no work.
//! - `words`: what upstreams say in their answers is heeded.
//! - `load`: what a VM keeps for slow readers is bounded, readers are not ended for others'
//!   stalls, and upstreams that are gone make nothing fail that others could serve.
//! - `paths`: callers of VMs that lost their paths to upstreams are served.
//! - `versions`: a stream holds events of one software version.
//! - `limits`: VMs keep together to the limits that upstreams name.
//!
//! Those that hold within a time are checked only if [`Evidence::timed`] says
//! so: on a machine that is busy with other work they prove nothing.

mod answers;
mod ends;
mod evidence;
mod keys;
mod limits;
mod load;
mod order;
mod paths;
mod runs;
mod stops;
mod versions;
mod words;

pub use evidence::{Evidence, Kept, Run};

use serde::Serialize;
use std::time::Duration;

/// A key is dead this long after the store has acknowledged its removal.
pub const REVOKE: Duration = Duration::from_secs(5);
/// An evacuation is in force this long after the store has acknowledged it.
pub const EVACUATE: Duration = Duration::from_secs(2);
/// Retries that the fleet may make for each request in a window.
pub const RETRY_RATIO: f64 = 0.2;
/// Retries that the fleet may make in a window besides.
pub const RETRY_EXTRA: f64 = 20.0;
/// That window.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The most bytes that a VM keeps for callers that read slowly.
pub const BUFFERS: usize = 256 << 10;
/// The most connections of callers that a VM accepts.
pub const CONNECTIONS: usize = 200;
/// A VM that lives for so long has been asked what it keeps: it has started, and several
/// rounds of questions have passed, in which each VM may miss one.
pub const ASKED: Duration = Duration::from_secs(5);
/// After trouble, a VM is held to times again from then on.
pub const CONTACT: Duration = Duration::from_secs(3);

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Which.
    pub promise: &'static str,
    /// The request that shows it, if one does.
    pub request: Option<String>,
    /// What was seen.
    pub seen: String,
}

impl Finding {
    fn of(promise: &'static str, request: &str, seen: impl Into<String>) -> Self {
        Self {
            promise,
            request: Some(request.to_owned()),
            seen: seen.into(),
        }
    }
}

/// Finds every broken promise.
#[must_use]
pub fn check(evidence: &Evidence) -> Vec<Finding> {
    let mut findings = answers::check(evidence);
    findings.extend(order::check(evidence));
    findings.extend(runs::check(evidence));
    findings.extend(keys::check(evidence));
    findings.extend(stops::check(evidence));
    findings.extend(ends::check(evidence));
    findings.extend(words::check(evidence));
    findings.extend(limits::check(evidence));
    findings.extend(load::check(evidence));
    findings.extend(paths::check(evidence));
    findings.extend(versions::check(evidence));
    findings
}
