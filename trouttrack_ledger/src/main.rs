//! The ledger as a command.

mod args;

use args::TrouttrackLedger;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::process::ExitCode;
use std::time::Duration;
use trouttrack_ledger::{Ledger, Sheet, chart, line};

/// Width of the chart's bars unless another is given: wide enough for some dozen
/// requests on a small fleet.
const BAR: Duration = Duration::from_secs(2);
/// The narrowest bar that is drawn.
const NARROWEST: f64 = 0.1;

fn main() -> ExitCode {
    match run(&TrouttrackLedger::from_env_or_exit()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trouttrack_ledger: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &TrouttrackLedger) -> Result<(), Box<dyn std::error::Error>> {
    let mut ledger = Ledger::default();
    if args.file.is_empty() {
        read(io::stdin().lock(), &mut ledger)?;
    }
    for path in &args.file {
        let file = File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
        read(BufReader::new(file), &mut ledger)?;
    }
    match &args.sheet {
        Some(path) => print!("{}", ledger.bound(&Sheet::read(path)?).table()),
        None => print!("{}", ledger.table(args.upstreams)),
    }
    if let Some(path) = &args.svg {
        let bar = args
            .bar
            .map_or(BAR, |s| Duration::from_secs_f64(s.max(NARROWEST)));
        chart::draw(&ledger, bar, path)?;
    }
    Ok(())
}

/// Takes in every line. Bytes that are no text are passed over with their line.
fn read(mut log: impl BufRead, ledger: &mut Ledger) -> io::Result<()> {
    let mut buf = Vec::new();
    while log.read_until(b'\n', &mut buf)? > 0 {
        if let Some(said) = line::decode(&String::from_utf8_lossy(&buf)) {
            ledger.take(said);
        }
        buf.clear();
    }
    Ok(())
}
