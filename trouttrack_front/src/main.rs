//! Command-line entry point of the front.

mod args;

use args::TrouttrackFront;
use std::process::ExitCode;
use trouttrack_config::settings::FrontSettings;
use trouttrack_front::app;
use trouttrack_telemetry::logs;
use trouttrack_telemetry::program::{Asked, exit, settings};

const PROGRAM: &str = "trouttrack_front";

fn main() -> ExitCode {
    let args = TrouttrackFront::from_env_or_exit();
    let asked = Asked {
        program: PROGRAM,
        version: env!("CARGO_PKG_VERSION"),
        show_version: args.version,
        settings: args.settings.as_deref(),
        check: args.check,
    };
    let settings = match settings::<FrontSettings>(asked) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let dropped = logs::init_bounded(settings.log.level);
    let file = args.settings.unwrap_or_default();
    let ended = actix_rt::System::new().block_on(app::run(settings, file, dropped));
    let code = exit(PROGRAM, ended);
    log::logger().flush();
    code
}
