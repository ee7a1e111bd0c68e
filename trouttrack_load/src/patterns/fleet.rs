//! The VMs, the engines, and what passes between them, in virtual time.

use super::outcome::Outcome;
use super::pattern::{Arrival, Layout, Pattern, engine_settings};
use super::settings::world_settings;
use super::telling::{self, SOON, Telling};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::length::LengthKey;
use trouttrack_core::membership::{Evacuations, Revision, UpstreamUse};
use trouttrack_core::upstream::{RateShare, UpstreamSpec};
use trouttrack_core::world::{Decision, RequestKey, ServiceLevel, Submission, World};
use trouttrack_engine::{Engine, SequenceKey, StepOutput, Submit};

const SERVICE: &str = "drafts";
/// Pause between two runs of a VM's systems while requests wait, as in the program.
const TICK: Duration = Duration::from_millis(20);
/// The part of its objective that a request waits for an engine, as in the program.
const PATIENCE: f64 = 0.6;
/// How long it takes until all VMs have heard that an engine leaves.
const NOTICED: Duration = Duration::from_millis(150);

/// What a VM tells: its own use, or that of its failure domain.
#[derive(Clone, Debug)]
struct Told {
    from: usize,
    uses: Rc<Vec<UpstreamUse>>,
    sums: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    StepDone(usize),
    /// A datagram arrives.
    Hear(usize, usize),
    Heartbeat(usize),
    /// A VM tells of its own use.
    Tell(usize),
    Tick(usize),
    /// Engines leave, for the n-th time.
    Leave(usize),
    /// A VM has heard of it.
    Noticed(usize),
    /// The first failure domain is evacuated, or taken back.
    Evacuate(bool),
}

struct Vm {
    world: World,
    /// The request of each row.
    requests: HashMap<RequestKey, usize>,
    tells: bool,
    ticks: bool,
}

#[derive(Default)]
struct Running {
    step: Option<StepOutput>,
    rows: HashMap<SequenceKey, (usize, RequestKey, usize)>,
}

struct Fleet<'a> {
    pattern: Pattern,
    layout: &'a Layout,
    telling: Telling,
    now: Duration,
    order: u64,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    arrivals: Vec<Arrival>,
    first: Vec<Option<Duration>>,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    running: Vec<Running>,
    on_the_way: HashMap<usize, Told>,
    sent: usize,
    outcome: Outcome,
    rng: SmallRng,
}

/// Plays a pattern.
///
/// # Examples
///
/// ```
/// use trouttrack_load::patterns::{Layout, Pattern, Telling, play};
/// let layout = Layout { vms: 3, engines: 4, ..Layout::large() };
/// let outcome = play(Pattern::ManyVms, &layout, Telling::WholeDomain, 1);
/// assert_eq!(outcome, play(Pattern::ManyVms, &layout, Telling::WholeDomain, 1));
/// ```
#[must_use]
pub fn play(pattern: Pattern, layout: &Layout, telling: Telling, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(pattern, layout, telling, seed);
    fleet.run();
    fleet.outcome()
}

fn domain_name(domain: usize) -> String {
    format!("d{domain}")
}

fn spec(pattern: Pattern, layout: &Layout, engine: usize) -> UpstreamSpec {
    let settings = engine_settings(layout);
    let (warm_up_ends_at, cold_rate) = pattern.cold(engine / layout.engines);
    UpstreamSpec {
        id: format!("e{engine:03}"),
        failure_domain: domain_name(engine / layout.engines),
        services: vec![SERVICE.to_owned()],
        capacity_tokens: settings.capacity_tokens(),
        max_running: settings.max_batch,
        warm_up_ends_at,
        version: String::new(),
        born: 0,
        cold_rate,
    }
}

/// The number of an engine, by its name.
fn number(upstream: &str) -> usize {
    upstream[1..].parse().expect("engines are numbered")
}

fn new_world(pattern: Pattern, layout: &Layout, vm: usize, seed: u64) -> World {
    let domain = domain_name(vm / layout.vms);
    let mut world = World::new(world_settings(domain, vm, seed));
    let specs = (0..layout.all_engines()).map(|e| spec(pattern, layout, e));
    world.configure(specs.collect());
    world.set_rate_share(RateShare::of(layout.vms, layout.vms, layout.all_vms()));
    world
}

impl<'a> Fleet<'a> {
    fn new(pattern: Pattern, layout: &'a Layout, telling: Telling, seed: u64) -> Self {
        let arrivals = pattern.arrivals(layout, seed);
        let vm = |i| Vm {
            world: new_world(pattern, layout, i, seed),
            requests: HashMap::new(),
            tells: false,
            ticks: false,
        };
        let mut fleet = Self {
            pattern,
            layout,
            telling,
            now: Duration::ZERO,
            order: 0,
            events: BinaryHeap::new(),
            first: vec![None; arrivals.len()],
            vms: (0..layout.all_vms()).map(vm).collect(),
            engines: (0..layout.all_engines())
                .map(|_| Engine::new(engine_settings(layout)))
                .collect(),
            running: (0..layout.all_engines())
                .map(|_| Running::default())
                .collect(),
            on_the_way: HashMap::new(),
            sent: 0,
            outcome: Outcome::new(layout),
            rng: SmallRng::seed_from_u64(seed),
            arrivals,
        };
        fleet.schedule_start();
        fleet
    }

    fn schedule_start(&mut self) {
        for i in 0..self.arrivals.len() {
            self.schedule(self.arrivals[i].at, Event::Arrival(i));
        }
        for vm in 0..self.vms.len() {
            let offset = telling::pause(self.layout).mul_f64(self.rng.random_range(0.0..1.0));
            self.schedule(offset, Event::Heartbeat(vm));
        }
        self.schedule_leave(0);
        if let Some(lasts) = self.pattern.evacuated() {
            self.schedule(lasts.start, Event::Evacuate(true));
            self.schedule(lasts.end, Event::Evacuate(false));
        }
    }

    fn schedule_leave(&mut self, turn: usize) {
        if let Some((at, _)) = self.pattern.leaving(self.layout, turn) {
            self.schedule(at, Event::Leave(turn));
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn run(&mut self) {
        // What has not begun long after the last arrival is late in any case.
        let ends = self.layout.lasts + Duration::from_secs(4);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > ends {
                return;
            }
            self.now = at;
            match event {
                Event::Arrival(i) => self.arrive(i),
                Event::StepDone(e) => self.step_done(e),
                Event::Hear(vm, datagram) => self.hear(vm, datagram),
                Event::Heartbeat(vm) => self.heartbeat(vm),
                Event::Tell(vm) => self.tell(vm),
                Event::Tick(vm) => self.tick(vm),
                Event::Leave(turn) => self.leave(turn),
                Event::Noticed(turn) => self.noticed(turn),
                Event::Evacuate(begins) => self.evacuate(begins),
            }
        }
    }

    fn arrive(&mut self, i: usize) {
        let a = self.arrivals[i];
        let submission = Submission {
            id: format!("r{i}"),
            organisation: "o".to_owned(),
            weight: 1.0,
            service: SERVICE.to_owned(),
            length_key: LengthKey::new(SERVICE, "m", "o"),
            priority: a.priority,
            prompt_tokens: a.prompt,
            deadline: self.now + a.objective.mul_f64(PATIENCE),
            service_level: ServiceLevel::UNBOUNDED,
            max_running: None,
            avoid: Vec::new(),
            guessed_tokens: Some(a.output),
            version: None,
            known_tokens: None,
        };
        let vm = &mut self.vms[a.vm];
        let key = vm.world.submit(self.now, submission);
        vm.requests.insert(key, i);
        self.decide(a.vm);
    }

    /// Runs a VM's systems and carries out what they decide.
    fn decide(&mut self, vm: usize) {
        let decisions = self.vms[vm].world.tick(self.now);
        for decision in decisions {
            match decision {
                Decision::Place { request, upstream } => self.place(vm, request, &upstream),
                Decision::Refuse { request, .. } => {
                    self.vms[vm].requests.remove(&request);
                    self.vms[vm]
                        .world
                        .record_end(self.now, request, false, None);
                }
            }
        }
        let waits = self.vms[vm].world.queued() > 0;
        if waits && !std::mem::replace(&mut self.vms[vm].ticks, true) {
            self.schedule(self.now + TICK, Event::Tick(vm));
        }
    }

    fn tick(&mut self, vm: usize) {
        self.vms[vm].ticks = false;
        self.decide(vm);
    }

    fn place(&mut self, vm: usize, key: RequestKey, upstream: &str) {
        let request = self.vms[vm].requests[&key];
        let a = self.arrivals[request];
        let engine = number(upstream);
        let sequence = self.engines[engine].submit(Submit {
            priority: 1,
            prompt_tokens: a.prompt,
            prefix: Vec::new(),
            output_tokens: a.output,
        });
        let rows = &mut self.running[engine].rows;
        rows.insert(sequence, (vm, key, request));
        let emptied = self.pattern.evacuated().filter(|e| e.contains(&self.now));
        let there = emptied.is_some() && engine / self.layout.engines == 0;
        self.outcome.evacuated += usize::from(there);
        self.outcome.far += usize::from(engine / self.layout.engines != vm / self.layout.vms);
        self.step(engine);
        self.tell_soon(vm);
    }

    /// Begins an engine's next step, unless one is under way.
    fn step(&mut self, e: usize) {
        if self.running[e].step.is_some() || self.engines[e].is_idle() {
            return;
        }
        let out = self.engines[e].step();
        self.schedule(self.now + out.took, Event::StepDone(e));
        self.running[e].step = Some(out);
    }

    fn step_done(&mut self, e: usize) {
        let Some(out) = self.running[e].step.take() else {
            return;
        };
        for sequence in out.wrote {
            self.wrote(e, sequence);
        }
        for sequence in out.finished {
            if let Some((vm, key, request)) = self.running[e].rows.remove(&sequence) {
                let tokens = self.arrivals[request].output;
                self.vms[vm].requests.remove(&key);
                let world = &mut self.vms[vm].world;
                if world.record_end(self.now, key, false, Some(tokens)) {
                    self.tell_soon(vm);
                }
                self.decide(vm);
            }
        }
        self.step(e);
    }

    /// A request has a token: with the first one its prompt is loaded.
    fn wrote(&mut self, e: usize, sequence: SequenceKey) {
        let Some(&(vm, key, request)) = self.running[e].rows.get(&sequence) else {
            return;
        };
        if self.first[request].is_some() {
            return;
        }
        self.first[request] = Some(self.now - self.arrivals[request].at);
        if self.vms[vm].world.progress(key, 1) {
            self.tell_soon(vm);
        }
    }

    fn tell_soon(&mut self, vm: usize) {
        if !std::mem::replace(&mut self.vms[vm].tells, true) {
            self.schedule(self.now + SOON, Event::Tell(vm));
        }
    }

    fn heartbeat(&mut self, vm: usize) {
        let next = self.now + telling::pause(self.layout);
        self.schedule(next, Event::Heartbeat(vm));
        let receivers = telling::heartbeat(self.layout, vm, &mut self.rng);
        let uses = Rc::new(self.vms[vm].world.local_uses(self.now));
        let sums = Rc::new(self.vms[vm].world.domain_uses(self.now));
        for to in receivers {
            self.send(vm, to, &uses, false);
            if to / self.layout.vms != vm / self.layout.vms {
                self.send(vm, to, &sums, true);
            }
        }
    }

    fn tell(&mut self, vm: usize) {
        self.vms[vm].tells = false;
        let uses = Rc::new(self.vms[vm].world.local_uses(self.now));
        let used: Vec<usize> = uses.iter().map(|u| self.domain_of(&u.upstream)).collect();
        let telling = self.telling;
        let receivers = telling.receivers(self.layout, vm, &used, &mut self.rng);
        for to in receivers {
            self.send(vm, to, &uses, false);
        }
    }

    /// Where an engine stands.
    fn domain_of(&self, upstream: &str) -> usize {
        number(upstream) / self.layout.engines
    }

    fn send(&mut self, from: usize, to: usize, uses: &Rc<Vec<UpstreamUse>>, sums: bool) {
        self.outcome.datagrams += 1;
        if self.rng.random_bool(self.layout.loss) {
            return;
        }
        let near = from / self.layout.vms == to / self.layout.vms;
        let way = if near {
            self.layout.near
        } else {
            self.layout.far
        };
        let uses = Rc::clone(uses);
        self.on_the_way.insert(self.sent, Told { from, uses, sums });
        self.schedule(self.now + way, Event::Hear(to, self.sent));
        self.sent += 1;
    }

    fn hear(&mut self, vm: usize, datagram: usize) {
        let Some(told) = self.on_the_way.remove(&datagram) else {
            return;
        };
        let domain = domain_name(told.from / self.layout.vms);
        let world = &mut self.vms[vm].world;
        match told.sums {
            true => world.record_domain_uses(self.now, &domain, &told.uses),
            false => {
                let name = format!("v{}", told.from);
                world.record_peer_uses(self.now, &name, &domain, &told.uses);
            }
        }
    }

    fn leave(&mut self, turn: usize) {
        self.schedule(self.now + NOTICED, Event::Noticed(turn));
        self.schedule_leave(turn + 1);
    }

    /// What leaves gets no new work; what left the time before is replaced.
    fn noticed(&mut self, turn: usize) {
        let leaving = |turn| self.pattern.leaving(self.layout, turn);
        let before = turn.checked_sub(1).and_then(leaving);
        for (engines, leaves) in [(before, false), (leaving(turn), true)] {
            for engine in engines.into_iter().flat_map(|(_, engines)| engines) {
                let id = spec(self.pattern, self.layout, engine).id;
                for vm in &mut self.vms {
                    vm.world.set_leaving(&id, leaves);
                }
            }
        }
    }

    /// All VMs hear it at the same time: that takes milliseconds, and nothing here depends
    /// on it.
    fn evacuate(&mut self, begins: bool) {
        let domains = begins.then(|| domain_name(0));
        let revision = Revision::new(0, 1 + u64::from(!begins));
        for vm in &mut self.vms {
            let told = Evacuations::as_of(revision, domains.clone());
            vm.world.set_evacuations(told);
        }
    }

    fn outcome(mut self) -> Outcome {
        for (a, first) in self.arrivals.iter().zip(&self.first) {
            let domain = a.vm / self.layout.vms;
            self.outcome.count(domain, *first, a.objective);
        }
        self.outcome.sort();
        self.outcome
    }
}
