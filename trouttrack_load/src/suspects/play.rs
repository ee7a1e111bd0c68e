//! Playing it.

use super::layout::{Layout, Trouble};
use super::outcome::Outcome;
use super::told::bytes;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Fingerprint;
use trouttrack_core::membership::{LOCAL_FANOUT, REMOTE_FANOUT, heartbeat_interval};
use trouttrack_core::quarantine::{CrashRecord, Quarantine, Subject, record_holders};
use trouttrack_core::upstream::Incarnation;

/// The request that ends engines.
const FATAL: Fingerprint = 1;
/// How long an engine has it before it ends, as seen: its prompt is loaded first.
const FATAL_FOR: Duration = Duration::from_millis(750);
/// When it comes, again and again for nine seconds, as seen.
const WAVES: [Duration; 3] = [
    Duration::from_secs(5),
    Duration::from_secs(17),
    Duration::from_secs(35),
];
const WAVE: Duration = Duration::from_secs(9);
/// Arrivals in a wave, as seen.
const IN_A_WAVE: usize = 16;
/// How long until an engine is back, as seen: 2.6 to 4 s.
const BACK_AFTER: Duration = Duration::from_secs(4);
/// Short requests a second and engine, and how long one runs; long ones the same.
const SHORT_RATE: f64 = 0.54;
const SHORT_FOR: Duration = Duration::from_millis(900);
const LONG_RATE: f64 = 0.38;
const LONG_FOR: Duration = Duration::from_secs(9);
/// Upstreams that one arrival of a short request is sent to, and that a long one is.
const SHORT_ATTEMPTS: u32 = 2;
const LONG_ATTEMPTS: u32 = 1;
/// Times that the caller of a short request comes again after a failure.
const RETURNS: u32 = 1;
const RETURN_AFTER: Duration = Duration::from_millis(200);
/// A datagram's way, and the share that is lost.
const WAY: Duration = Duration::from_millis(2);
const LOST: f64 = 0.01;
/// What befell a VM counts for so long, and all must know after so long.
const CONTACT: Duration = Duration::from_secs(3);
/// Ends that a request may cause before its further sends are counted.
const COUNTED_FROM: usize = 3;
/// When VMs are cut off, and when they start again.
const CUT: std::ops::Range<Duration> = Duration::from_secs(7)..Duration::from_secs(13);
const RESTARTS_AT: Duration = Duration::from_secs(10);
const RESTART_PAUSE: Duration = Duration::from_millis(400);
/// Engines that end by themselves: the pause, and one in how many.
const ENDS_EVERY: Duration = Duration::from_secs(2);
const ENDS_ONE_IN: usize = 10;
/// Requests that a VM is told when it knows something else, as in the program.
const MOST_TOLD: usize = 48;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A run of this number ends well.
    Done(usize),
    /// The run ends its engine.
    Fatal(usize),
    /// The VM learns that a run broke off.
    Broken(usize),
    /// An arrival: VM, request, attempt so far, returns so far.
    Arrival(usize, Fingerprint, bool, u32, u32),
    /// Engines end by themselves.
    EnginesEnd,
    Heartbeat(usize),
    /// A datagram arrives at a VM.
    Hear(usize, usize),
    Restart(usize),
}

#[derive(Clone, Copy)]
struct Run {
    vm: usize,
    life: u32,
    engine: usize,
    request: Fingerprint,
    long: bool,
    attempt: u32,
    returns: u32,
    alive: bool,
}

struct Engine {
    born: u64,
    up_at: Duration,
    runs: Vec<usize>,
}

struct Vm {
    suspects: Quarantine,
    life: u32,
    /// When something befell it last.
    befell_at: Option<Duration>,
    told: usize,
}

struct Fleet {
    layout: Layout,
    now: Duration,
    order: usize,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    names: Vec<String>,
    vms: Vec<Vm>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    on_the_way: HashMap<usize, Rc<Vec<CrashRecord>>>,
    next_datagram: usize,
    next_request: Fingerprint,
    third_at: Option<Duration>,
    outcome: Outcome,
    rng: SmallRng,
}

/// Plays a fleet.
///
/// # Examples
///
/// ```
/// use trouttrack_load::suspects::{Layout, play};
/// let outcome = play(Layout::of(6, 9), 1);
/// assert!(outcome.ended < play(Layout::of(6, 9).held_from(0), 1).ended);
/// ```
#[must_use]
pub fn play(layout: Layout, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(layout, seed);
    fleet.schedule_all();
    fleet.run();
    fleet.outcome()
}

impl Fleet {
    fn new(layout: Layout, seed: u64) -> Self {
        let vm = || Vm {
            suspects: Quarantine::new(layout.quarantine),
            life: 0,
            befell_at: None,
            told: 0,
        };
        let engine = || Engine {
            born: 1,
            up_at: Duration::ZERO,
            runs: Vec::new(),
        };
        Self {
            layout,
            now: Duration::ZERO,
            order: 0,
            events: BinaryHeap::new(),
            names: (0..layout.vms).map(|vm| format!("vm-{vm}")).collect(),
            vms: std::iter::repeat_with(vm).take(layout.vms).collect(),
            engines: std::iter::repeat_with(engine)
                .take(layout.engines)
                .collect(),
            runs: Vec::new(),
            on_the_way: HashMap::new(),
            next_datagram: 0,
            next_request: FATAL + 1,
            third_at: None,
            outcome: Outcome::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn any_vm(&mut self) -> usize {
        self.rng.random_range(0..self.layout.vms)
    }

    fn schedule_all(&mut self) {
        let engines = self.layout.engines as f64;
        self.schedule_others(SHORT_RATE * engines, false);
        self.schedule_others(LONG_RATE * engines, true);
        if self.layout.trouble.has_fatal() {
            self.schedule_fatal();
        }
        if self.layout.trouble.ends_engines() {
            self.schedule(ENDS_EVERY, Event::EnginesEnd);
        }
        if self.layout.trouble == Trouble::Restarts {
            for vm in 0..self.layout.vms / 3 {
                let at = RESTARTS_AT + RESTART_PAUSE * vm as u32;
                self.schedule(at, Event::Restart(vm));
            }
        }
        for vm in 0..self.layout.vms {
            let first = heartbeat_interval(self.layout.vms).mul_f64(self.rng.random());
            self.schedule(first, Event::Heartbeat(vm));
        }
    }

    fn schedule_others(&mut self, rate: f64, long: bool) {
        let count = (rate * self.layout.lasts.as_secs_f64()) as usize;
        for _ in 0..count {
            let at = self.layout.lasts.mul_f64(self.rng.random());
            let vm = self.any_vm();
            let request = self.next_request;
            self.next_request += 1;
            self.outcome.others += 1;
            self.schedule(at, Event::Arrival(vm, request, long, 0, 0));
        }
    }

    fn schedule_fatal(&mut self) {
        for wave in WAVES {
            for _ in 0..IN_A_WAVE {
                let at = wave + WAVE.mul_f64(self.rng.random());
                let vm = self.any_vm();
                self.schedule(at, Event::Arrival(vm, FATAL, false, 0, 0));
            }
        }
    }

    fn run(&mut self) {
        let last = self.layout.lasts + LONG_FOR;
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > last {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Done(run) => self.done(run),
            Event::Fatal(run) => {
                if self.runs[run].alive {
                    let engine = self.runs[run].engine;
                    self.end_engine(engine);
                }
            }
            Event::Broken(run) => self.broken(run),
            Event::Arrival(vm, request, long, attempt, returns) => {
                self.arrive(vm, request, long, attempt, returns);
            }
            Event::EnginesEnd => self.engines_end(),
            Event::Heartbeat(vm) => self.heartbeat(vm),
            Event::Hear(vm, datagram) => {
                if let Some(told) = self.on_the_way.remove(&datagram) {
                    self.hear(vm, &told);
                }
            }
            Event::Restart(vm) => self.restart(vm),
        }
    }

    /// Several single ends may have come together here: then all hear of it.
    fn hear(&mut self, vm: usize, told: &[CrashRecord]) {
        let heard = self.vms[vm].suspects.merge_records(self.now, told);
        for request in heard.held.into_iter().map(Subject::key) {
            let said_by_one = told.iter().find(|s| s.fingerprint == request);
            let known_there = said_by_one.map_or(0, |s| s.ends.len());
            let hold = self.vms[vm].suspects.hold(self.now, request);
            if hold.is_some_and(|h| h.ends > known_there) {
                self.tell(vm, request);
            }
        }
    }

    fn arrive(&mut self, vm: usize, request: Fingerprint, long: bool, attempt: u32, returns: u32) {
        if self.vms[vm].suspects.hold(self.now, request).is_some() {
            match request {
                FATAL => self.outcome.refused += 1,
                _ => self.outcome.others_refused += 1,
            }
            return;
        }
        let Some(engine) = self.any_engine() else {
            return;
        };
        let run = self.runs.len();
        self.runs.push(Run {
            vm,
            life: self.vms[vm].life,
            engine,
            request,
            long,
            attempt: attempt + 1,
            returns,
            alive: true,
        });
        self.engines[engine].runs.push(run);
        if request == FATAL {
            self.count_sent(vm);
            self.schedule(self.now + FATAL_FOR, Event::Fatal(run));
            return;
        }
        let lasts = if long { LONG_FOR } else { SHORT_FOR };
        self.schedule(self.now + lasts, Event::Done(run));
    }

    fn any_engine(&mut self) -> Option<usize> {
        let now = self.now;
        let up = |e: &usize| self.engines[*e].up_at <= now;
        let up: Vec<usize> = (0..self.engines.len()).filter(up).collect();
        up.choose(&mut self.rng).copied()
    }

    /// Counts a send that is late, by a VM that nothing has befallen for a while.
    fn count_sent(&mut self, vm: usize) {
        let cut = self.is_cut(vm) || self.now < CUT.end + CONTACT && self.is_cut_ever(vm);
        let befell = self.vms[vm].befell_at;
        let befell = befell.is_some_and(|at| self.now < at + CONTACT);
        let late = self.third_at.is_some_and(|at| self.now > at + CONTACT);
        if late && !cut && !befell {
            self.outcome.sent_late += 1;
        }
    }

    fn is_cut_ever(&self, vm: usize) -> bool {
        self.layout.trouble == Trouble::Cut && vm < self.layout.vms / 3 && self.now >= CUT.start
    }

    fn is_cut(&self, vm: usize) -> bool {
        self.is_cut_ever(vm) && CUT.contains(&self.now)
    }

    fn done(&mut self, run: usize) {
        let Run {
            vm,
            life,
            engine,
            request,
            alive,
            ..
        } = self.runs[run];
        if !alive {
            return;
        }
        self.engines[engine].runs.retain(|r| *r != run);
        if life == self.vms[vm].life
            && self.vms[vm]
                .suspects
                .record_completed_run(self.now, request)
        {
            self.tell(vm, request);
        }
    }

    fn end_engine(&mut self, engine: usize) {
        let runs = std::mem::take(&mut self.engines[engine].runs);
        for run in runs {
            self.runs[run].alive = false;
            if self.runs[run].request == FATAL {
                self.outcome.ended += 1;
                if self.outcome.ended == COUNTED_FROM {
                    self.third_at = Some(self.now);
                }
            } else {
                self.outcome.others_broken += 1;
            }
            self.schedule(self.now + WAY, Event::Broken(run));
        }
        // Whoever asks whether it is there is answered until it is back.
        self.engines[engine].up_at = self.now + BACK_AFTER;
    }

    fn broken(&mut self, run: usize) {
        let Run {
            vm,
            life,
            engine,
            request,
            long,
            attempt,
            returns,
            ..
        } = self.runs[run];
        if life != self.vms[vm].life {
            return;
        }
        let ended = Incarnation::new(&format!("e{engine:03}"), self.engines[engine].born);
        self.engines[engine].born = self.engines[engine].up_at.as_millis() as u64;
        if self.vms[vm]
            .suspects
            .record_crash(self.now, request, &ended)
        {
            self.tell(vm, request);
        }
        let attempts = if long { LONG_ATTEMPTS } else { SHORT_ATTEMPTS };
        if attempt < attempts {
            let again = Event::Arrival(vm, request, long, attempt, returns);
            self.schedule(self.now + 2 * WAY, again);
        } else if returns < RETURNS && !long && request != FATAL {
            let vm = self.any_vm();
            let again = Event::Arrival(vm, request, long, 0, returns + 1);
            self.schedule(self.now + RETURN_AFTER, again);
        }
    }

    fn engines_end(&mut self) {
        let now = self.now;
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|e| self.engines[*e].up_at <= now)
            .collect();
        let count = (self.engines.len() / ENDS_ONE_IN).max(1);
        let ending: Vec<usize> = up.sample(&mut self.rng, count).copied().collect();
        for engine in ending {
            self.end_engine(engine);
        }
        if now < self.layout.lasts {
            self.schedule(now + ENDS_EVERY, Event::EnginesEnd);
        }
    }

    fn restart(&mut self, vm: usize) {
        let vm = &mut self.vms[vm];
        vm.suspects = Quarantine::new(self.layout.quarantine);
        vm.life += 1;
        vm.befell_at = Some(self.now);
    }

    fn tell(&mut self, from: usize, request: Fingerprint) {
        if !self.layout.tell {
            return;
        }
        let told = Rc::new(self.vms[from].suspects.records_of(self.now, &[request]));
        let others = (0..self.layout.vms).filter(|to| *to != from);
        let concerned: Vec<usize> = match self.vms[from].suspects.hold(self.now, request) {
            Some(_) => others.collect(),
            None => {
                let others = others.map(|to| (to, self.names[to].as_str()));
                let drawn = record_holders(request, others, |(_, name)| name);
                drawn.into_iter().map(|(to, _)| to).collect()
            }
        };
        for to in concerned {
            self.post(from, to, &told);
        }
    }

    fn post(&mut self, from: usize, to: usize, told: &Rc<Vec<CrashRecord>>) {
        self.vms[from].told += bytes(told);
        let cut = self.is_cut(from) != self.is_cut(to);
        if cut || self.rng.random_bool(LOST) {
            return;
        }
        let number = self.next_datagram;
        self.next_datagram += 1;
        self.on_the_way.insert(number, Rc::clone(told));
        self.schedule(self.now + WAY, Event::Hear(to, number));
    }

    /// Whoever hears a heartbeat and knows something else tells it.
    fn heartbeat(&mut self, from: usize) {
        let others: Vec<usize> = (0..self.layout.vms).filter(|to| *to != from).collect();
        let heard = others.sample(&mut self.rng, LOCAL_FANOUT + REMOTE_FANOUT);
        let heard: Vec<usize> = heard.copied().collect();
        let own = self.vms[from].suspects.checksum();
        for to in heard {
            let cut = self.is_cut(from) != self.is_cut(to);
            let known = &self.vms[to].suspects;
            if !self.layout.tell || cut || known.is_empty() || known.checksum() == own {
                continue;
            }
            let told = Rc::new(known.held_records(self.now, MOST_TOLD));
            self.post(to, from, &told);
        }
        let next = self.now + heartbeat_interval(self.layout.vms);
        self.schedule(next, Event::Heartbeat(from));
    }

    fn outcome(&self) -> Outcome {
        let most = |f: fn(&Vm) -> usize| self.vms.iter().map(f).max().unwrap_or(0);
        Outcome {
            most_told: most(|vm| vm.told),
            most_remembered: most(|vm| vm.suspects.len()),
            ..self.outcome
        }
    }
}
