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
const GAUGE: &str = "trouttrack_buffered_bytes ";
/// More than all metrics take.
const MOST_BYTES: usize = 4 << 20;

impl Bed {
    /// Notes the most that each VM keeps, for as long as the soak lasts.
    pub(crate) async fn watch_kept(self: Rc<Self>) {
        let client = Client::builder().connect_timeout(READY_TIMEOUT).build();
        loop {
            for (vm, most) in self.vms.iter().zip(&self.most_kept) {
                let asked = timeout(READY_TIMEOUT, kept(&client, vm.ports.metrics));
                if let Ok(Some(bytes)) = asked.await {
                    most.set(most.get().max(Some(bytes)));
                }
            }
            sleep(LOOK).await;
        }
    }
}

async fn kept(client: &Client, metrics: SocketAddr) -> Option<usize> {
    let req = Request::get("/metrics").header(header::HOST, HOST);
    let req = req.body(Bytes::new()).ok()?;
    let mut answer = client.send(metrics, req, Reuse::Any).await.ok()?;
    let body = answer.body.whole(MOST_BYTES).await.ok()??;
    let text = std::str::from_utf8(&body).ok()?;
    text.lines()
        .find_map(|l| l.strip_prefix(GAUGE))?
        .parse()
        .ok()
}
