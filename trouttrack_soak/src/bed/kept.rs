//! What each VM says that it keeps for those who read slowly.

use super::balance::READY_TIMEOUT;
use super::fleet::Bed;
use super::routes::HOST;
use bytes::Bytes;
use http::{Request, header};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use trouttrack_http::{Client, Reuse};

/// How often the VMs are asked.
const LOOK: Duration = Duration::from_millis(100);
const BYTES: &str = "trouttrack_buffered_bytes ";
const CONNECTIONS: &str = "trouttrack_caller_connections ";
/// More than all metrics take.
const MOST_BYTES: usize = 4 << 20;

impl Bed {
    /// Notes the most bytes and connections that each VM keeps, for as long as the soak lasts.
    pub(crate) async fn watch_kept(self: Rc<Self>) {
        let client = Client::builder().connect_timeout(READY_TIMEOUT).build();
        loop {
            let most = self.most_kept.iter().zip(&self.most_connections);
            for (vm, (most_bytes, most_connections)) in self.vms.iter().zip(most) {
                let asked = timeout(READY_TIMEOUT, metrics(&client, vm.ports.metrics));
                let Ok(Some(text)) = asked.await else {
                    continue;
                };
                most_bytes.set(most_bytes.get().max(gauge(&text, BYTES)));
                most_connections.set(most_connections.get().max(gauge(&text, CONNECTIONS)));
            }
            sleep(LOOK).await;
        }
    }
}

async fn metrics(client: &Client, addr: SocketAddr) -> Option<String> {
    let req = Request::get("/metrics").header(header::HOST, HOST);
    let req = req.body(Bytes::new()).ok()?;
    let mut answer = client.send(addr, req, Reuse::Any).await.ok()?;
    let body = answer.body.whole(MOST_BYTES).await.ok()??;
    String::from_utf8(body.to_vec()).ok()
}

/// The value of a gauge, which `name` and a space begin.
fn gauge(text: &str, name: &str) -> Option<usize> {
    let mut lines = text.lines();
    lines.find_map(|l| l.strip_prefix(name))?.parse().ok()
}
