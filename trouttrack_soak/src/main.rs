//! The soak as a process: prints a JSON line a seed, and ends with 1 if a
//! promise was broken.

mod args;

use args::TrouttrackSoak;
use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use trouttrack_soak::{Size, SoakError, SoakOptions, run};

const FRONT: &str = "trouttrack_front";
const DIR: &str = "target/soak";

fn main() -> ExitCode {
    match soak(TrouttrackSoak::from_env_or_exit()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("trouttrack_soak: {e}");
            ExitCode::from(2)
        }
    }
}

/// Runs every seed. Returns whether all promises were kept.
fn soak(args: TrouttrackSoak) -> Result<bool, SoakError> {
    let first = args.seed.unwrap_or(1);
    let mut options = SoakOptions {
        program: match args.front {
            Some(program) => program,
            None => beside_this()?,
        },
        dir: args.dir.unwrap_or_else(|| PathBuf::from(DIR)),
        seed: first,
        size: size(args.vms, args.upstreams, args.callers, args.seconds),
        timed: !args.untimed,
    };
    let mut kept = true;
    for seed in first..first + args.count.unwrap_or(1) {
        options.seed = seed;
        let outcome = actix_rt::System::new().block_on(run(&options))?;
        kept &= outcome.findings.is_empty();
        match serde_json::to_string(&outcome) {
            Ok(line) => println!("{line}"),
            Err(e) => eprintln!("seed {seed}: {e}"),
        }
    }
    Ok(kept)
}

fn size(
    vms: Option<usize>,
    upstreams: Option<usize>,
    callers: Option<usize>,
    seconds: Option<u64>,
) -> Size {
    let default = Size::default();
    Size {
        vms: vms.unwrap_or(default.vms).max(1),
        upstreams: upstreams.unwrap_or(default.upstreams).max(1),
        callers: callers.unwrap_or(default.callers),
        lasts: seconds.map_or(default.lasts, Duration::from_secs),
    }
}

fn beside_this() -> Result<PathBuf, SoakError> {
    Ok(env::current_exe()?.with_file_name(FRONT))
}
