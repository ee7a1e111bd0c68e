//! Carrying a plan out against a fleet.

use super::history::History;
use super::{releases, store, upstreams};
use crate::bed::{Bed, Configs};
use crate::callers::Callers;
use crate::plan::{Act, LinkFault, Place, Plan, Step};
use crate::vm::GRACE;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};
use trouttrack_platform_standin::OpenConnections;

/// The bound on removed keys after a reload; it is never longer than the one
/// that is checked.
const RELOADED_REVOKE: Duration = Duration::from_millis(4000);
/// How long a kill counts as lasting: until the VM has been started again.
const KILL_LASTS: Duration = Duration::from_secs(1);

/// Pause between two arrivals of a request that ends engines, in milliseconds.
const FATAL_PAUSE_MS: Range<u64> = 100..500;

/// Carries a plan out against a fleet.
#[derive(Debug)]
pub(crate) struct Faults {
    bed: Rc<Bed>,
    history: Rc<RefCell<History>>,
    callers: Rc<Callers>,
    seed: u64,
}

impl Faults {
    /// Faults on a fleet, whose details are drawn from `seed`.
    #[must_use]
    pub(crate) fn new(
        bed: Rc<Bed>,
        history: Rc<RefCell<History>>,
        callers: Rc<Callers>,
        seed: u64,
    ) -> Self {
        Self {
            bed,
            history,
            callers,
            seed,
        }
    }

    /// Carries out a plan; returns when its last fault has ended.
    pub(crate) async fn carry_out(self, plan: Plan) {
        let began = Instant::now();
        let this = Rc::new(self);
        let mut running = Vec::new();
        for (number, step) in plan.steps.into_iter().enumerate() {
            sleep_until(began + step.at).await;
            running.push(actix_rt::spawn(Rc::clone(&this).step(number, step)));
        }
        for step in running {
            if let Err(e) = step.await {
                eprintln!("a fault ended early: {e}");
            }
        }
    }

    /// Carries out one step, and notes when it began and ended.
    async fn step(self: Rc<Self>, number: usize, step: Step) {
        let place = self.history.borrow_mut().begin(step.act);
        let mut rng = SmallRng::seed_from_u64(self.seed ^ number as u64);
        self.act(&step, &mut rng).await;
        self.history.borrow_mut().end(place);
    }

    async fn act(&self, step: &Step, rng: &mut SmallRng) {
        let bed = &self.bed;
        match step.act {
            Act::Stop(vm) => self.stop(vm).await,
            Act::Kill(vm) => self.kill(vm).await,
            Act::Pause(vm) => self.pause(vm, step.lasts).await,
            Act::Reload(vm) => self.reload(vm),
            Act::Link(place, fault) => self.link(place, fault, step.lasts).await,
            Act::Store(failure) => store::fail(bed, failure, step.lasts, rng).await,
            Act::TurnVmAway(vm, failure) => store::turn_away(bed, vm, failure, step.lasts).await,
            Act::ForgetHistory => bed.store.forget_history(),
            Act::BackUpStore => bed.back_up_store(),
            Act::RestoreStore => store::restore(bed, rng).await,
            Act::Leave(place) => upstreams::leave(bed, place).await,
            Act::LeaveUnsaid(place) => upstreams::leave_unsaid(bed, place).await,
            Act::LeaveUnsaidSlowly(place) => upstreams::leave_unsaid_slowly(bed, place).await,
            Act::Crash(place) => upstreams::crash(bed, place, step.lasts).await,
            Act::Misbehave(place) => upstreams::misbehave(&bed.upstreams, place, rng),
            Act::Configure => bed.put_config(Configs::next),
            Act::Revoke => bed.put_config(Configs::revoke),
            Act::Evacuate(domain) => bed.evacuate(domain, step.lasts).await,
            Act::TurnCold(place) => bed.turn_cold(place, step.lasts).await,
            Act::TurnAway(place) => upstreams::turn_away(bed, place, step.lasts).await,
            Act::LeaveByAnswers(place) => {
                upstreams::leave_by_answers(bed, place, step.lasts).await;
            }
            Act::NameLimit(place) => upstreams::name_limit(bed, place, step.lasts).await,
            Act::SlowDown(place) => {
                upstreams::slow_down(bed, place, Some(step.lasts), rng).await;
            }
            Act::SlowForGood(place) => upstreams::slow_down(bed, place, None, rng).await,
            Act::CrowdEngines => upstreams::crowd_engines(bed, step.lasts).await,
            Act::AskLate(vm) => self.callers.ask_late(vm, step.lasts, rng).await,
            Act::Vanish(place) => upstreams::vanish(bed, place, step.lasts).await,
            Act::Burst => self.callers.burst(step.lasts).await,
            Act::SlowReaders(vm) => self.callers.read_slowly(vm, rng),
            Act::LosePaths(vm, count, open) => self.lose_paths(vm, count, open, step.lasts).await,
            Act::KillAll => releases::kill_all(bed, step.lasts).await,
            Act::Release(first, departure) => {
                releases::release(bed, (first, departure), step.lasts, rng).await;
            }
            Act::Disorder(place) => releases::disorder(bed, place, rng),
            Act::AnswerEndlessly(place) => releases::answer_endlessly(bed, place, rng),
            Act::OddEntries => releases::odd_entries(bed, step.lasts).await,
            Act::Crowd(vm) => self.callers.crowd(vm, step.lasts).await,
            Act::EndEngines => self.end_engines(step.lasts, rng).await,
            Act::EndEnginesByPart => self.end_engines_by_part(step.lasts, rng).await,
        }
    }

    async fn end_engines(&self, lasts: Duration, rng: &mut SmallRng) {
        let until = Instant::now() + lasts;
        let mut asked = 0;
        while Instant::now() < until {
            asked += 1;
            let callers = Rc::clone(&self.callers);
            actix_rt::spawn(callers.ask_fatal(asked, rng.random()));
            sleep(Duration::from_millis(rng.random_range(FATAL_PAUSE_MS))).await;
        }
    }

    async fn end_engines_by_part(&self, lasts: Duration, rng: &mut SmallRng) {
        let until = Instant::now() + lasts;
        let mut asked = 0;
        while Instant::now() < until {
            asked += 1;
            let callers = Rc::clone(&self.callers);
            actix_rt::spawn(callers.ask_with_fatal_part(asked, rng.random()));
            sleep(Duration::from_millis(rng.random_range(FATAL_PAUSE_MS))).await;
        }
    }

    async fn stop(&self, vm: usize) {
        self.bed.vms[vm].stop();
        // It is told from when it may be down until it serves again.
        sleep(GRACE).await;
    }

    async fn kill(&self, vm: usize) {
        self.bed.vms[vm].kill();
        sleep(KILL_LASTS).await;
    }

    async fn pause(&self, vm: usize, lasts: Duration) {
        let vm = &self.bed.vms[vm];
        vm.pause();
        sleep(lasts).await;
        vm.go_on();
    }

    fn reload(&self, vm: usize) {
        let vm = &self.bed.vms[vm];
        match vm.write_settings(RELOADED_REVOKE) {
            Ok(()) => vm.reload(),
            Err(e) => eprintln!("{}: settings: {e}", vm.name),
        }
    }

    async fn lose_paths(&self, vm: usize, count: usize, open: OpenConnections, lasts: Duration) {
        let vms = self.bed.vms.iter().cycle().skip(vm).take(count);
        let sources: Vec<Ipv4Addr> = vms.map(|vm| vm.source()).collect();
        let links = self.bed.upstreams.links();
        let all = || {
            links
                .iter()
                .flat_map(|link| sources.iter().map(move |ip| (link, *ip)))
        };
        all().for_each(|(link, ip)| link.partition_from(ip, open));
        sleep(lasts).await;
        all().for_each(|(link, ip)| link.rejoin(ip));
    }

    async fn link(&self, place: Place, fault: LinkFault, lasts: Duration) {
        let link = match place {
            Place::Callers(vm) => self.bed.caller_links[vm].clone(),
            Place::Store(vm) => self.bed.store_links[vm].clone(),
            Place::Upstream(place) => self.bed.upstreams.at(place).link,
        };
        link.set(Some(fault));
        sleep(lasts).await;
        link.set(None);
    }
}
