//! One run in virtual time.

use super::figures::{Figures, Raw, STALL};
use super::options::BenchOptions;
use super::run::PolicyName;
use super::workload::Workload;
use crate::record;
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;
use trouttrack_core::length::LengthKey;
use trouttrack_core::upstream::{LoadReport, UpstreamSpec};
use trouttrack_core::world::{Decision, RequestKey, ServiceLevel, Submission, World};
use trouttrack_engine::{Engine, EngineSettings, SequenceKey, StepOutput, Submit};

/// All gateways of the model stand in one failure domain.
const FAILURE_DOMAIN: &str = "a";

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    StepDone(usize),
    Report(usize),
    /// A heartbeat of a gateway to the others.
    Heartbeat(usize),
    /// Expiry, and requests that wait for a report.
    Tick(usize),
    Lose(usize),
}

/// How often a world's systems run when nothing happens.
const TICK: Duration = Duration::from_millis(20);
const SERVICE_MODEL: &str = "m";

struct Running {
    request: usize,
    world: usize,
    key: RequestKey,
}

struct EngineSim {
    engine: Engine,
    step: Option<StepOutput>,
    running: HashMap<SequenceKey, Running>,
    /// Loads as they were, for lagging reports.
    reports: std::collections::VecDeque<LoadReport>,
    alive: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Fate {
    first: Option<Duration>,
    last: Option<Duration>,
    tokens: u64,
}

struct Sim<'a> {
    workload: &'a Workload,
    options: &'a BenchOptions,
    oracle: bool,
    now: Duration,
    order: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    worlds: Vec<World>,
    /// Which request each row of each world is.
    rows: Vec<HashMap<RequestKey, usize>>,
    engines: Vec<EngineSim>,
    fates: Vec<Fate>,
    left: usize,
    raw: Vec<Raw>,
    others_first: Histogram<u64>,
    ends: Vec<Duration>,
}

/// Runs a workload under a policy. The same input gives the same figures.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_load::compare::{bench, BenchOptions, Mix, PolicyName, Workload};
/// let mix = Mix::by_name("umurage").unwrap();
/// let workload = Workload::new(mix, 1.0, Duration::from_secs(70), 1, Default::default());
/// let options = BenchOptions::default();
/// let a = bench(&workload, PolicyName::Trouttrack, &options);
/// assert_eq!(a, bench(&workload, PolicyName::Trouttrack, &options));
/// ```
#[must_use]
pub fn bench(workload: &Workload, policy: PolicyName, options: &BenchOptions) -> Figures {
    let mut sim = Sim::new(workload, policy, options);
    sim.run();
    sim.figures()
}

impl<'a> Sim<'a> {
    fn new(workload: &'a Workload, policy: PolicyName, options: &'a BenchOptions) -> Self {
        let own = matches!(policy, PolicyName::Trouttrack | PolicyName::Oracle);
        let spec = |(i, e): (usize, &EngineSettings)| UpstreamSpec {
            id: format!("e{i}"),
            failure_domain: FAILURE_DOMAIN.into(),
            services: workload
                .mix
                .services
                .iter()
                .map(|s| s.name.into())
                .collect(),
            capacity_tokens: e.capacity_tokens(),
            // A baseline hands everything over at once; engines queue it.
            max_running: if own { e.max_batch } else { usize::MAX },
            warm_up_ends_at: Duration::ZERO,
            version: String::new(),
            born: 0,
            cold_rate: 0.0,
        };
        let specs: Vec<UpstreamSpec> = options.engines.iter().enumerate().map(spec).collect();
        let world = |i: usize| {
            let mut settings = options.settings.clone();
            settings.seed = options.settings.seed + i as u64;
            if policy.baseline() {
                settings.policy = policy.policy();
            }
            let mut world = World::new(settings);
            world.configure(specs.clone());
            world
        };
        let engine = |settings: &EngineSettings| EngineSim {
            engine: Engine::new(*settings),
            step: None,
            running: HashMap::new(),
            reports: std::collections::VecDeque::new(),
            alive: true,
        };
        let mut sim = Self {
            workload,
            options,
            oracle: policy == PolicyName::Oracle,
            now: Duration::ZERO,
            order: 0,
            events: BinaryHeap::new(),
            worlds: (0..options.gateways).map(world).collect(),
            rows: vec![HashMap::new(); options.gateways],
            engines: options.engines.iter().map(engine).collect(),
            fates: vec![Fate::default(); workload.arrivals.len()],
            left: workload.arrivals.len(),
            raw: workload.mix.services.iter().map(|_| Raw::new()).collect(),
            others_first: Histogram::new(3).expect("three digits are within bounds"),
            ends: Vec::new(),
        };
        sim.schedule_start();
        sim
    }

    fn schedule_start(&mut self) {
        for (i, a) in self.workload.arrivals.iter().enumerate() {
            self.schedule(a.at, Event::Arrival(i));
        }
        for e in 0..self.engines.len() {
            // Engines report each at its own time.
            let offset = self.options.report_every * e as u32 / self.engines.len() as u32;
            self.schedule(offset, Event::Report(e));
        }
        for w in 0..self.worlds.len() {
            self.schedule(TICK * w as u32 / self.worlds.len() as u32, Event::Tick(w));
        }
        for w in 0..self.worlds.len() {
            let offset = self.options.heartbeat_every * w as u32 / self.worlds.len() as u32;
            self.schedule(offset, Event::Heartbeat(w));
        }
        if let Some((e, at)) = self.options.lost {
            self.schedule(at, Event::Lose(e));
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn run(&mut self) {
        while self.left > 0 {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                return;
            };
            self.now = at;
            match event {
                Event::Arrival(i) => self.arrive(i),
                Event::StepDone(e) => self.step_done(e),
                Event::Report(e) => self.report(e),
                Event::Tick(w) => {
                    self.tick(w);
                    self.schedule(at + TICK, event);
                }
                Event::Heartbeat(w) => self.heartbeat(w),
                Event::Lose(e) => self.lose(e),
            }
        }
    }

    fn counted(&self, request: usize) -> bool {
        self.workload.arrivals[request].at >= self.options.warm_up || self.options.endless
    }

    fn arrive(&mut self, i: usize) {
        if self.counted(i) {
            self.raw[self.workload.arrivals[i].service].arrived += 1;
        }
        let world = i % self.worlds.len();
        self.submit(i, world, Vec::new());
        self.tick(world);
    }

    fn submit(&mut self, i: usize, world: usize, avoid: Vec<String>) {
        let a = &self.workload.arrivals[i];
        let s = &self.workload.mix.services[a.service];
        let organisation = format!("o{}", a.organisation);
        let deadline = match self.options.endless {
            true => Duration::MAX / 2,
            false => a.at + s.queue_deadline,
        };
        let key = self.worlds[world].submit(
            self.now,
            Submission {
                id: format!("r{i}"),
                weight: 1.0,
                service: s.name.into(),
                length_key: LengthKey::new(s.name, SERVICE_MODEL, &organisation),
                organisation,
                priority: self.options.class(s),
                prompt_tokens: a.prompt_tokens,
                deadline,
                service_level: ServiceLevel::UNBOUNDED,
                max_running: None,
                avoid,
                guessed_tokens: None,
                version: None,
                known_tokens: self.oracle.then_some(a.output_tokens),
            },
        );
        self.rows[world].insert(key, i);
    }

    fn tick(&mut self, world: usize) {
        for decision in self.worlds[world].tick(self.now) {
            match decision {
                Decision::Place { request, upstream } => self.place(world, request, &upstream),
                Decision::Refuse { request, .. } => {
                    self.worlds[world].record_end(self.now, request, false, None);
                    if let Some(i) = self.rows[world].remove(&request) {
                        if self.counted(i) {
                            self.raw[self.workload.arrivals[i].service].refused += 1;
                        }
                        self.left -= 1;
                    }
                }
            }
        }
    }

    fn place(&mut self, world: usize, key: RequestKey, upstream: &str) {
        let e: usize = upstream[1..]
            .parse()
            .expect("upstreams are named by number");
        let i = self.rows[world][&key];
        if !self.engines[e].alive {
            // The connection is refused; the request goes elsewhere.
            self.worlds[world].record_end(self.now, key, true, None);
            self.rows[world].remove(&key);
            self.submit(i, world, vec![upstream.to_owned()]);
            return;
        }
        let a = &self.workload.arrivals[i];
        let sim = &mut self.engines[e];
        let sequence = sim.engine.submit(Submit {
            priority: self.options.class(&self.workload.mix.services[a.service]),
            prompt_tokens: a.prompt_tokens,
            prefix: a.prefix.clone(),
            output_tokens: a.output_tokens,
        });
        let running = Running {
            request: i,
            world,
            key,
        };
        sim.running.insert(sequence, running);
        self.start_step(e);
    }

    fn start_step(&mut self, e: usize) {
        let sim = &mut self.engines[e];
        if sim.step.is_some() || sim.engine.is_idle() || !sim.alive {
            return;
        }
        let out = sim.engine.step();
        let at = self.now + out.took;
        sim.step = Some(out);
        self.schedule(at, Event::StepDone(e));
    }

    fn step_done(&mut self, e: usize) {
        let Some(out) = self.engines[e].step.take() else {
            return;
        };
        for key in &out.preempted {
            self.preempted(e, *key);
        }
        for key in &out.wrote {
            self.wrote(e, *key);
        }
        let mut touched = Vec::new();
        for key in out.finished.iter().chain(&out.aborted) {
            touched.extend(self.finished(e, *key));
        }
        touched.sort_unstable();
        touched.dedup();
        for world in touched {
            self.tick(world);
        }
        self.start_step(e);
    }

    fn preempted(&mut self, e: usize, key: SequenceKey) {
        let sim = &self.engines[e];
        let Some(r) = sim.running.get(&key) else {
            return;
        };
        if !self.counted(r.request) {
            return;
        }
        let tokens = sim
            .engine
            .sequence(key)
            .map_or(0, trouttrack_engine::Sequence::tokens);
        let raw = &mut self.raw[self.workload.arrivals[r.request].service];
        raw.preemptions += 1;
        raw.wasted += tokens;
    }

    fn wrote(&mut self, e: usize, key: SequenceKey) {
        let Some(r) = self.engines[e].running.get(&key) else {
            return;
        };
        let (i, world, row) = (r.request, r.world, r.key);
        let a = &self.workload.arrivals[i];
        let counted = self.counted(i);
        let fate = &mut self.fates[i];
        fate.tokens += 1;
        let raw = &mut self.raw[a.service];
        match fate.last {
            None => {
                fate.first = Some(self.now);
                let wait = self.now - a.at;
                if counted {
                    record(&mut raw.first, wait);
                    raw.longest_wait = raw.longest_wait.max(wait);
                    if a.organisation > 0 && self.workload.mix.services[a.service].lookup {
                        record(&mut self.others_first, wait);
                    }
                }
            }
            Some(last) if counted => {
                let gap = self.now - last;
                record(&mut raw.gaps, gap);
                raw.stall += gap.saturating_sub(STALL);
            }
            Some(_) => {}
        }
        fate.last = Some(self.now);
        // Gateways tell their tables how far a stream is every so often.
        const PROGRESS: u64 = 32;
        if fate.tokens.is_multiple_of(PROGRESS) {
            let tokens = fate.tokens;
            self.worlds[world].progress(row, tokens);
        }
    }

    /// Returns the world whose request ended.
    fn finished(&mut self, e: usize, key: SequenceKey) -> Option<usize> {
        let r = self.engines[e].running.remove(&key)?;
        let a = &self.workload.arrivals[r.request];
        let tokens = self.fates[r.request].tokens;
        self.worlds[r.world].record_end(self.now, r.key, false, Some(tokens));
        self.rows[r.world].remove(&r.key);
        self.left -= 1;
        self.ends.push(self.now);
        let s = &self.workload.mix.services[a.service];
        if self.counted(r.request) && self.now - a.at <= s.deadline {
            self.raw[a.service].good += 1;
        }
        Some(r.world)
    }

    fn report(&mut self, e: usize) {
        let every = self.options.report_every;
        self.schedule(self.now + every, Event::Report(e));
        let sim = &mut self.engines[e];
        if !sim.alive {
            return;
        }
        let load = sim.engine.load();
        sim.reports.push_back(LoadReport {
            at: self.now,
            running: load.running,
            waiting: load.waiting,
            used_tokens: load.used_tokens,
        });
        let lag = self.options.report_lag;
        while sim.reports.len() > 1 && self.now - sim.reports[1].at >= lag {
            sim.reports.pop_front();
        }
        let report = sim.reports[0];
        if self.now - report.at < lag {
            return;
        }
        for world in &mut self.worlds {
            world.report(&format!("e{e}"), report);
        }
    }

    fn heartbeat(&mut self, w: usize) {
        self.schedule(self.now + self.options.heartbeat_every, Event::Heartbeat(w));
        let uses = self.worlds[w].local_uses(self.now);
        let name = format!("g{w}");
        for (other, world) in self.worlds.iter_mut().enumerate() {
            if other != w {
                world.record_peer_uses(self.now, &name, FAILURE_DOMAIN, &uses);
            }
        }
    }

    /// An engine dies. Its requests begin anew elsewhere, as whole answers
    /// that may be repeated do.
    fn lose(&mut self, e: usize) {
        let sim = &mut self.engines[e];
        sim.alive = false;
        sim.step = None;
        let mut lost: Vec<Running> = sim.running.drain().map(|(_, r)| r).collect();
        lost.sort_by_key(|r| r.request);
        for r in lost {
            self.worlds[r.world].record_end(self.now, r.key, true, None);
            self.rows[r.world].remove(&r.key);
            self.fates[r.request].tokens = 0;
            self.submit(r.request, r.world, vec![format!("e{e}")]);
        }
        for world in 0..self.worlds.len() {
            self.tick(world);
        }
    }

    fn figures(&self) -> Figures {
        let last = self
            .workload
            .arrivals
            .last()
            .map_or(Duration::ZERO, |a| a.at);
        let seconds = last.saturating_sub(self.options.warm_up).as_secs_f64();
        let services = self.workload.mix.services.iter();
        Figures {
            services: services
                .zip(&self.raw)
                .map(|(s, raw)| raw.figures(s.name, seconds.max(1e-9)))
                .collect(),
            ends: self.ends.clone(),
            others_first_p99_ms: self.others_first.value_at_quantile(0.99) as f64 / 1e3,
        }
    }
}
