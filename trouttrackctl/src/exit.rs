//! Exit codes.

use std::process::ExitCode;

/// How a command ended, as the exit code tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// 0: done; a change is in force on every gateway that answers.
    Done = 0,
    /// 1: refused, in conflict, or nothing of that name; nothing changed.
    Refused = 1,
    /// 2: the command line or the command is wrong; nothing was sent.
    Usage = 2,
    /// 3: the API or the platform does not answer; nothing changed.
    Unavailable = 3,
    /// 4: committed, and not yet in force on every gateway that answers.
    Lagging = 4,
    /// 5: not known yet whether the change is committed; the output says how
    /// to find out.
    Unsettled = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
