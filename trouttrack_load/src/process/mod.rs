//! What a process has used, from `/proc`.

use std::time::Duration;

/// Clock ticks a second, fixed on this kind of system.
const TICKS: u64 = 100;
const PAGE: u64 = 4096;

/// Use of a process so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time, user and system.
    pub cpu: Duration,
    /// Memory that is resident, in bytes.
    pub rss: u64,
}

/// Reads the use of a process; zero if it cannot be read.
///
/// # Examples
///
/// ```
/// let own = trouttrack_load::process::usage(std::process::id());
/// assert!(own.rss > 0);
/// ```
#[must_use]
pub fn usage(pid: u32) -> Usage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may hold blanks; fields are counted after it.
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest.split_whitespace().collect())
        .unwrap_or_default();
    let field = |i: usize| fields.get(i).and_then(|f| f.parse::<u64>().ok());
    const USER: usize = 11;
    const SYSTEM: usize = 12;
    const RESIDENT: usize = 21;
    let ticks = field(USER).unwrap_or(0) + field(SYSTEM).unwrap_or(0);
    Usage {
        cpu: Duration::from_millis(ticks * 1000 / TICKS),
        rss: field(RESIDENT).unwrap_or(0) * PAGE,
    }
}
