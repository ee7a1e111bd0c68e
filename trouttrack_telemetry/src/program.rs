//! What the mains of the programs have in common.

use crate::events;
use std::fmt::Display;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use trouttrack_config::settings::{Settings, load};

/// The exit code when the settings or the command line are wrong.
pub const EXIT_SETTINGS: u8 = 2;

/// What the command line of a program asks for.
#[derive(Clone, Copy, Debug)]
pub struct Asked<'a> {
    /// The program's name.
    pub program: &'a str,
    /// Its version.
    pub version: &'a str,
    /// Whether only the version is asked for.
    pub show_version: bool,
    /// The settings file.
    pub settings: Option<&'a Path>,
    /// Whether the settings are only checked.
    pub check: bool,
}

/// Reads the settings, or does what else was asked for.
///
/// # Errors
///
/// The exit code, if the program is not to run: for `--version`, `--check`,
/// and settings that are missing or wrong.
pub fn settings<S: Settings>(asked: Asked<'_>) -> Result<S, ExitCode> {
    if asked.show_version {
        println!("{} {}", asked.program, asked.version);
        return Err(ExitCode::SUCCESS);
    }
    let Some(file) = asked.settings else {
        eprintln!(
            "{}: --settings FILE must be given; see --help",
            asked.program
        );
        return Err(ExitCode::from(EXIT_SETTINGS));
    };
    let settings = load::<S>(file).map_err(|findings| {
        eprintln!("{findings}");
        ExitCode::from(EXIT_SETTINGS)
    })?;
    if asked.check {
        println!("{}: fine", file.display());
        return Err(ExitCode::SUCCESS);
    }
    Ok(settings)
}

/// The exit code of a program that ran.
pub fn exit<E: Display>(program: &str, result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            events::START_FAILED.log(format_args!("{e}"));
            eprintln!("{program}: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Signals cannot be waited for.
pub async fn told_to_stop() -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
