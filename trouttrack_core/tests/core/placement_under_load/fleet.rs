//! A scheduler with engines that differ in speed.

use crate::support::{settings, spec, submission};
use std::collections::HashMap;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::routing::Weights;
use trouttrack_core::upstream::RateSample;
use trouttrack_core::world::{Decision, RequestKey, ServiceLevel, Submission, World};

/// Token memory of an engine.
pub(super) const CAPACITY_TOKENS: u64 = 26_000;
/// Longest pause that the callers of long generations accept.
const LONGEST_PAUSE: Duration = Duration::from_millis(180);
/// Time between two events of a typical engine.
const EVENT_GAP: Duration = Duration::from_millis(40);
/// Time to the first token at a typical idle engine.
const FIRST_TOKEN: Duration = Duration::from_millis(450);
const STEP: Duration = Duration::from_millis(50);
const EVENTS_PER_SAMPLE: u32 = 8;

/// An engine: its id, failure domain and slowdown.
pub(super) type Engine = (String, &'static str, f64);

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// A long generation that must not pause.
    Long,
    /// A short one.
    Short,
    /// A short one of the most urgent class.
    Urgent,
}

impl Kind {
    fn events(self) -> u32 {
        match self {
            Self::Long => 188,
            Self::Short | Self::Urgent => 2,
        }
    }

    pub(super) fn submission(self, id: usize, now: Time) -> Submission {
        let (objective_ms, patience) = match self {
            Self::Long => (1_800, 39),
            Self::Short | Self::Urgent => (1_500, 6),
        };
        let tokens = u64::from(self.events() * 4);
        Submission {
            prompt_tokens: if self == Self::Long { 3_000 } else { 2_200 },
            deadline: now + Duration::from_secs(patience),
            service_level: ServiceLevel {
                due: now + Duration::from_millis(objective_ms),
                longest_pause: Some(LONGEST_PAUSE),
                expires: now + Duration::from_secs(patience),
            },
            guessed_tokens: Some(tokens),
            version: None,
            known_tokens: Some(tokens),
            ..submission(&format!("r{id}"), "o", u8::from(self != Self::Urgent))
        }
    }
}

/// A request that is running.
#[derive(Debug)]
struct Run {
    key: RequestKey,
    kind: Kind,
    slowdown: f64,
    placed_at: Time,
    events: u32,
}

/// The scheduler of one VM in the failure domain `a`, with its requests.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) world: World,
    pub(super) now: Time,
    slowdowns: HashMap<String, f64>,
    kinds: HashMap<RequestKey, Kind>,
    runs: Vec<Run>,
    submitted: usize,
    /// Kind and upstream of each request, in the order of their placement.
    pub(super) placed: Vec<(Kind, String)>,
}

impl Fleet {
    pub(super) fn new(weights: Weights, seed: u64, engines: &[Engine]) -> Self {
        let mut cfg = settings("trouttrack");
        cfg.policy = cfg.policy.weighted(weights);
        cfg.seed = seed;
        cfg.placed_fill = 1.15;
        let mut world = World::new(cfg);
        let specs = engines
            .iter()
            .map(|(id, domain, _)| spec(id, domain, CAPACITY_TOKENS, 24));
        world.configure(specs.collect());
        Self {
            world,
            now: Duration::from_secs(1),
            slowdowns: engines.iter().map(|e| (e.0.clone(), e.2)).collect(),
            kinds: HashMap::new(),
            runs: Vec::new(),
            submitted: 0,
            placed: Vec::new(),
        }
    }

    /// Submits a request and runs a scheduling round.
    pub(super) fn submit(&mut self, kind: Kind) {
        let submission = kind.submission(self.submitted, self.now);
        self.submit_as(kind, submission);
    }

    fn submit_as(&mut self, kind: Kind, submission: Submission) {
        self.submitted += 1;
        let key = self.world.submit(self.now, submission);
        self.kinds.insert(key, kind);
        self.tick();
    }

    fn tick(&mut self) {
        for decision in self.world.tick(self.now) {
            let Decision::Place { request, upstream } = decision else {
                continue;
            };
            let kind = self.kinds[&request];
            self.runs.push(Run {
                key: request,
                kind,
                slowdown: self.slowdowns[&upstream],
                placed_at: self.now,
                events: 0,
            });
            self.placed.push((kind, upstream));
        }
    }

    /// Lets the engines run for `time`.
    pub(super) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for mut run in std::mem::take(&mut self.runs) {
                if self.advance(&mut run) {
                    self.runs.push(run);
                }
            }
            self.tick();
        }
    }

    /// Advances a request. Returns whether it is still running.
    fn advance(&mut self, run: &mut Run) -> bool {
        let (now, key) = (self.now, run.key);
        let first = FIRST_TOKEN.mul_f64(run.slowdown);
        let gap = EVENT_GAP.mul_f64(run.slowdown);
        let Some(generating) = now.checked_sub(run.placed_at + first) else {
            return true;
        };
        if run.events == 0 {
            run.events = 1;
            self.world.progress(key, 4);
            self.world.observe(now, key, RateSample::FirstToken(first));
        }
        let events = 1 + (generating.as_secs_f64() / gap.as_secs_f64()) as u32;
        if events >= run.events + EVENTS_PER_SAMPLE {
            run.events += EVENTS_PER_SAMPLE;
            self.world.progress(key, u64::from(run.events) * 4);
            let sample = RateSample::Events {
                events: EVENTS_PER_SAMPLE,
                elapsed: gap * EVENTS_PER_SAMPLE,
            };
            self.world.observe(now, key, sample);
        }
        if events < run.kind.events() {
            return true;
        }
        let tokens = u64::from(run.kind.events()) * 4;
        self.world.record_end(now, key, false, Some(tokens));
        false
    }

    /// Runs a long generation at every engine for a few seconds, so that all rates are known.
    pub(super) fn learn_rates(&mut self) {
        let ids: Vec<String> = self.slowdowns.keys().cloned().collect();
        for id in &ids {
            let mut submission = Kind::Long.submission(self.submitted, self.now);
            submission.avoid = ids.iter().filter(|other| *other != id).cloned().collect();
            self.submit_as(Kind::Long, submission);
        }
        self.run_for(Duration::from_secs(6));
        self.placed.clear();
    }

    /// Submits requests of two kinds at even intervals for `time`.
    pub(super) fn load(&mut self, time: Duration, per_second: &[(Kind, u32)]) {
        let end = self.now + time;
        let mut due: Vec<Time> = per_second.iter().map(|_| self.now).collect();
        while self.now < end {
            for (at, (kind, rate)) in due.iter_mut().zip(per_second) {
                while *at <= self.now {
                    *at += Duration::from_secs(1) / *rate;
                    self.submit(*kind);
                }
            }
            self.run_for(STEP);
        }
    }

    /// Number of requests of a kind placed on the engines that `selects` returns true for.
    pub(super) fn count(&self, kind: Kind, selects: impl Fn(&str) -> bool) -> usize {
        let placed = self.placed.iter();
        placed.filter(|p| p.0 == kind && selects(&p.1)).count()
    }
}

/// Engines of three speeds in turn.
pub(super) fn three_speeds(domain: &'static str, count: usize) -> Vec<Engine> {
    let slowdown = |i: usize| [0.6, 1.0, 1.6][i % 3];
    let names = ["fast", "typical", "slow"];
    (0..count)
        .map(|i| {
            (
                format!("{domain}-{i}-{}", names[i % 3]),
                domain,
                slowdown(i),
            )
        })
        .collect()
}

/// Engines of one speed.
pub(super) fn equal(domain: &'static str, count: usize, slowdown: f64) -> Vec<Engine> {
    (0..count)
        .map(|i| (format!("{domain}-{i}"), domain, slowdown))
        .collect()
}
