//! Heartbeats to peers, and what their answers bring.

use super::list::PeerList;
use crate::app::{Shared, Source};
use crate::dispatch::{PeerUses, Uses};
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use trouttrack_core::membership::Digest;
use trouttrack_rpc::{ConfigBundle, Connection, RpcError};
use trouttrack_telemetry::events;

/// Pause between heartbeats in a small fleet.
const INTERVAL: Duration = Duration::from_millis(500);
/// The longest pause, in a large one.
const LONGEST_INTERVAL: Duration = Duration::from_secs(3);
/// The pause grows with the peers, by one more interval for this many.
const PEERS_PER_INTERVAL: usize = 64;
/// The shortest pause before news is told.
const SOON: Duration = Duration::from_millis(20);
/// Peers that are told each time. Whoever hears news tells as many at once, so
/// it reaches 340 in a handful of hops.
const FANOUT: usize = 6;
/// Peers that are told each time when there is no news, in a large fleet.
const QUIET_FANOUT: usize = 2;
const TIMEOUT: Duration = Duration::from_millis(800);

static SEQUENCE: AtomicU64 = AtomicU64::new(0);

/// The process's own digest.
pub(super) async fn digest(shared: &Shared) -> Digest {
    let incarnation = SystemTime::now()
        .checked_sub(shared.started.elapsed())
        .and_then(|t| t.duration_since(UNIX_EPOCH).ok())
        .map_or(0, |d| d.as_secs());
    Digest {
        name: shared.settings.vm.name.clone(),
        rpc_addr: shared
            .rpc_addr()
            .map_or_else(String::new, |addr| addr.to_string()),
        failure_domain: shared.settings.vm.failure_domain.clone(),
        sequence: SEQUENCE.fetch_add(1, Ordering::Relaxed) + 1,
        incarnation,
        config_version: shared.view().version(),
        draining: shared.draining(),
        in_flight: shared.in_flight() as u32,
        uses: shared.dispatcher.send(Uses).await.unwrap_or_default(),
        marks: shared.all_marks(),
    }
}

/// Takes in a peer's digest.
pub(super) fn take(shared: &Shared, digest: Digest) {
    shared.merge_marks(&digest.marks);
    if digest.name != shared.settings.vm.name {
        shared.dispatcher.do_send(PeerUses {
            peer: digest.name.clone(),
            failure_domain: digest.failure_domain.clone(),
            uses: digest.uses.clone(),
        });
    }
    let now = shared.started.elapsed();
    shared.peers().record(now, digest);
}

/// Tells some peers each interval, for as long as the process lives.
pub async fn heartbeats(shared: Arc<Shared>, peers: PeerList) {
    let mut connections: HashMap<SocketAddr, Connection> = HashMap::new();
    loop {
        let all = peers.all();
        let news = tokio::time::timeout(interval(all.len()), shared.news()).await;
        let fanout = match news {
            Ok(()) => {
                tokio::time::sleep(SOON).await;
                FANOUT
            }
            Err(_) if all.len() <= PEERS_PER_INTERVAL => FANOUT,
            Err(_) => QUIET_FANOUT,
        };
        let all = peers.all();
        connections.retain(|addr, _| all.contains(addr));
        let some: Vec<SocketAddr> = all.sample(&mut rand::rng(), fanout).copied().collect();
        let mine = digest(&shared).await;
        let mut told = Vec::new();
        for addr in some {
            let connection = connections
                .remove(&addr)
                .unwrap_or_else(|| Connection::new(addr, &shared.settings.vm.name, TIMEOUT));
            told.push(tell(&shared, connection, mine.clone()));
        }
        for connection in futures_util::future::join_all(told).await {
            connections.insert(connection.addr(), connection);
        }
    }
}

/// The pause between heartbeats among this many peers.
fn interval(peers: usize) -> Duration {
    (INTERVAL * (1 + peers / PEERS_PER_INTERVAL) as u32).min(LONGEST_INTERVAL)
}

async fn tell(shared: &Arc<Shared>, mut connection: Connection, mine: Digest) -> Connection {
    let answer = connection
        .call(async move |client, cx| client.heartbeat(cx, mine).await)
        .await;
    match answer {
        Ok(theirs) => {
            let newer = theirs.config_version > shared.view().version();
            take(shared, theirs);
            if newer {
                adopt_from(shared, &mut connection).await;
            }
        }
        Err(e) => note_unreachable(&e),
    }
    connection
}

async fn adopt_from(shared: &Arc<Shared>, connection: &mut Connection) {
    let answer = connection
        .call(async |client, cx| client.config(cx).await)
        .await;
    match answer {
        Ok(Some(bundle)) => {
            shared.adopt(bundle, Source::Peer);
        }
        Ok(None) => {}
        Err(e) => note_unreachable(&e),
    }
}

fn note_unreachable(e: &RpcError) {
    events::PEER_UNREACHABLE.log(format_args!("{e}"));
}

/// Asks one peer for its configuration.
pub async fn fetch_config(shared: &Arc<Shared>, addr: SocketAddr) -> Option<ConfigBundle> {
    let mut connection = Connection::new(addr, &shared.settings.vm.name, TIMEOUT);
    let answer = connection
        .call(async |client, cx| client.config(cx).await)
        .await;
    answer.inspect_err(note_unreachable).ok().flatten()
}
