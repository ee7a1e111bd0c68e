//! Startup.

use super::error::AppError;
use super::{reload, stop};
use crate::caller::{Server, serve_readiness_and_metrics};
use crate::follow;
use crate::page::listen;
use crate::peers::{self, EntryUpdate};
use crate::rescue;
use crate::state::Front;
use crate::tasks;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{Mutex, mpsc};
use trouttrack_config::settings::{FrontSettings, ListenSettings};
use trouttrack_telemetry::events;
use trouttrack_telemetry::logs::LinesDropped;
use trouttrack_telemetry::program::told_to_stop;

/// Interval at which the number of dropped log lines is copied to the metrics.
const DROPPED_LINES_INTERVAL: Duration = Duration::from_secs(1);
/// Capacity of the queue of updates for peers. Updates that do not fit are dropped, and the
/// other VMs read them from the store.
const UPDATE_CAPACITY: usize = 64;

/// Limit on bind attempts with ports chosen by the system.
const MAX_BIND_ATTEMPTS: usize = 16;

/// A running front.
#[derive(Debug)]
pub struct Running {
    /// Shared state of the front.
    pub front: Rc<Front>,
    /// Address for callers.
    pub callers: SocketAddr,
}

/// Starts a front on the current thread.
///
/// # Errors
///
/// A listening socket cannot be opened.
pub async fn start(settings: &FrontSettings) -> Result<Running, AppError> {
    let (updates_tx, updates) = mpsc::channel(UPDATE_CAPACITY);
    let front = Front::new(settings, updates_tx);
    front.quarantine.set_lifted(&settings.lifted);
    let ports = settings.front.clone();
    let bound = bind_peers(ports.peers).await;
    let (socket, listener) = bound.map_err(|e| AppError::Listen(ports.peers, e))?;
    let own = socket.local_addr()?;
    front.peers.set_socket(&socket);
    if front.peer_addr.set(own).is_err() {
        log::error!("the peer address was already set");
    }
    follow::start(&front, own);
    tasks::spawn(&front, "schedule", |front| async move {
        front.scheduler.run().await;
    });
    tasks::spawn(&front, "poll-engines", rescue::poll_engines);
    start_peers(&front, socket, listener, updates);
    let server = Server::bind(Rc::clone(&front), ports.listen);
    let server = server.map_err(|e| AppError::Listen(ports.listen, e))?;
    let callers = server.local_addr()?;
    let server = Rc::new(server);
    tasks::spawn(&front, "serve-callers", move |_| Rc::clone(&server).run());
    start_http_endpoints(&front, &ports);
    events::STARTED.log(format_args!(
        "program=trouttrack_front vm={} failure_domain={} callers={callers} peers={own}",
        settings.vm.name, settings.vm.failure_domain
    ));
    Ok(Running { front, callers })
}

/// Binds a UDP socket and a TCP listener on the same port for peers; TCP carries what is too
/// large for a datagram. If the system chooses the port and another process already listens
/// on it with TCP, tries another port.
async fn bind_peers(addr: SocketAddr) -> io::Result<(Rc<UdpSocket>, TcpListener)> {
    let mut attempts = 1;
    loop {
        let socket = UdpSocket::bind(addr).await?;
        match listen(socket.local_addr()?) {
            Ok(listener) => return Ok((Rc::new(socket), listener)),
            Err(_) if addr.port() == 0 && attempts < MAX_BIND_ATTEMPTS => attempts += 1,
            Err(e) => return Err(e),
        }
    }
}

/// Starts the tasks that exchange state with peers.
fn start_peers(
    front: &Rc<Front>,
    socket: Rc<UdpSocket>,
    listener: TcpListener,
    updates: mpsc::Receiver<EntryUpdate>,
) {
    // Set only once, because a front is started once.
    drop(front.peer_socket.set(Rc::clone(&socket)));
    let serving = peers::serve(Rc::clone(front), listener);
    actix_rt::spawn(async move {
        if let Err(e) = serving.await {
            log::error!("cannot serve state to peers that start: {e}");
        }
    });
    let sending = Rc::clone(&socket);
    tasks::spawn(front, "send-heartbeats", move |front| {
        peers::send(front, Rc::clone(&sending))
    });
    let asking = Rc::clone(&socket);
    tasks::spawn(front, "keep-confirmed", move |front| {
        peers::keep_confirmed(front, Rc::clone(&asking))
    });
    let updating = Rc::clone(&socket);
    let updates = Rc::new(Mutex::new(updates));
    tasks::spawn(front, "send-updates", move |front| {
        peers::send_updates(front, Rc::clone(&updating), Rc::clone(&updates))
    });
    tasks::spawn(front, "receive-datagrams", move |front| {
        peers::listen(front, Rc::clone(&socket))
    });
}

/// Starts the readiness and metrics endpoints.
fn start_http_endpoints(front: &Rc<Front>, ports: &ListenSettings) {
    let endpoints = serve_readiness_and_metrics(Rc::clone(front), ports.ready, ports.metrics);
    actix_rt::spawn(async move {
        if let Err(e) = endpoints.await {
            log::error!("cannot serve readiness and metrics: {e}");
        }
    });
}

/// Runs a front until SIGTERM or SIGINT, then shuts it down gracefully.
///
/// # Errors
///
/// As for [`start`].
pub async fn run(
    settings: FrontSettings,
    file: PathBuf,
    dropped: LinesDropped,
) -> Result<(), AppError> {
    let running = start(&settings).await?;
    let front = Rc::clone(&running.front);
    actix_rt::spawn(reload::follow(Rc::clone(&front), file));
    actix_rt::spawn(export_dropped_lines(Rc::clone(&front), dropped));
    told_to_stop().await?;
    stop::graceful_stop(&front, settings.bounds.grace).await;
    events::STOPPED.log(format_args!("program=trouttrack_front"));
    Ok(())
}

/// Copies the number of dropped log lines to the metrics periodically.
async fn export_dropped_lines(front: Rc<Front>, dropped: LinesDropped) {
    loop {
        tokio::time::sleep(DROPPED_LINES_INTERVAL).await;
        front.metrics.log_lines_dropped.set(dropped.get() as i64);
    }
}
