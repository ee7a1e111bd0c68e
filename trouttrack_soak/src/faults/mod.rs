//! Carrying a plan out, and remembering what was disturbed when.

mod history;

pub use history::{Disturbance, History};

use crate::bed::{Bed, Upstreams};
use crate::link::Link;
use crate::plan::{Act, LinkFault, Place, Plan, Step, StoreFailure};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_platform_standin::{Behaviour, StoreFault};

/// How long a leaving upstream serves on after the store has taken its word:
/// the platform's two seconds, and a little.
const SERVES_ON: Duration = Duration::from_millis(2300);
/// From an upstream's crash until its entry disappears: three heartbeats.
const ENTRY_LASTS: Duration = Duration::from_millis(3600);
/// After the store's return, entries that lapsed are back within this.
const ENTRIES_RETURN: Duration = Duration::from_millis(1500);
/// The bound on removed keys after a reload; it is never longer than the one
/// that is checked.
const RELOADED_REVOKE: Duration = Duration::from_millis(4000);
/// Requests that an upstream that misbehaves answers badly.
const BAD_ANSWERS: std::ops::Range<usize> = 1..5;

/// Carries a plan out against a fleet.
#[derive(Debug)]
pub struct Faults {
    bed: Rc<Bed>,
    history: Rc<RefCell<History>>,
    seed: u64,
}

impl Faults {
    /// Faults on a fleet, whose details are drawn from `seed`.
    #[must_use]
    pub fn new(bed: Rc<Bed>, history: Rc<RefCell<History>>, seed: u64) -> Self {
        Self { bed, history, seed }
    }

    /// Carries out a plan; returns when its last fault has ended.
    pub async fn carry_out(self, plan: Plan) {
        let began = tokio::time::Instant::now();
        let this = Rc::new(self);
        let mut running = Vec::new();
        for (number, step) in plan.steps.into_iter().enumerate() {
            tokio::time::sleep_until(began + step.at).await;
            running.push(actix_rt::spawn(Rc::clone(&this).step(number, step)));
        }
        for step in running {
            if let Err(e) = step.await {
                eprintln!("a fault ended early: {e}");
            }
        }
    }

    async fn step(self: Rc<Self>, number: usize, step: Step) {
        let place = self.history.borrow_mut().begin(step.act);
        let mut rng = SmallRng::seed_from_u64(self.seed ^ number as u64);
        self.act(&step, &mut rng).await;
        self.history.borrow_mut().end(place);
    }

    async fn act(&self, step: &Step, rng: &mut SmallRng) {
        let bed = &self.bed;
        match step.act {
            Act::Stop(vm) => {
                bed.vms[vm].stop();
                // It is told from when it may be down until it serves again.
                tokio::time::sleep(crate::vm::GRACE).await;
            }
            Act::Kill(vm) => {
                bed.vms[vm].kill();
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
            Act::Pause(vm) => {
                bed.vms[vm].pause();
                tokio::time::sleep(step.lasts).await;
                bed.vms[vm].go_on();
            }
            Act::Reload(vm) => self.reload(vm),
            Act::Link(place, fault) => self.link(place, fault, step.lasts).await,
            Act::Store(failure) => self.store(failure, step.lasts, rng).await,
            Act::ForgetHistory => bed.store.forget_history(),
            Act::Leave(place) => self.leave(place, true).await,
            Act::LeaveUnsaid(place) => self.leave(place, false).await,
            Act::Crash(place) => self.crash(place, step.lasts).await,
            Act::Misbehave(place) => misbehave(&bed.upstreams, place, rng),
            Act::Configure => bed.put_config(crate::bed::Configs::next),
            Act::Revoke => bed.put_config(crate::bed::Configs::revoke),
        }
    }

    fn reload(&self, vm: usize) {
        let vm = &self.bed.vms[vm];
        match vm.write_settings(RELOADED_REVOKE) {
            Ok(()) => vm.reload(),
            Err(e) => eprintln!("{}: settings: {e}", vm.name),
        }
    }

    async fn link(&self, place: Place, fault: LinkFault, lasts: Duration) {
        let link: Link = match place {
            Place::Callers(vm) => self.bed.caller_links[vm].clone(),
            Place::Store(vm) => self.bed.store_links[vm].clone(),
            Place::Upstream(place) => self.bed.upstreams.at(place).link,
        };
        link.set(Some(fault));
        tokio::time::sleep(lasts).await;
        link.set(None);
    }

    async fn store(&self, failure: StoreFailure, lasts: Duration, rng: &mut SmallRng) {
        let store = &self.bed.store;
        store.set_fault(match failure {
            StoreFailure::Refuse => StoreFault::Refuse,
            StoreFailure::Silent | StoreFailure::Lapse => StoreFault::Silent,
            StoreFailure::Reset => StoreFault::Reset,
            StoreFailure::DeafWatches => StoreFault::DeafWatches,
        });
        let lapsed = match failure {
            StoreFailure::Lapse => self.bed.upstreams.now(),
            _ => Vec::new(),
        };
        for member in &lapsed {
            store.remove_upstream(&member.upstream.id);
        }
        tokio::time::sleep(lasts).await;
        store.set_fault(StoreFault::None);
        for member in lapsed {
            let part = 1.0 / (2.0 * self.bed.upstreams.now().len() as f64);
            let pause = ENTRIES_RETURN.mul_f64(rng.random_range(0.0..part));
            tokio::time::sleep(pause).await;
            let id = &member.upstream.id;
            if self.bed.upstreams.has(id) && self.bed.upstreams.left_at(id).is_none() {
                store.put_upstream(&member.upstream, false);
            }
        }
    }

    async fn leave(&self, place: usize, said: bool) {
        let member = self.bed.upstreams.at(place);
        let id = &member.upstream.id;
        if self.bed.upstreams.left_at(id).is_some() {
            return;
        }
        self.bed.upstreams.note_leaving(id);
        match said {
            true => self.bed.store.put_upstream(&member.upstream, true),
            false => self.bed.store.remove_upstream(id),
        }
        tokio::time::sleep(SERVES_ON).await;
        self.replace(&member).await;
    }

    async fn crash(&self, place: usize, lasts: Duration) {
        let member = self.bed.upstreams.at(place);
        if self.bed.upstreams.left_at(&member.upstream.id).is_some() {
            return;
        }
        member.link.set(Some(LinkFault::Refuse));
        tokio::time::sleep(lasts.max(ENTRY_LASTS)).await;
        self.replace(&member).await;
    }

    async fn replace(&self, member: &crate::bed::Member) {
        let replaced = self.bed.upstreams.replace(&self.bed.store, member).await;
        if let Err(e) = replaced {
            eprintln!("{}: not replaced: {e}", member.upstream.id);
        }
    }
}

/// Makes an upstream answer its next requests badly.
fn misbehave(upstreams: &Upstreams, place: usize, rng: &mut SmallRng) {
    let upstream = upstreams.at(place).upstream;
    for _ in 0..rng.random_range(BAD_ANSWERS) {
        upstream.next(match upstream.service == crate::bed::ENGINES {
            true => bad_stream(rng),
            false => Behaviour::PLAIN[rng.random_range(0..Behaviour::PLAIN.len())],
        });
    }
}

fn bad_stream(rng: &mut SmallRng) -> Behaviour {
    let (events, most) = (crate::bed::EVENTS, rng.random_range(0..crate::bed::EVENTS));
    match rng.random_range(0..7) {
        0 | 1 => Behaviour::StreamReset(events, most),
        2 => Behaviour::StreamSilent(events, most),
        3 => Behaviour::Refuse,
        4 => Behaviour::OtherInstance,
        5 => Behaviour::Fail,
        _ => Behaviour::LoseAnswer,
    }
}
