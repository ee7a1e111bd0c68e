//! Which VMs get new callers, as by the platform's balancer.

use super::fleet::Bed;
use super::routes::HOST;
use crate::vm::Vm;
use bytes::Bytes;
use http::{Request, header};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use trouttrack_http::{Client, Reuse};

/// How often readiness is asked for, as by the platform's balancer.
const ASK_READY: Duration = Duration::from_secs(1);
/// How long an answer about readiness may take.
pub(super) const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// Misses in a row after which a VM gets no new callers.
pub(super) const MISSES: u32 = 2;

impl Bed {
    /// Asks for readiness for as long as the soak lasts.
    pub(crate) async fn balance(self: Rc<Self>) {
        let client = Client::builder().connect_timeout(READY_TIMEOUT).build();
        loop {
            for (vm, misses) in self.vms.iter().zip(&self.misses) {
                let ready = is_ready(&client, vm).await;
                misses.set(if ready { 0 } else { misses.get() + 1 });
            }
            sleep(ASK_READY).await;
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

/// Whether a VM says in time that it is ready.
async fn is_ready(client: &Client, vm: &Vm) -> bool {
    let req = Request::get("/readiness").header(header::HOST, HOST);
    let Ok(req) = req.body(Bytes::new()) else {
        return false;
    };
    let asked = client.send(vm.ports.ready, req, Reuse::Never);
    let answer = timeout(READY_TIMEOUT, asked).await;
    matches!(answer, Ok(Ok(answer)) if answer.head.status.is_success())
}
