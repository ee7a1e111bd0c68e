//! Starting and stopping.

use super::metrics::{Metrics, count};
use crate::changes::Committer;
use crate::gateways::Gateways;
use crate::{http, orders};
use actix_web::dev::{Server, ServerHandle};
use actix_web::middleware::from_fn;
use actix_web::{App, HttpServer, web};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use thiserror::Error;
use trouttrack_config::settings::ControllerSettings;
use trouttrack_state::{ConfigStore, ObjectClient};
use trouttrack_telemetry::events;
use trouttrack_telemetry::program::told_to_stop;
use trouttrack_telemetry::tls::{self, TlsError};

/// Threads that serve operators.
const WORKERS: usize = 2;
/// How long a planned stop waits for calls in progress; a change takes less.
const DRAIN_SECONDS: u64 = 20;

/// A controller cannot start.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum AppError {
    /// The port cannot be had.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The TLS files cannot be used.
    #[error("[tls] {0}")]
    Tls(#[from] TlsError),
    /// The server failed.
    #[error("the server failed: {0}")]
    Server(io::Error),
}

/// What all threads share.
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: ControllerSettings,
    /// The metrics.
    pub metrics: Metrics,
}

/// What each thread has for itself.
#[derive(Debug)]
pub struct Tools {
    /// The configuration in the platform's service.
    pub store: ConfigStore,
    /// The gateways.
    pub gateways: Gateways,
    /// Commits changes.
    pub committer: Committer,
}

impl Tools {
    fn new(settings: &ControllerSettings) -> Self {
        let client = ObjectClient::new(&settings.platform);
        let store = ConfigStore::new(client.clone());
        let gateways = Gateways::new(&settings.vm.name, &settings.rpc.peers, client);
        Self {
            committer: Committer {
                store: store.clone(),
                gateways: gateways.clone(),
                in_force_timeout: settings.admin.in_force_timeout,
            },
            store,
            gateways,
        }
    }
}

/// A controller that serves.
pub struct Controller {
    /// Where operators connect.
    pub admin_addr: SocketAddr,
    server: ServerHandle,
}

impl std::fmt::Debug for Controller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Controller")
            .field("admin_addr", &self.admin_addr)
            .finish_non_exhaustive()
    }
}

impl Controller {
    /// Stops as planned: calls in progress end first.
    pub async fn stop(&self) {
        self.server.stop(true).await;
    }
}

/// Starts a controller on the current `actix` system.
///
/// # Errors
///
/// The port cannot be had, or the TLS settings cannot be used.
pub fn start(settings: ControllerSettings) -> Result<Controller, AppError> {
    let shared = Arc::new(Shared {
        settings,
        metrics: Metrics::default(),
    });
    let (server, admin_addr) = serve(&shared)?;
    let tools = Tools::new(&shared.settings);
    actix_rt::spawn(orders::run(
        tools.store,
        tools.gateways,
        shared.settings.vm.name.clone(),
        shared.settings.orders.clone(),
    ));
    let handle = server.handle();
    actix_rt::spawn(server);
    events::STARTED.log(format_args!(
        "program=trouttrack_controller vm={} failure_domain={} operators={admin_addr}",
        shared.settings.vm.name, shared.settings.vm.failure_domain
    ));
    Ok(Controller {
        admin_addr,
        server: handle,
    })
}

fn serve(shared: &Arc<Shared>) -> Result<(Server, SocketAddr), AppError> {
    let listen = shared.settings.admin.listen;
    let cannot = |e| AppError::Listen(listen, e);
    let listener = TcpListener::bind(listen).map_err(cannot)?;
    let addr = listener.local_addr().map_err(cannot)?;
    let data = Arc::clone(shared);
    let server = HttpServer::new(move || {
        let max_body = data.settings.admin.max_body;
        App::new()
            .app_data(web::Data::from(Arc::clone(&data)))
            .app_data(web::Data::new(Tools::new(&data.settings)))
            .app_data(web::PayloadConfig::new(max_body))
            .app_data(web::JsonConfig::default().limit(max_body))
            .wrap(from_fn(count))
            .configure(http::routes)
    })
    .workers(WORKERS)
    .shutdown_timeout(DRAIN_SECONDS)
    .disable_signals();
    let server = match &shared.settings.tls {
        None => server.listen(listener).map_err(cannot)?,
        Some(tls) => {
            let (config, reloader) = tls::server_config(tls)?;
            actix_rt::spawn(reloader.follow(tls.reload, "operator"));
            server
                .listen_rustls_0_23(listener, config)
                .map_err(cannot)?
        }
    };
    Ok((server.run(), addr))
}

/// Runs a controller until it is told to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// As for [`start`].
pub async fn run(settings: ControllerSettings) -> Result<(), AppError> {
    let controller = start(settings)?;
    told_to_stop().await.map_err(AppError::Server)?;
    events::STOPPING.log(format_args!("program=trouttrack_controller"));
    controller.stop().await;
    events::STOPPED.log(format_args!("program=trouttrack_controller"));
    Ok(())
}
