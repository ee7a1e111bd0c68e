//! The controller as a process.

mod args;

use args::TrouttrackController;
use std::path::Path;
use std::process::ExitCode;
use trouttrack_config::settings::{ControllerSettings, load};
use trouttrack_controller::app;
use trouttrack_telemetry::{events, logs};

/// The settings are wrong.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    let args = TrouttrackController::from_env_or_exit();
    if args.version {
        println!("trouttrack_controller {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = args.settings else {
        eprintln!("trouttrack_controller: --settings FILE must be given; see --help");
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match load::<ControllerSettings>(Path::new(&file)) {
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
            eprintln!("trouttrack_controller: {e}");
            ExitCode::FAILURE
        }
    }
}
