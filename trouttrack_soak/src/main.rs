//! The soak as a process: prints a JSON line a seed, and ends with 1 if a
//! promise was broken.

mod args;

use args::TrouttrackSoak;
use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use trouttrack_soak::{Outcome, Size, SoakError, SoakOptions, run};

/// The front's program, beside this one.
const FRONT: &str = "trouttrack_front";
/// Where settings and logs are kept unless another folder is given.
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
    let seeds = first..first + args.count.unwrap_or(1);
    let mut options = options(args, first)?;
    let mut kept = true;
    for seed in seeds {
        options.seed = seed;
        let outcome = actix_rt::System::new().block_on(run(&options))?;
        kept &= outcome.findings.is_empty();
        print(&outcome);
    }
    Ok(kept)
}

fn options(args: TrouttrackSoak, seed: u64) -> Result<SoakOptions, SoakError> {
    Ok(SoakOptions {
        size: size(&args)?,
        program: match args.front {
            Some(program) => program,
            None => beside_this()?,
        },
        dir: args.dir.unwrap_or_else(|| PathBuf::from(DIR)),
        seed,
        timed: !args.untimed,
    })
}

/// Prints an outcome as a line of JSON.
fn print(outcome: &Outcome) {
    match serde_json::to_string(outcome) {
        Ok(line) => println!("{line}"),
        Err(e) => eprintln!("seed {}: {e}", outcome.seed),
    }
}

/// The size of each run: what is not given is as in the named size, or [`Size::default`].
fn size(args: &TrouttrackSoak) -> Result<Size, SoakError> {
    let default = match &args.size {
        Some(name) => Size::named(name).ok_or_else(|| SoakError::Size(name.clone()))?,
        None => Size::default(),
    };
    Ok(Size {
        vms: args.vms.unwrap_or(default.vms).max(1),
        upstreams: args.upstreams.unwrap_or(default.upstreams).max(1),
        callers: args.callers.unwrap_or(default.callers),
        lasts: args.seconds.map_or(default.lasts, Duration::from_secs),
        ..default
    })
}

/// The front's program in the folder of this one.
fn beside_this() -> Result<PathBuf, SoakError> {
    Ok(env::current_exe()?.with_file_name(FRONT))
}
