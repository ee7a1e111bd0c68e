//! What nobody could have saved of a log's requests, and what is left by cause.
//!
//! Three kinds of loss are no decision's: an upstream's own failure at every attempt
//! that the route allows, the end of the VM that held the caller's connection, and that
//! no upstream could be reached. Everything else might have gone better.

mod sheet;
mod table;

pub use sheet::{KindOfRequest, Sheet};

use crate::ledger::{NO_END, Outcome};
use std::collections::BTreeMap;
use std::time::Duration;

/// Reasons for which the fronts say that no upstream was in reach.
const OUT_OF_REACH: &[&str] = &[
    "no upstream can be reached in time",
    "no upstream runs the service",
];

/// What a request's worth went to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loss {
    /// Every upstream that it could be sent to answered with a failure.
    UpstreamsFailed,
    /// Its VM ended while it was in progress.
    VmEnded,
    /// No upstream was in reach.
    OutOfReach,
    /// It might have gone better; why it did not.
    Open(String),
}

impl Loss {
    /// Whether no decision could have changed it.
    #[must_use]
    pub fn is_given(&self) -> bool {
        !matches!(self, Self::Open(_))
    }

    /// Its name in tables.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::UpstreamsFailed => "every upstream allowed failed",
            Self::VmEnded => "its VM ended",
            Self::OutOfReach => "no upstream in reach",
            Self::Open(cause) => cause,
        }
    }
}

/// A request, as far as the bound needs it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ended<'a> {
    pub(crate) outcome: Outcome,
    pub(crate) cause: &'a str,
    /// The status of an upstream's answer.
    pub(crate) status: Option<u16>,
    pub(crate) attempts: u32,
    /// The objective of its route.
    pub(crate) objective: Option<Duration>,
}

/// The worth asked for and lost of one kind of request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Account {
    /// Requests that were owed an answer.
    pub requests: usize,
    /// Their worth.
    pub owed: f64,
    /// The worth that was lost, by what it went to.
    pub lost: BTreeMap<Loss, f64>,
}

impl Account {
    /// The largest share of the worth that any decision could have earned.
    #[must_use]
    pub fn bound(&self) -> f64 {
        let given = self.lost.iter().filter(|(loss, _)| loss.is_given());
        1.0 - given.map(|(_, worth)| worth).sum::<f64>() / self.owed.max(f64::EPSILON)
    }

    /// The share of the worth that was earned.
    #[must_use]
    pub fn earned(&self) -> f64 {
        1.0 - self.lost.values().sum::<f64>() / self.owed.max(f64::EPSILON)
    }

    fn add(&mut self, kind: &KindOfRequest, ended: &Ended<'_>) {
        self.requests += 1;
        self.owed += kind.in_time;
        let got = match ended.outcome {
            Outcome::InTime => return,
            Outcome::Late => kind.late,
            _ => 0.0,
        };
        let loss = loss_of(kind, ended);
        *self.lost.entry(loss).or_default() += kind.in_time - got;
    }
}

/// What became of a log's requests, by kind. Requests that are not owed an answer
/// (rejected ones, and those whose caller went away) and those of a kind that the sheet
/// does not name are left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bound {
    /// By kind, in the sheet's order of names.
    pub by_kind: BTreeMap<String, Account>,
}

impl Bound {
    pub(crate) fn of<'a>(sheet: &Sheet, requests: impl Iterator<Item = Ended<'a>>) -> Self {
        let mut bound = Self::default();
        for ended in requests {
            let owed = !matches!(ended.outcome, Outcome::Rejected | Outcome::Left);
            let kind = ended.objective.and_then(|o| sheet.kind(o));
            let Some(kind) = kind.filter(|_| owed) else {
                continue;
            };
            let account = bound.by_kind.entry(kind.name.clone()).or_default();
            account.add(kind, &ended);
        }
        bound
    }

    /// All kinds together.
    #[must_use]
    pub fn total(&self) -> Account {
        let mut total = Account::default();
        for account in self.by_kind.values() {
            total.requests += account.requests;
            total.owed += account.owed;
            for (loss, worth) in &account.lost {
                *total.lost.entry(loss.clone()).or_default() += worth;
            }
        }
        total
    }
}

fn loss_of(kind: &KindOfRequest, ended: &Ended<'_>) -> Loss {
    let failed = ended.status.is_some_and(|s| s >= 500);
    if failed && ended.attempts >= kind.attempts {
        return Loss::UpstreamsFailed;
    }
    if ended.cause == NO_END {
        return Loss::VmEnded;
    }
    if OUT_OF_REACH.contains(&ended.cause) {
        return Loss::OutOfReach;
    }
    Loss::Open(ended.cause.to_owned())
}
