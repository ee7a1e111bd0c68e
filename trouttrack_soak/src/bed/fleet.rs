//! A store, upstreams, fronts, and a link before each.

use super::balance::MISSES;
use super::config::Configs;
use super::upstreams::{ALL_DOMAINS, DOMAINS, PACE, Upstreams};
use crate::faults::{Lasting, Slow};
use crate::link::Link;
use crate::plan::{Plan, Size};
use crate::vm::Vm;
use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use trouttrack_platform_standin::{Store, StoreData, StoreFault, Upstream};

/// A failure domain that was evacuated.
#[derive(Clone, Copy, Debug)]
pub struct Evacuated {
    /// The failure domain.
    pub domain: &'static str,
    /// When the store had taken it.
    pub from: Instant,
    /// When it was taken back; `None` while it lasts.
    pub until: Option<Instant>,
}

/// An upstream that was cold.
#[derive(Clone, Debug)]
pub struct TurnedCold {
    /// The upstream.
    pub upstream: String,
    /// When the store had taken that.
    pub from: Instant,
    /// Until when.
    pub until: Instant,
}

/// Everything that a run needs.
#[derive(Debug)]
pub(crate) struct Bed {
    /// The store.
    pub(crate) store: Store,
    /// How it fails for all VMs.
    store_faults: Lasting<StoreFault>,
    /// The store as each VM reaches it, and how it fails for that VM alone.
    store_doors: Vec<(Store, Lasting<StoreFault>)>,
    /// Engines that are slow.
    slow: Lasting<Slow>,
    /// Between each VM and the store.
    pub(crate) store_links: Vec<Link>,
    /// Between callers and each VM.
    pub(crate) caller_links: Vec<Link>,
    /// The fronts.
    pub(crate) vms: Vec<Rc<Vm>>,
    /// The upstreams.
    pub(crate) upstreams: Upstreams,
    /// The last backup of the store.
    pub(crate) store_backup: RefCell<Option<StoreData>>,
    /// The evacuations so far.
    pub(crate) evacuations: RefCell<Vec<Evacuated>>,
    /// The upstreams that turned cold so far.
    pub(crate) cold: RefCell<Vec<TurnedCold>>,
    /// The configurations so far.
    pub(crate) configs: RefCell<Configs>,
    /// The most bytes that each VM said it kept; `None` before it has said any.
    pub(crate) most_kept: Vec<Cell<Option<usize>>>,
    /// The most connections of callers that each VM said to have.
    pub(crate) most_connections: Vec<Cell<Option<usize>>>,
    /// Questions about readiness that each VM has missed in a row.
    pub(super) misses: Vec<Cell<u32>>,
}

impl Bed {
    /// Starts the fleet of a plan, whose fronts run `program` and keep their files in `dir`.
    ///
    /// # Errors
    ///
    /// A process or port cannot be had.
    pub(crate) async fn start(
        size: Size,
        plan: &Plan,
        program: &Path,
        dir: &Path,
    ) -> io::Result<Rc<Self>> {
        let store = Store::start().await;
        let configs = Configs::first();
        store.put_config(configs.newest());
        let upstreams = Upstreams::start(&store, size, plan.versions).await?;
        let mut bed = Self {
            store,
            store_faults: Lasting::default(),
            store_doors: Vec::new(),
            slow: Lasting::default(),
            store_links: Vec::new(),
            caller_links: Vec::new(),
            vms: Vec::new(),
            upstreams,
            store_backup: RefCell::default(),
            evacuations: RefCell::default(),
            cold: RefCell::default(),
            configs: RefCell::new(configs),
            most_kept: vec![Cell::new(None); size.vms],
            most_connections: vec![Cell::new(None); size.vms],
            misses: Vec::new(),
        };
        for number in 1..=size.vms {
            let door = bed.store.second_address().await;
            let to_store = Link::before(door.addr()).await?;
            bed.store_doors.push((door, Lasting::default()));
            let domain = match plan.apart {
                true if size.domains == DOMAINS.len() => ALL_DOMAINS[(number - 1).min(2)],
                true => ALL_DOMAINS[(number - 1) % size.domains.clamp(1, ALL_DOMAINS.len())],
                false => DOMAINS[0],
            };
            let vm = Vm::new(number, domain, program, dir, to_store.addr())?;
            bed.caller_links.push(Link::before(vm.ports.callers).await?);
            bed.store_links.push(to_store);
            bed.vms.push(vm);
            bed.misses.push(Cell::new(MISSES));
        }
        Ok(Rc::new(bed))
    }

    /// The store begins to fail; returns the fault's number.
    pub(crate) fn begin_store_fault(&self, fault: StoreFault) -> u64 {
        let number = self.store_faults.begin(fault);
        self.set_store_faults();
        number
    }

    /// A fault of the store ends.
    pub(crate) fn end_store_fault(&self, number: u64) {
        self.store_faults.end(number);
        self.set_store_faults();
    }

    /// The store begins to fail for one VM; returns the fault's number.
    pub(crate) fn begin_store_fault_for(&self, vm: usize, fault: StoreFault) -> u64 {
        let number = self.store_doors[vm].1.begin(fault);
        self.set_store_faults();
        number
    }

    /// A fault of the store for one VM ends.
    pub(crate) fn end_store_fault_for(&self, vm: usize, number: u64) {
        self.store_doors[vm].1.end(number);
        self.set_store_faults();
    }

    fn set_store_faults(&self) {
        let for_all = self.store_faults.fault();
        for (door, own) in &self.store_doors {
            door.set_fault(match for_all {
                StoreFault::None => own.fault(),
                fault => fault,
            });
        }
    }

    /// An engine's events come so many times later; returns the number of what slows it down.
    pub(crate) fn slow_down(&self, engine: &Upstream, times: f64) -> u64 {
        let number = self.slow.begin(Slow {
            engine: engine.id.clone(),
            pace: PACE.mul_f64(times),
        });
        engine.pace(self.slow.pace(&engine.id, PACE));
        number
    }

    /// One of the things that slow an engine down ends.
    pub(crate) fn end_slow_down(&self, engine: &Upstream, number: u64) {
        self.slow.end(number);
        engine.pace(self.slow.pace(&engine.id, PACE));
    }

    /// Evacuates a failure domain for a while, unless it is evacuated.
    pub(crate) async fn evacuate(&self, domain: &'static str, lasts: Duration) {
        let lasting = |e: &Evacuated| e.domain == domain && e.until.is_none();
        if self.evacuations.borrow().iter().any(lasting) {
            return;
        }
        self.store.evacuate(domain);
        let place = self.evacuations.borrow().len();
        self.evacuations.borrow_mut().push(Evacuated {
            domain,
            from: Instant::now(),
            until: None,
        });
        tokio::time::sleep(lasts).await;
        // It may be taken back from here on.
        self.evacuations.borrow_mut()[place].until = Some(Instant::now());
        self.store.take_back(domain);
    }

    /// An upstream says that it has turned cold, and is warm again after a while. One that has left
    /// writes nothing any more.
    pub(crate) async fn turn_cold(&self, place: usize, lasts: Duration) {
        let member = self.upstreams.at(place);
        if self.upstreams.left_at(&member.upstream.id).is_some() {
            return;
        }
        self.store.put_cold(&member.upstream, lasts);
        let from = Instant::now();
        self.cold.borrow_mut().push(TurnedCold {
            upstream: member.upstream.id.clone(),
            from,
            until: from + lasts,
        });
        tokio::time::sleep(lasts).await;
        let id = &member.upstream.id;
        if self.upstreams.has(id) && self.upstreams.left_at(id).is_none() {
            self.store.put_upstream(&member.upstream, false);
        }
    }

    /// Backs up the store, replacing the last backup.
    pub(crate) fn back_up_store(&self) {
        *self.store_backup.borrow_mut() = Some(self.store.backup());
    }

    /// Rewrites the current configuration, evacuations and upstream entries, and removes outdated
    /// evacuations and entries that a restore has brought back.
    pub(crate) fn rewrite_current_state(&self) {
        self.store.put_config(self.configs.borrow().newest());
        for evacuated in self.evacuations.borrow().iter() {
            match evacuated.until {
                None => self.store.evacuate(evacuated.domain),
                Some(_) => self.store.take_back(evacuated.domain),
            }
        }
        for id in self.store.upstream_ids() {
            if !self.upstreams.has(&id) {
                self.store.remove_upstream(&id);
            }
        }
        for member in self.upstreams.now() {
            self.rewrite_entry(&member.upstream);
        }
    }

    /// Rewrites the entry of a current upstream, or removes it if the upstream left without
    /// announcing it.
    fn rewrite_entry(&self, upstream: &Upstream) {
        let now = Instant::now();
        let cold = self.cold.borrow();
        let cold = cold
            .iter()
            .find(|c| c.upstream == upstream.id && c.until > now);
        match (self.upstreams.left_at(&upstream.id), cold) {
            (Some(_), _) if upstream.is_leaving() => self.store.put_upstream(upstream, true),
            (Some(_), _) => self.store.remove_upstream(&upstream.id),
            (None, Some(cold)) => self.store.put_cold(upstream, cold.until - now),
            (None, None) => self.store.put_upstream(upstream, false),
        }
    }

    /// Puts the next configuration in the store.
    pub(crate) fn put_config(&self, next: impl FnOnce(&mut Configs)) {
        let mut configs = self.configs.borrow_mut();
        next(&mut configs);
        self.store.put_config(configs.newest());
        configs.acknowledged();
    }
}
