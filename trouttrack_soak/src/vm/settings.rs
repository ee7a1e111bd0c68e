//! The settings file of a front.

use super::ports::Ports;
use super::supervisor::GRACE;
use crate::check::{BUFFERS, CONNECTIONS, EVACUATE, RETRY_EXTRA, RETRY_RATIO};
use std::net::SocketAddr;
use std::time::Duration;

/// The most bytes that a front keeps for one stream: one long event and a little.
const BUFFERS_REQUEST: usize = 128 << 10;

/// The text of the settings of a VM, with its name and failure domain, that finds the store at
/// `store` and refuses removed keys after `revoke`.
pub(super) fn text(
    (name, failure_domain): (&str, &str),
    store: SocketAddr,
    ports: &Ports,
    revoke: Duration,
) -> String {
    let Ports {
        callers,
        ready,
        metrics,
        peers,
        source,
    } = ports;
    format!(
        "[vm]\nname = {name}\nfailure_domain = {failure_domain}\n[log]\nformat = json\n\
         [platform]\nurl = http://{store}\n\
         [front]\nlisten = {callers}\nready = {ready}\nmetrics = {metrics}\npeers = {peers}\nsource = {source}\nmax_connections = {CONNECTIONS}\n\
         [bounds]\nrevoke = {}ms\nevacuate = {}ms\ngrace = {}s\n[retry]\nratio = {RETRY_RATIO}\nextra = {RETRY_EXTRA}\n\
         [buffers]\nrequest = {BUFFERS_REQUEST}\norganisation = {BUFFERS}\nvm = {BUFFERS}\n",
        revoke.as_millis(),
        EVACUATE.as_millis(),
        GRACE.as_secs(),
    )
}
