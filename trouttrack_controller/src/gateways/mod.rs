//! Calls to all gateways at once.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tarpc::client::RpcError as TarpcError;
use tarpc::context::Context;
use trouttrack_rpc::{Connection, PeerClient};
use trouttrack_state::ObjectClient;
use trouttrack_telemetry::events;

/// How long one gateway may take to answer.
const TIMEOUT: Duration = Duration::from_secs(1);
/// How long the VM list is used before it is read again.
const LIST_AGE: Duration = Duration::from_secs(2);

/// One gateway's answer, or why there is none.
#[derive(Debug)]
pub struct Answer<T> {
    /// The gateway.
    pub addr: SocketAddr,
    /// What it said.
    pub result: Result<T, String>,
}

#[derive(Debug, Default)]
struct Listed {
    read: Option<Instant>,
    addrs: Vec<SocketAddr>,
}

/// The gateways named in the settings and those of the VM list.
#[derive(Clone, Debug)]
pub struct Gateways {
    name: String,
    named: Rc<[SocketAddr]>,
    client: ObjectClient,
    listed: Rc<RefCell<Listed>>,
    connections: Rc<RefCell<HashMap<SocketAddr, Connection>>>,
}

impl Gateways {
    /// Gateways for the current thread.
    #[must_use]
    pub fn new(name: &str, named: &[SocketAddr], client: ObjectClient) -> Self {
        Self {
            name: name.to_owned(),
            named: named.into(),
            client,
            listed: Rc::default(),
            connections: Rc::default(),
        }
    }

    /// Every gateway's address, once.
    pub async fn all(&self) -> Vec<SocketAddr> {
        self.refresh().await;
        let listed = self.listed.borrow();
        let all: BTreeSet<SocketAddr> = self.named.iter().chain(&listed.addrs).copied().collect();
        all.into_iter().collect()
    }

    async fn refresh(&self) {
        let fresh = |l: &Listed| l.read.is_some_and(|at| at.elapsed() < LIST_AGE);
        if fresh(&self.listed.borrow()) {
            return;
        }
        // Without the list the named gateways and the last list have to do.
        if let Ok(vms) = self.client.vms().await {
            let addrs = vms.iter().filter_map(|vm| vm.addr.parse().ok()).collect();
            self.listed.borrow_mut().addrs = addrs;
        }
        self.listed.borrow_mut().read = Some(Instant::now());
    }

    /// Makes the same call to every gateway at once.
    pub async fn call_all<T, F, Fut>(&self, f: F) -> Vec<Answer<T>>
    where
        F: Fn(PeerClient, Context) -> Fut,
        Fut: Future<Output = Result<T, TarpcError>>,
    {
        let all = self.all().await;
        let calls = all.into_iter().map(|addr| self.call(addr, &f));
        futures_util::future::join_all(calls).await
    }

    /// Makes a call to one gateway.
    pub async fn call<T, F, Fut>(&self, addr: SocketAddr, f: &F) -> Answer<T>
    where
        F: Fn(PeerClient, Context) -> Fut,
        Fut: Future<Output = Result<T, TarpcError>>,
    {
        let kept = self.connections.borrow_mut().remove(&addr);
        let mut connection = kept.unwrap_or_else(|| Connection::new(addr, &self.name, TIMEOUT));
        let result = connection.call(f).await.map_err(|e| {
            events::PEER_UNREACHABLE.log(format_args!("{e}"));
            e.to_string()
        });
        if result.is_ok() {
            self.connections.borrow_mut().insert(addr, connection);
        }
        Answer { addr, result }
    }
}
