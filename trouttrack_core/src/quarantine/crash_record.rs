//! Records that VMs exchange about what may have crashed upstreams.

use super::companions::Companions;
use super::subject::Subject;
use crate::Fingerprint;
use crate::upstream::Incarnation;
use serde::{Deserialize, Serialize};

/// Crash of an upstream while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCrash {
    /// Incarnation that crashed.
    pub upstream: Incarnation,
    /// Age of the crash in milliseconds.
    pub ago_ms: u64,
}

/// Record of a subject, as sent to other VMs. The part that earlier versions of this program know
/// is serialized; [`context`](Self::context) is sent separately.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Fingerprint of the request, or the number of the part.
    pub fingerprint: Fingerprint,
    /// Crashes of upstreams while they ran a request with it.
    pub ends: Vec<UpstreamCrash>,
    /// Age in milliseconds of the latest run that speaks for it.
    pub ran_well_ago_ms: Option<u64>,
    /// What earlier versions do not know.
    #[serde(skip)]
    pub context: RecordContext,
}

impl CrashRecord {
    /// What the record is about.
    #[must_use]
    pub fn subject(&self) -> Subject {
        match self.context.is_part {
            // The number was a part's id when it was sent.
            true => Subject::Part(self.fingerprint as u64),
            false => Subject::Request(self.fingerprint),
        }
    }
}

/// What a [`CrashRecord`] says beyond what earlier versions know. The default is what they say.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordContext {
    /// Whether the record is about a part of prompts.
    pub is_part: bool,
    /// Circumstances of each crash, in the order of the crashes.
    pub crashes: Vec<CrashContext>,
}

/// Circumstances of a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashContext {
    /// Time since the latest of the requests was sent to the upstream, in milliseconds; `None` if
    /// it is not known.
    pub sent_ago_ms: Option<u64>,
    /// Other attributes of the requests.
    pub companions: Companions,
}
