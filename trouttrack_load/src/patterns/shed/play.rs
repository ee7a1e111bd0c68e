//! The calls, the upstreams and what passes between VMs, in virtual time.

use super::layout::{SERVICE, SLOTS, WORK, domain, id, new_world, number, upstreams};
use super::told::Told;
use super::word::{Heeds, ShedOutcome, Word};
use crate::patterns::telling::SOON;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::length::LengthKey;
use trouttrack_core::membership::UpstreamUse;
use trouttrack_core::upstream::{Incarnation, UpstreamNotice};
use trouttrack_core::world::{Decision, RequestKey, ServiceLevel, Submission, World};

/// A call's objective there: it waits for a place no longer.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// The way between a VM and an upstream.
const WAY: Duration = Duration::from_millis(2);
/// The way between two VMs of a failure domain, and the share of datagrams that are lost.
const NEAR: Duration = Duration::from_micros(200);
const LOSS: f64 = 0.01;
/// Pause between two runs of a VM's systems while calls wait, as in the program.
const TICK: Duration = Duration::from_millis(20);
/// The share of all slots that the calls take where all upstreams serve.
const LOAD: f64 = 0.4;
/// When upstreams turn away or have begun to say that they leave: two waves.
const WAVES: [Range<u64>; 2] = [3..8, 12..17];
/// How long calls come.
const LASTS: Duration = Duration::from_secs(20);

struct Vm {
    world: World,
    ticks: bool,
    tells: bool,
}

/// A VM's use of upstreams, on its way to others.
#[derive(Clone)]
struct Datagram {
    from: usize,
    uses: Rc<Vec<UpstreamUse>>,
}

/// A call at an upstream.
#[derive(Clone, Copy)]
struct Sent {
    vm: usize,
    key: RequestKey,
    upstream: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Tick(usize),
    Reach(usize),
    /// A call was turned away.
    Refused(usize),
    Served(usize),
    /// A VM tells its failure domain of its use of upstreams.
    Tell(usize),
    /// A VM hears of it.
    Hear(usize, usize),
}

struct Play {
    word: Word,
    heeds: Heeds,
    now: Time,
    order: u64,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    vms: Vec<Vm>,
    sent: Vec<Sent>,
    told_uses: Vec<Datagram>,
    /// When each slot of each upstream is free.
    slots: Vec<[Time; SLOTS]>,
    told: HashMap<(usize, usize), Told>,
    pause: Duration,
    rng: SmallRng,
    /// Draws of what is lost on the way: the calls are the same whoever tells.
    loss: SmallRng,
    outcome: ShedOutcome,
}

/// Plays calls before upstreams of which some say a word.
///
/// # Examples
///
/// ```
/// use trouttrack_load::patterns::{Heeds, Word, play_shed};
/// let as_it_was = play_shed(6, Word::Refuses, Heeds::Nothing, 1);
/// let now = play_shed(6, Word::Refuses, Heeds::All, 1);
/// assert!(now.turned_away < as_it_was.turned_away);
/// ```
#[must_use]
pub fn play_shed(vms: usize, word: Word, heeds: Heeds, seed: u64) -> ShedOutcome {
    let mut play = Play::new(vms, word, heeds, seed);
    play.run();
    play.outcome
}

impl Play {
    fn new(vms: usize, word: Word, heeds: Heeds, seed: u64) -> Self {
        let upstreams = upstreams(vms);
        let rate = LOAD * (upstreams * SLOTS) as f64 / WORK.as_secs_f64();
        let new = |vm| Vm {
            world: new_world(vm, upstreams, seed),
            ticks: false,
            tells: false,
        };
        let mut play = Self {
            word,
            heeds,
            now: Time::ZERO,
            order: 0,
            events: BinaryHeap::new(),
            vms: (0..vms).map(new).collect(),
            sent: Vec::new(),
            told_uses: Vec::new(),
            slots: vec![[Time::ZERO; SLOTS]; upstreams],
            told: HashMap::new(),
            pause: Duration::from_secs_f64(vms as f64 / rate),
            rng: SmallRng::seed_from_u64(seed),
            loss: SmallRng::seed_from_u64(!seed),
            outcome: ShedOutcome::default(),
        };
        for vm in 0..vms {
            play.next_arrival(vm);
        }
        play
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn next_arrival(&mut self, vm: usize) {
        let draw: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        let at = self.now + self.pause.mul_f64(-draw.ln());
        if at < LASTS {
            self.schedule(at, Event::Arrival(vm));
        }
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival(vm) => self.arrive(vm),
                Event::Tick(vm) => {
                    self.vms[vm].ticks = false;
                    self.decide(vm);
                }
                Event::Reach(sent) => self.reach(sent),
                Event::Refused(sent) => self.refused(sent),
                Event::Served(sent) => self.served(sent),
                Event::Tell(vm) => self.tell(vm),
                Event::Hear(vm, datagram) => self.hear(vm, datagram),
            }
        }
    }

    fn arrive(&mut self, vm: usize) {
        self.next_arrival(vm);
        self.outcome.asked += 1;
        let call = Submission {
            id: format!("r{}", self.outcome.asked),
            organisation: "o".to_owned(),
            weight: 1.0,
            service: SERVICE.to_owned(),
            length_key: LengthKey::new(SERVICE, "m", "o"),
            priority: 1,
            prompt_tokens: 0,
            deadline: self.now + OBJECTIVE,
            service_level: ServiceLevel::UNBOUNDED,
            max_running: None,
            avoid: Vec::new(),
            guessed_tokens: None,
            version: None,
            known_tokens: None,
        };
        self.vms[vm].world.submit(self.now, call);
        self.decide(vm);
    }

    fn decide(&mut self, vm: usize) {
        for decision in self.vms[vm].world.tick(self.now) {
            match decision {
                Decision::Place { request, upstream } => self.send(vm, request, &upstream),
                Decision::Refuse { request, .. } => {
                    self.outcome.unplaced += 1;
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

    fn send(&mut self, vm: usize, key: RequestKey, upstream: &str) {
        let upstream = number(upstream);
        self.sent.push(Sent { vm, key, upstream });
        let sent = self.sent.len() - 1;
        self.schedule(self.now + WAY, Event::Reach(sent));
    }

    /// Whether an upstream says its word now.
    fn speaks(&self, upstream: usize) -> bool {
        let seconds = self.now.as_secs();
        match self.word {
            Word::Leaves => upstream.is_multiple_of(6) && seconds >= WAVES[0].start,
            _ => upstream.is_multiple_of(4) && WAVES.iter().any(|wave| wave.contains(&seconds)),
        }
    }

    fn reach(&mut self, sent: usize) {
        let Sent { vm, upstream, .. } = self.sent[sent];
        let word = self.speaks(upstream).then_some(self.word);
        let told = self.told.entry((vm, upstream)).or_default();
        if let Some(late) = told.reached(self.now, word) {
            self.outcome.after_word += 1;
            self.outcome.after_word_most = self.outcome.after_word_most.max(late);
        }
        if word.is_some_and(|word| word != Word::Leaves) {
            self.schedule(self.now + WAY, Event::Refused(sent));
            return;
        }
        let slot = self.slots[upstream].iter_mut().min().expect("slots");
        *slot = (*slot).max(self.now) + WORK;
        let done = *slot + WAY;
        self.schedule(done, Event::Served(sent));
    }

    fn refused(&mut self, sent: usize) {
        let Sent { vm, key, upstream } = self.sent[sent];
        self.outcome.turned_away += 1;
        let world = &mut self.vms[vm].world;
        match self.heeds {
            Heeds::Nothing => world.record_end(self.now, key, false, Some(0)),
            Heeds::Own | Heeds::All => {
                if let Word::Rests(rest) = self.word {
                    let life = Incarnation::new(&id(upstream), 0);
                    world.receive_notice(self.now, &life, UpstreamNotice::Pause(rest));
                }
                world.record_refusal(self.now, key);
                world.record_end(self.now, key, false, None)
            }
        };
        let tells = self.heeds == Heeds::All;
        if tells && !std::mem::replace(&mut self.vms[vm].tells, true) {
            self.schedule(self.now + SOON, Event::Tell(vm));
        }
        self.decide(vm);
    }

    fn tell(&mut self, vm: usize) {
        self.vms[vm].tells = false;
        self.told_uses.push(Datagram {
            from: vm,
            uses: Rc::new(self.vms[vm].world.local_uses(self.now)),
        });
        let datagram = self.told_uses.len() - 1;
        for to in (0..self.vms.len()).filter(|to| *to != vm && domain(*to) == domain(vm)) {
            if !self.loss.random_bool(LOSS) {
                self.schedule(self.now + NEAR, Event::Hear(to, datagram));
            }
        }
    }

    fn hear(&mut self, vm: usize, datagram: usize) {
        let Datagram { from, uses } = self.told_uses[datagram].clone();
        let name = format!("v{from}");
        let world = &mut self.vms[vm].world;
        world.record_peer_uses(self.now, &name, &domain(from), &uses);
    }

    fn served(&mut self, sent: usize) {
        let Sent { vm, key, upstream } = self.sent[sent];
        let leaves = self.word == Word::Leaves && self.speaks(upstream);
        let world = &mut self.vms[vm].world;
        if leaves && self.heeds != Heeds::Nothing {
            let life = Incarnation::new(&id(upstream), 0);
            world.receive_notice(self.now, &life, UpstreamNotice::Leaving);
        }
        world.record_end(self.now, key, false, Some(0));
        self.decide(vm);
    }
}
