//! Starting.

use super::error::AppError;
use super::shared::Shared;
use super::stop;
use crate::canceller::Canceller;
use crate::claims::Claimer;
use crate::dispatch::Dispatcher;
use crate::metrics::Metrics;
use crate::request::Clients;
use crate::{follow, http, peers};
use actix::Actor;
use actix_web::dev::{Server, ServerHandle};
use actix_web::{App, HttpServer, web};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Instant;
use trouttrack_config::settings::GatewaySettings;
use trouttrack_core::world::{AdmissionSettings, MOVED_FILL, PLACED_FILL, WorldSettings};
use trouttrack_state::{ConfigStore, ObjectClient};
use trouttrack_telemetry::events;
use trouttrack_telemetry::program::told_to_stop;
use trouttrack_telemetry::tls;
use trouttrack_telemetry::trace::Tracing;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// A gateway that serves.
pub struct Gateway {
    /// What its parts share.
    pub shared: Arc<Shared>,
    /// Where callers connect.
    pub caller_addr: SocketAddr,
    /// Where peers connect.
    pub rpc_addr: SocketAddr,
    server: ServerHandle,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gateway")
            .field("caller_addr", &self.caller_addr)
            .field("rpc_addr", &self.rpc_addr)
            .finish_non_exhaustive()
    }
}

impl Gateway {
    /// Stops as planned: no request in progress is cut off, up to the bound.
    pub async fn stop(&self) {
        stop::planned(&self.shared, &self.server).await;
    }

    /// Ends at once, as a crash would.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }
}

fn world_settings(settings: &GatewaySettings) -> WorldSettings {
    let a = &settings.admission;
    WorldSettings {
        failure_domain: settings.vm.failure_domain.clone(),
        ageing: a.ageing,
        max_wait: a.max_wait,
        max_queued: a.max_queued,
        urgent_reserve: a.urgent_reserve,
        growth_quantile: a.growth_quantile,
        placed_fill: PLACED_FILL,
        moved_fill: MOVED_FILL,
        look_ahead: a.look_ahead,
        policy: a.policy.clone(),
        admission: AdmissionSettings::OFF,
        seed: rand::random(),
    }
}

fn shared(settings: GatewaySettings, tracing: Tracing) -> Arc<Shared> {
    let metrics = Arc::new(Metrics::new());
    let started = Instant::now();
    let dispatcher = Dispatcher::new(
        settings.vm.name.clone(),
        world_settings(&settings),
        settings.admission.tick,
        settings.upstream.retry_ratio,
        started,
        Arc::clone(&metrics),
    );
    let canceller = Canceller::new(Clients::new(&settings.upstream));
    let client = ObjectClient::new(&settings.platform);
    let claimer = Claimer::new(&settings.vm.name, client);
    let shared = Shared::new(
        settings,
        dispatcher.start(),
        canceller.start(),
        claimer.start(),
        metrics,
        tracing,
        started,
    );
    Arc::new(shared)
}

/// Starts a gateway on the current `actix` system.
///
/// # Errors
///
/// A port cannot be had, or the TLS or trace settings cannot be used.
pub async fn start(settings: GatewaySettings) -> Result<Gateway, AppError> {
    let tracing = Tracing::new("trouttrack_gateway", &settings.vm, &settings.trace)?;
    let shared = shared(settings, tracing);
    let rpc_listen = shared.settings.rpc.listen;
    let rpc_addr = peers::serve(&shared)
        .await
        .map_err(|e| AppError::Listen(rpc_listen, e))?;
    shared.set_rpc_addr(rpc_addr);
    let store = ConfigStore::new(ObjectClient::new(&shared.settings.platform));
    let peer_list = peers::PeerList::new(&shared.settings.rpc.peers, rpc_addr);
    actix_rt::spawn(follow::config(
        Arc::clone(&shared),
        store.clone(),
        peer_list.clone(),
    ));
    actix_rt::spawn(follow::reports(Arc::clone(&shared)));
    actix_rt::spawn(follow::vms(Arc::clone(&shared), store, peer_list.clone()));
    actix_rt::spawn(peers::heartbeats(Arc::clone(&shared), peer_list));
    let (server, caller_addr) = serve_callers(&shared)?;
    let handle = server.handle();
    actix_rt::spawn(server);
    events::STARTED.log(format_args!(
        "program=trouttrack_gateway vm={} failure_domain={} callers={caller_addr} rpc={rpc_addr}",
        shared.settings.vm.name, shared.settings.vm.failure_domain
    ));
    Ok(Gateway {
        shared,
        caller_addr,
        rpc_addr,
        server: handle,
    })
}

fn serve_callers(shared: &Arc<Shared>) -> Result<(Server, SocketAddr), AppError> {
    let caller = &shared.settings.caller;
    let listen = caller.listen;
    let cannot = |e| AppError::Listen(listen, e);
    let listener = TcpListener::bind(listen).map_err(cannot)?;
    let addr = listener.local_addr().map_err(cannot)?;
    let data = Arc::clone(shared);
    let server = HttpServer::new(move || {
        let clients = Clients::new(&data.settings.upstream);
        App::new()
            .app_data(web::Data::from(Arc::clone(&data)))
            .app_data(web::Data::new(clients))
            .configure(http::routes)
    })
    .workers(caller.workers)
    .backlog(BACKLOG)
    .max_connections(caller.max_connections)
    .client_request_timeout(caller.read_timeout)
    .shutdown_timeout(stop::FLUSH.as_secs())
    .disable_signals();
    let server = match &shared.settings.tls {
        None => server.listen(listener).map_err(cannot)?,
        Some(tls) => {
            let (config, reloader) = tls::server_config(tls)?;
            actix_rt::spawn(reloader.follow(tls.reload, "caller"));
            server
                .listen_rustls_0_23(listener, config)
                .map_err(cannot)?
        }
    };
    Ok((server.run(), addr))
}

/// Runs a gateway until it is told to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// As for [`start`].
pub async fn run(settings: GatewaySettings) -> Result<(), AppError> {
    let gateway = start(settings).await?;
    told_to_stop().await.map_err(AppError::Server)?;
    gateway.stop().await;
    let tracing = gateway.shared.tracing.clone();
    // Sending the last spans blocks, so it has a thread of its own.
    let _ = tokio::task::spawn_blocking(move || tracing.shutdown()).await;
    events::STOPPED.log(format_args!("program=trouttrack_gateway"));
    Ok(())
}
