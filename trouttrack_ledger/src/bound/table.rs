//! The bound as a table.

use super::{Account, Bound};
use std::fmt::Write as _;

impl Bound {
    /// A table in Markdown: for each kind what was owed and earned, the bound, and the
    /// worth lost by what it went to, largest first.
    #[must_use]
    pub fn table(&self) -> String {
        let mut out = String::from(
            "| kind | requests | worth | share | went to | open |\n\
             | --- | ---: | ---: | ---: | --- | --- |\n",
        );
        for (name, account) in &self.by_kind {
            rows(&mut out, name, account);
        }
        rows(&mut out, "all", &self.total());
        out
    }
}

fn rows(out: &mut String, name: &str, account: &Account) {
    let (requests, owed) = (account.requests, account.owed);
    let (earned, bound) = (account.earned(), account.bound());
    let _ = writeln!(
        out,
        "| {name} | {requests} | {owed:.0} | {earned:.4} | earned; at most {bound:.4} | |",
    );
    let mut lost: Vec<_> = account.lost.iter().collect();
    lost.sort_by(|a, b| b.1.total_cmp(a.1));
    for (loss, worth) in lost {
        let share = worth / owed.max(f64::EPSILON);
        let open = if loss.is_given() { "" } else { "yes" };
        let _ = writeln!(
            out,
            "| | | {worth:.0} | {share:.4} | {} | {open} |",
            loss.name()
        );
    }
}
