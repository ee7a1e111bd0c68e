//! The answer to a change, in words.

use crate::exit::Exit;
use std::fmt::Write as _;
use trouttrack_controller::changes::{ChangeAnswer, ChangeOutcome};

/// The exit code for a change.
#[must_use]
pub fn change_exit(outcome: ChangeOutcome) -> Exit {
    match outcome {
        ChangeOutcome::InForce => Exit::Done,
        ChangeOutcome::Committed => Exit::Lagging,
        ChangeOutcome::Refused | ChangeOutcome::Conflict => Exit::Refused,
        ChangeOutcome::NotWritten => Exit::Unavailable,
        ChangeOutcome::Unsettled => Exit::Unsettled,
    }
}

/// Says how a change ended and where it is in force.
#[must_use]
pub fn change(a: &ChangeAnswer) -> String {
    let version = a.version.unwrap_or(a.base);
    let mut out = match a.outcome {
        ChangeOutcome::InForce => format!("in force: version {version}\n"),
        ChangeOutcome::Committed => {
            format!("committed: version {version}, not yet in force everywhere\n")
        }
        ChangeOutcome::Refused => "refused: nothing changed\n".to_owned(),
        ChangeOutcome::Conflict => {
            "conflict: another change came first; nothing of this one is in force\n".to_owned()
        }
        ChangeOutcome::NotWritten => {
            "not written: the platform does not answer; nothing changed\n".to_owned()
        }
        ChangeOutcome::Unsettled => format!(
            "not settled: the platform's answer was lost. Ask `trouttrackctl change {} {}`; \
             the next commit settles it at the latest\n",
            a.change, a.base
        ),
    };
    let mut list = |label: &str, names: &[String]| {
        if !names.is_empty() {
            let _ = writeln!(out, "  {label}: {}", names.join(", "));
        }
    };
    list("on", &a.in_force);
    list("not yet on", &a.lagging);
    list("no answer from", &a.unreachable);
    for finding in &a.findings {
        let _ = writeln!(out, "  {finding}");
    }
    for c in &a.meanwhile {
        let _ = writeln!(
            out,
            "  version {} by {}: {}",
            c.version, c.author, c.summary
        );
    }
    out
}
