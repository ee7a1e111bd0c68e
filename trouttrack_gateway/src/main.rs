//! The gateway as a process.

mod args;

use args::TrouttrackGateway;
use std::path::Path;
use std::process::ExitCode;
use trouttrack_config::settings::{GatewaySettings, load};
use trouttrack_gateway::app;
use trouttrack_telemetry::{events, logs};

/// The settings are wrong.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = TrouttrackGateway::from_env_or_exit();
    if args.version {
        println!("trouttrack_gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = args.settings else {
        eprintln!("trouttrack_gateway: --settings FILE must be given; see --help");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match load::<GatewaySettings>(Path::new(&file)) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: fine", file.display());
        return ExitCode::SUCCESS;
    }
    logs::init(settings.log);
    match actix_rt::System::new().block_on(app::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            events::START_FAILED.log(format_args!("{e}"));
            eprintln!("trouttrack_gateway: {e}");
            ExitCode::FAILURE
        }
    }
}
