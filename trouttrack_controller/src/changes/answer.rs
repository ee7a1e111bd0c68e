//! What an operator is told about a change.

use serde::{Deserialize, Serialize};
use trouttrack_config::Findings;
use trouttrack_config::fleet::ChangeRef;
use trouttrack_core::ConfigVersion;

/// How a change ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeOutcome {
    /// It is in force on every gateway that answers.
    InForce,
    /// It is committed; some gateways that answer do not have it yet.
    Committed,
    /// It is wrong; it is not in force and never will be.
    Refused,
    /// Another change came first; this one is not in force and never will be.
    Conflict,
    /// The platform does not answer; nothing was written.
    NotWritten,
    /// The platform took the write and its answer was lost. It is settled by
    /// the next commit at the latest; ask for the change's state.
    Unsettled,
}

/// What became of a change, asked for later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// It was committed.
    Committed,
    /// It was not and cannot be any more.
    Refused,
    /// It may still be committed.
    Open,
}

/// The answer to a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// How it ended.
    pub outcome: ChangeOutcome,
    /// Its id.
    pub change: String,
    /// The version that it was made on.
    pub base: ConfigVersion,
    /// The version that it made, if it was committed.
    pub version: Option<ConfigVersion>,
    /// Gateways on which it is in force.
    pub in_force: Vec<String>,
    /// Gateways that answer and do not have it yet.
    pub lagging: Vec<String>,
    /// Gateways that do not answer; they take it when they are back.
    pub unreachable: Vec<String>,
    /// What is wrong with it.
    pub findings: Vec<String>,
    /// What others committed since the base.
    pub meanwhile: Vec<ChangeRef>,
}

impl ChangeAnswer {
    pub(super) fn new(outcome: ChangeOutcome, change: &str, base: ConfigVersion) -> Self {
        Self {
            outcome,
            change: change.to_owned(),
            base,
            version: None,
            in_force: Vec::new(),
            lagging: Vec::new(),
            unreachable: Vec::new(),
            findings: Vec::new(),
            meanwhile: Vec::new(),
        }
    }

    pub(super) fn with_findings(mut self, findings: &Findings) -> Self {
        self.findings = findings.iter().map(ToString::to_string).collect();
        self
    }
}
