//! The gateway as a process.

mod args;

use args::TrouttrackGateway;
use std::process::ExitCode;
use trouttrack_config::settings::GatewaySettings;
use trouttrack_gateway::app;
use trouttrack_telemetry::logs;
use trouttrack_telemetry::program::{Asked, exit, settings};

const PROGRAM: &str = "trouttrack_gateway";

fn main() -> ExitCode {
    let args = TrouttrackGateway::from_env_or_exit();
    let asked = Asked {
        program: PROGRAM,
        version: env!("CARGO_PKG_VERSION"),
        show_version: args.version,
        settings: args.settings.as_deref(),
        check: args.check,
    };
    let settings = match settings::<GatewaySettings>(asked) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    logs::init(settings.log);
    exit(
        PROGRAM,
        actix_rt::System::new().block_on(app::run(settings)),
    )
}
