//! The fleet: a store, upstreams, fronts, and a link before each.

mod config;
mod routes;
mod upstreams;

pub(crate) use config::Configs;
pub use config::{Key, LASTING_KEY, ORGANISATION};
pub use routes::RouteName;
pub(crate) use routes::{ENGINES, HOST};
pub use upstreams::EVENTS;
pub(crate) use upstreams::{Member, Upstreams};

use crate::link::Link;
use crate::plan::Size;
use crate::vm::Vm;
use bytes::Bytes;
use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use trouttrack_http::{Client, Reuse};
use trouttrack_platform_standin::Store;

/// How often readiness is asked for, as by the platform's balancer.
const ASK_READY: Duration = Duration::from_secs(1);
/// How long an answer about readiness may take.
const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// Misses in a row after which a VM gets no new callers.
const MISSES: u32 = 2;

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
    misses: Vec<Cell<u32>>,
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

    /// Asks for readiness for as long as the soak lasts.
    pub(crate) async fn balance(self: Rc<Self>) {
        let client = Client::builder().connect_timeout(READY_TIMEOUT).build();
        loop {
            for (vm, misses) in self.vms.iter().zip(&self.misses) {
                let ready = is_ready(&client, vm).await;
                misses.set(if ready { 0 } else { misses.get() + 1 });
            }
            tokio::time::sleep(ASK_READY).await;
        }
    }

    /// The VMs that get new callers: all, if none is ready.
    #[must_use]
    pub(crate) fn ready(&self) -> Vec<usize> {
        let all = 0..self.vms.len();
        let ready: Vec<usize> = all
            .clone()
            .filter(|i| self.misses[*i].get() < MISSES)
            .collect();
        match ready.is_empty() {
            true => all.collect(),
            false => ready,
        }
    }
}

async fn is_ready(client: &Client, vm: &Vm) -> bool {
    let req = http::Request::get("/readiness").header(http::header::HOST, HOST);
    let Ok(req) = req.body(Bytes::new()) else {
        return false;
    };
    let asked = client.send(vm.ports.ready, req, Reuse::Never);
    let answer = tokio::time::timeout(READY_TIMEOUT, asked).await;
    matches!(answer, Ok(Ok(answer)) if answer.head.status.is_success())
}
