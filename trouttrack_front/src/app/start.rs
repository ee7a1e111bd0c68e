//! Starting.

use super::error::AppError;
use super::{reload, stop};
use crate::caller::{Server, serve_readiness_and_metrics};
use crate::follow;
use crate::page::listen;
use crate::peers::{self, News};
use crate::rescue;
use crate::state::Front;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use trouttrack_config::settings::{FrontSettings, ListenSettings};
use trouttrack_telemetry::events;
use trouttrack_telemetry::logs::LinesDropped;
use trouttrack_telemetry::program::told_to_stop;

/// How often the count of dropped log lines is taken over into the metrics.
const COUNT_DROPPED_EVERY: Duration = Duration::from_secs(1);
/// News that wait to be told; beyond it the other VMs ask the store.
const NEWS_WAITING: usize = 64;

/// Ports of the system's choice that are tried.
const PORTS_TRIED: usize = 16;

/// A front that serves.
#[derive(Debug)]
pub struct Running {
    /// Its parts.
    pub front: Rc<Front>,
    /// Where callers connect.
    pub callers: SocketAddr,
}

/// Starts a front on the current thread.
///
/// # Errors
///
/// A port cannot be had.
pub async fn start(settings: &FrontSettings) -> Result<Running, AppError> {
    let (news_tx, news) = mpsc::channel(NEWS_WAITING);
    let front = Front::new(settings, news_tx);
    let ports = settings.front.clone();
    let bound = bind_peers(ports.peers).await;
    let (socket, listener) = bound.map_err(|e| AppError::Listen(ports.peers, e))?;
    let own = socket.local_addr()?;
    front.peers.set_socket(&socket);
    if front.peer_addr.set(own).is_err() {
        log::error!("the own address was set before");
    }
    follow::start(&front, own);
    let scheduler = Rc::clone(&front.scheduler);
    actix_rt::spawn(async move { scheduler.run().await });
    actix_rt::spawn(rescue::ask_engines(Rc::clone(&front)));
    start_peers(&front, socket, listener, news);
    let server = Server::bind(Rc::clone(&front), ports.listen);
    let server = server.map_err(|e| AppError::Listen(ports.listen, e))?;
    let callers = server.local_addr()?;
    actix_rt::spawn(server.run());
    start_pages(&front, &ports);
    events::STARTED.log(format_args!(
        "program=trouttrack_front vm={} failure_domain={} callers={callers} peers={own}",
        settings.vm.name, settings.vm.failure_domain
    ));
    Ok(Running { front, callers })
}

/// The peers' port, for datagrams and for what is too large for them. Where the system
/// chooses the port, one that another process listens at is left for another.
async fn bind_peers(addr: SocketAddr) -> io::Result<(Rc<UdpSocket>, TcpListener)> {
    let mut tries = 1;
    loop {
        let socket = UdpSocket::bind(addr).await?;
        match listen(socket.local_addr()?) {
            Ok(listener) => return Ok((Rc::new(socket), listener)),
            Err(_) if addr.port() == 0 && tries < PORTS_TRIED => tries += 1,
            Err(e) => return Err(e),
        }
    }
}

/// Tells the other VMs, and hears them.
fn start_peers(
    front: &Rc<Front>,
    socket: Rc<UdpSocket>,
    listener: TcpListener,
    news: mpsc::Receiver<News>,
) {
    let serving = peers::serve(Rc::clone(front), listener);
    actix_rt::spawn(async move {
        if let Err(e) = serving.await {
            log::error!("peers that start cannot be answered: {e}");
        }
    });
    actix_rt::spawn(peers::send(Rc::clone(front), Rc::clone(&socket)));
    actix_rt::spawn(peers::keep_confirmed(Rc::clone(front), Rc::clone(&socket)));
    actix_rt::spawn(peers::tell(Rc::clone(front), Rc::clone(&socket), news));
    let hearing = peers::listen(Rc::clone(front), socket);
    actix_rt::spawn(async move {
        if let Err(e) = hearing.await {
            log::error!("heartbeats cannot be heard: {e}");
        }
    });
}

/// Serves readiness and metrics.
fn start_pages(front: &Rc<Front>, ports: &ListenSettings) {
    let pages = serve_readiness_and_metrics(Rc::clone(front), ports.ready, ports.metrics);
    actix_rt::spawn(async move {
        if let Err(e) = pages.await {
            log::error!("readiness and metrics cannot be served: {e}");
        }
    });
}

/// Runs a front until it is told to stop by SIGTERM or SIGINT.
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
    actix_rt::spawn(count_dropped(Rc::clone(&front), dropped));
    told_to_stop().await?;
    stop::planned(&front, settings.bounds.grace).await;
    events::STOPPED.log(format_args!("program=trouttrack_front"));
    Ok(())
}

/// Takes the count of dropped log lines over into the metrics.
async fn count_dropped(front: Rc<Front>, dropped: LinesDropped) {
    loop {
        tokio::time::sleep(COUNT_DROPPED_EVERY).await;
        front.metrics.log_lines_dropped.set(dropped.get() as i64);
    }
}
