//! The tool as a process.

mod args;

use args::{Ask, Claims, Path, TrouttrackLoad, TrouttrackLoadCmd};
use std::process::ExitCode;
use std::time::Duration;
use trouttrack_load::ask;
use trouttrack_load::claims::{self, ClaimsOptions};
use trouttrack_load::client::Goal;
use trouttrack_load::path::{PathOptions, measure};

const DEFAULT_STREAMS: &[usize] = &[1, 64, 512];
const CLIENT_THREADS: usize = 2;
const PACED_SERVICE: &str = "paced";
const FAST_SERVICE: &str = "fast";

fn main() -> ExitCode {
    let result = match TrouttrackLoad::from_env_or_exit().subcommand {
        TrouttrackLoadCmd::Ask(a) => run_ask(&a),
        TrouttrackLoadCmd::Path(a) => run_path(a),
        TrouttrackLoadCmd::Claims(a) => run_claims(a),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trouttrack_load: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_ask(a: &Ask) -> Result<(), String> {
    let examples = ask::read(&a.file).map_err(|e| e.to_string())?;
    if a.url.is_empty() {
        return Err("--url must be given".to_owned());
    }
    let key = |organisation: &str| {
        let pairs = a.key.iter().filter_map(|k| k.split_once('='));
        let mut mine = pairs.filter(|(o, _)| *o == organisation);
        mine.next().map(|(_, key)| key.to_owned())
    };
    let mut complete = 0;
    actix_rt::System::new().block_on(async {
        for (i, example) in examples.iter().enumerate() {
            let goal = Goal {
                url: a.url[i % a.url.len()].clone(),
                key: key(&example.organisation),
            };
            complete += usize::from(ask::ask(&goal, example).await);
        }
    });
    println!("\n{complete} of {} examples complete", examples.len());
    match complete == examples.len() {
        true => Ok(()),
        false => Err("not every example was complete".to_owned()),
    }
}

fn run_path(a: Path) -> Result<(), String> {
    let streams = match &a.streams {
        None => DEFAULT_STREAMS.to_vec(),
        Some(list) => list
            .split(',')
            .map(|n| n.parse().map_err(|_| format!("`{n}` is not a number")))
            .collect::<Result<_, _>>()?,
    };
    measure(&PathOptions {
        gateway: Goal {
            url: a.gateway,
            key: Some(a.key),
        },
        gateway_pid: a.gateway_pid,
        service: PACED_SERVICE.to_owned(),
        paced: a.paced,
        fast: a.fast,
        fast_service: FAST_SERVICE.to_owned(),
        streams,
        threads: CLIENT_THREADS,
    })
    .map_err(|e| e.to_string())
}

fn run_claims(a: Claims) -> Result<(), String> {
    const SECONDS: u64 = 5;
    const SEED: u64 = 11;
    let goal = |url: String| Goal {
        url,
        key: Some(a.key.clone()),
    };
    claims::measure(&ClaimsOptions {
        gateways: a.gateway.into_iter().map(goal).collect(),
        platform: a.platform,
        rate: a.rate,
        duration: Duration::from_secs(a.seconds.unwrap_or(SECONDS)),
        threads: CLIENT_THREADS,
        seed: SEED + a.rate as u64,
    })
    .map_err(|e| e.to_string())
}
