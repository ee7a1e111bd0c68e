//! The ledger as a table.

use super::Ledger;
use super::entry::{Entry, Key};
use std::fmt::Write as _;
use std::time::SystemTime;

/// Upstreams listed for a cause.
const UPSTREAMS: usize = 5;

impl Ledger {
    /// The entries as a table in Markdown, with shares that add up to one. With
    /// `upstreams`, those at which most of each entry's requests were.
    #[must_use]
    pub fn table(&self, upstreams: bool) -> String {
        let mut out = String::from(
            "| share | requests | route | ended as | cause | from | to |\n\
             | ---: | ---: | --- | --- | --- | --- | --- |\n",
        );
        for (key, entry) in self.entries() {
            self.row(&mut out, &key, &entry);
            if upstreams {
                by_upstream(&mut out, &entry);
            }
        }
        let _ = writeln!(out, "| 100.00 % | {} | all | | | | |", self.len());
        out
    }

    fn row(&self, out: &mut String, key: &Key, entry: &Entry) {
        let share = 100.0 * entry.count as f64 / self.len().max(1) as f64;
        let (from, to) = entry.span.map_or_else(Default::default, |(from, to)| {
            (time_of_day(from), time_of_day(to))
        });
        let _ = writeln!(
            out,
            "| {share:.2} % | {} | {} | {} | {} | {from} | {to} |",
            entry.count,
            key.route,
            key.outcome.as_str(),
            key.cause,
        );
    }
}

/// The upstreams at which most of an entry's requests were.
fn by_upstream(out: &mut String, entry: &Entry) {
    let mut upstreams: Vec<_> = entry.upstreams.iter().collect();
    upstreams.sort_by(|a, b| b.1.cmp(a.1).then(a.0.cmp(b.0)));
    for (upstream, count) in upstreams.into_iter().take(UPSTREAMS) {
        let _ = writeln!(out, "| | {count} | | | at {upstream} | | |");
    }
}

/// The time of day, in milliseconds.
fn time_of_day(at: SystemTime) -> String {
    let text = humantime::format_rfc3339_millis(at).to_string();
    let time = text.split_once('T').map_or(text.as_str(), |(_, time)| time);
    time.trim_end_matches('Z').to_owned()
}
