//! What a caller holds of a stream: each event once, in order, from runs that may be joined.

use super::answers::may_be_cut;
use super::{Evidence, Finding};
use crate::bed::{EVENTS, LONG_BY, RouteName};
use crate::callers::{Call, is_success};
use std::collections::BTreeMap;
use trouttrack_platform_standin::{Began, Reply, RunName};

const TOKENS: &str = "each token comes once, in order, from one generation";
const JOINED: &str = "a caller's stream joins only runs that go on from its last event";
const VERSIONS: &str = "a caller's stream holds events of one software version";

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    let mut streams: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    for call in evidence.calls.iter().filter(|c| c.route.kind().is_stream()) {
        let first = call.resumes.as_deref().unwrap_or(&call.id);
        streams.entry(first).or_default().push(call);
    }
    let found = streams.into_values().filter_map(|mut calls| {
        calls.sort_by_key(|call| call.sent);
        Held::default().take_all(evidence, &calls).err()
    });
    found.collect()
}

/// What a caller holds of a stream so far.
#[derive(Default)]
struct Held {
    /// The last event.
    last: u64,
    /// The run that wrote it.
    run: Option<RunName>,
    /// The answer that brought it.
    by: String,
}

impl Held {
    /// Takes the answers to a call and to those that took its stream up, in order.
    fn take_all(mut self, evidence: &Evidence, calls: &[&Call]) -> Result<(), Finding> {
        for call in calls {
            let made = |r: &&Reply| is_success(r) && r.sealed_by.is_some();
            if let Some(reply) = call.reply().filter(made) {
                self.take(evidence, call, reply)?;
            }
        }
        Ok(())
    }

    fn take(&mut self, evidence: &Evidence, call: &Call, reply: &Reply) -> Result<(), Finding> {
        let out_of_order = |seen: String| Finding::of(TOKENS, &call.id, seen);
        // What a caller asks for is what it holds.
        self.last = call.had;
        let text = reply.text();
        let mut rest = text.as_str();
        while let Some((event, after)) = rest.split_once("\n\n") {
            let number = self.last + 1;
            let run = read(call, number, event)
                .ok_or_else(|| out_of_order(format!("{} for event {number}", excerpt(event))))?;
            self.join(call, run)?;
            self.last = number;
            rest = after;
        }
        let is_end = self.last == EVENTS && rest.is_empty();
        let is_beginning = begins(call, self.last + 1, rest);
        match may_be_cut(evidence, reply) {
            false if !is_end => Err(out_of_order(format!(
                "complete after event {} of {EVENTS} and {}",
                self.last,
                excerpt(rest)
            ))),
            true if !is_beginning => Err(out_of_order(format!(
                "broken off after event {} and {}",
                self.last,
                excerpt(rest)
            ))),
            _ => Ok(()),
        }
    }

    /// The next event is of this run.
    fn join(&mut self, call: &Call, run: RunName) -> Result<(), Finding> {
        let same = self.by == call.id && self.run.as_ref() == Some(&run);
        if !same && let Some(found) = self.wrongly_joined(call, &run) {
            return Err(found);
        }
        self.by.clone_from(&call.id);
        self.run = Some(run);
        Ok(())
    }

    /// Why this run may not follow.
    fn wrongly_joined(&self, call: &Call, run: &RunName) -> Option<Finding> {
        let found = |promise| {
            let before = self.run.as_ref().map(RunName::line).unwrap_or_default();
            let seen = format!(
                "event {} by [{before}] in {}, the next by [{}]",
                self.last,
                self.by,
                run.line()
            );
            Some(Finding::of(promise, &call.id, seen))
        };
        let before = self.run.as_ref();
        if before.is_some_and(|b| b.version != run.version) {
            return found(VERSIONS);
        }
        let may_go_on = match run.began {
            Began::Anew => self.last == 0,
            Began::Resumed => call.route.kind().repeatable(),
            Began::Copied => true,
        };
        match run.after == self.last && may_go_on {
            true => None,
            false => found(JOINED),
        }
    }
}

/// The run that an event names; `None` if it is not the event of this number.
fn read(call: &Call, number: u64, event: &str) -> Option<RunName> {
    let [id, run, data] = event.split('\n').collect::<Vec<_>>()[..] else {
        return None;
    };
    let is_it = number <= EVENTS && id == id_line(number) && data == data_line(call, number);
    RunName::read(run).filter(|_| is_it)
}

/// Whether a text begins the event of a number.
fn begins(call: &Call, number: u64, text: &str) -> bool {
    let id = id_line(number);
    let before_run = format!("{id}\nrun: ");
    let is_begun = match text.split('\n').collect::<Vec<_>>()[..] {
        [_, run, _, ..] => {
            let whole = format!("{id}\n{run}\n{}\n\n", data_line(call, number));
            RunName::read(run).is_some() && whole.starts_with(text)
        }
        _ => before_run.starts_with(text) || text.starts_with(&before_run),
    };
    text.is_empty() || number <= EVENTS && is_begun
}

fn id_line(number: u64) -> String {
    format!("id: {number}")
}

fn data_line(call: &Call, number: u64) -> String {
    let padding = match call.route {
        RouteName::Long => ".".repeat(LONG_BY),
        _ => String::new(),
    };
    format!("data: {}/{number}{padding}", call.id)
}

/// The beginning of a text, for a finding.
fn excerpt(text: &str) -> String {
    const SHOWN: usize = 120;
    format!("{:?}", text.chars().take(SHOWN).collect::<String>())
}
