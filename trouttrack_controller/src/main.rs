//! The controller as a process.

mod args;

use args::TrouttrackController;
use std::process::ExitCode;
use trouttrack_config::settings::ControllerSettings;
use trouttrack_controller::app;
use trouttrack_telemetry::logs;
use trouttrack_telemetry::program::{Asked, exit, settings};

const PROGRAM: &str = "trouttrack_controller";

fn main() -> ExitCode {
    let args = TrouttrackController::from_env_or_exit();
    let asked = Asked {
        program: PROGRAM,
        version: env!("CARGO_PKG_VERSION"),
        show_version: args.version,
        settings: args.settings.as_deref(),
        check: args.check,
    };
    let settings = match settings::<ControllerSettings>(asked) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    logs::init(settings.log);
    exit(
        PROGRAM,
        actix_rt::System::new().block_on(app::run(settings)),
    )
}
