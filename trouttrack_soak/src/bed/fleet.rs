//! A store, upstreams, fronts, and a link before each.

use super::balance::MISSES;
use super::config::Configs;
use super::upstreams::Upstreams;
use crate::link::Link;
use crate::plan::Size;
use crate::vm::Vm;
use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use trouttrack_platform_standin::Store;

/// Everything that a run needs.
#[derive(Debug)]
pub(crate) struct Bed {
    /// The store.
    pub(crate) store: Store,
    /// Between each VM and the store.
    pub(crate) store_links: Vec<Link>,
    /// Between callers and each VM.
    pub(crate) caller_links: Vec<Link>,
    /// The fronts.
    pub(crate) vms: Vec<Rc<Vm>>,
    /// The upstreams.
    pub(crate) upstreams: Upstreams,
    /// The configurations so far.
    pub(crate) configs: RefCell<Configs>,
    /// Questions about readiness that each VM has missed in a row.
    pub(super) misses: Vec<Cell<u32>>,
}

impl Bed {
    /// Starts a fleet whose fronts run `program` and keep their files in `dir`.
    ///
    /// # Errors
    ///
    /// A process or port cannot be had.
    pub(crate) async fn start(size: Size, program: &Path, dir: &Path) -> io::Result<Rc<Self>> {
        let store = Store::start().await;
        let configs = Configs::first();
        store.put_config(configs.newest());
        let upstreams = Upstreams::start(&store, size.upstreams).await?;
        let mut bed = Self {
            store,
            store_links: Vec::new(),
            caller_links: Vec::new(),
            vms: Vec::new(),
            upstreams,
            configs: RefCell::new(configs),
            misses: Vec::new(),
        };
        for number in 1..=size.vms {
            let to_store = Link::before(bed.store.addr()).await?;
            let vm = Vm::new(number, program, dir, to_store.addr())?;
            bed.caller_links.push(Link::before(vm.ports.callers).await?);
            bed.store_links.push(to_store);
            bed.vms.push(vm);
            bed.misses.push(Cell::new(MISSES));
        }
        Ok(Rc::new(bed))
    }

    /// Puts the next configuration in the store.
    pub(crate) fn put_config(&self, next: impl FnOnce(&mut Configs)) {
        let mut configs = self.configs.borrow_mut();
        next(&mut configs);
        self.store.put_config(configs.newest());
        configs.acknowledged();
    }
}
