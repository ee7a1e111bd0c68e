//! The stand-ins as a process.

mod args;

use args::{TrouttrackStandin, TrouttrackStandinCmd as Stand};
use std::process::ExitCode;
use std::time::Duration;
use trouttrack_engine::{EngineSettings, LengthDraw};
use trouttrack_standin::engine::EngineOptions;
use trouttrack_standin::{StandInError, engine, plain, platform};

fn engine_options(a: &args::Engine) -> EngineOptions {
    let d = EngineOptions::default();
    let micros =
        |given: Option<u64>, default: Duration| given.map_or(default, Duration::from_micros);
    let millis =
        |given: Option<u64>, default: Duration| given.map_or(default, Duration::from_millis);
    EngineOptions {
        engine: EngineSettings {
            blocks: a.blocks.unwrap_or(d.engine.blocks),
            max_batch: a.max_batch.unwrap_or(d.engine.max_batch),
            step_base: micros(a.step_us, d.engine.step_base),
            step_per_sequence: micros(a.step_per_sequence_us, d.engine.step_per_sequence),
            per_prefill_token: micros(a.per_prefill_token_us, d.engine.per_prefill_token),
            prefill_chunk: d.engine.prefill_chunk,
        },
        lengths: LengthDraw {
            median: a.median_tokens.unwrap_or(d.lengths.median),
            ..d.lengths
        },
        report_lag: millis(a.report_lag_ms, d.report_lag),
        event_lag: millis(a.event_lag_ms, d.event_lag),
        lose_every: a.lose_every.unwrap_or(d.lose_every),
        checks_fence: !a.no_fence,
        weight_fetch: millis(a.weight_fetch_ms, d.weight_fetch),
        workers: a.workers.unwrap_or(d.workers),
        phase: micros(a.phase_us, d.phase),
        seed: a.seed.unwrap_or(d.seed),
        ledger: a.ledger.clone(),
    }
}

async fn run(stand: Stand) -> Result<(), StandInError> {
    let served = match stand {
        Stand::Engine(a) => {
            let running = engine::start(a.listen, engine_options(&a))?;
            println!("engine http://{}", running.addr);
            running.serve().await
        }
        Stand::Plain(a) => {
            let delay = Duration::from_millis(a.delay_ms.unwrap_or(2));
            let running = plain::start_with_ledger(a.listen, &a.name, delay, a.ledger.as_deref())?;
            println!("plain http://{}", running.addr);
            running.serve().await
        }
        Stand::Platform(a) => {
            let lag = Duration::from_millis(a.vm_lag_ms.unwrap_or(2000));
            let running = platform::start(a.listen, platform::Rates::default(), lag)?;
            println!("platform http://{}", running.addr);
            running.serve().await
        }
    };
    served.map_err(|e| StandInError::Usage(e.to_string()))
}

fn main() -> ExitCode {
    let args = TrouttrackStandin::from_env_or_exit();
    match actix_rt::System::new().block_on(run(args.subcommand)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trouttrack_standin: {e}");
            ExitCode::FAILURE
        }
    }
}
