//! The tool as a process.

mod args;

use args::{
    Ask, Claims, Compare, Control, Faults, Path, Spread, TrouttrackLoad, TrouttrackLoadCmd,
};
use std::process::ExitCode;
use std::time::Duration;
use trouttrack_core::routing::{AnyPolicy, Scored, Weights};
use trouttrack_load::ask;
use trouttrack_load::claims::{self, ClaimsOptions};
use trouttrack_load::client::Goal;
use trouttrack_load::compare::{self, BenchOptions, CompareOptions, Mix, PolicyName, Shift};
use trouttrack_load::control::{self, ControlOptions};
use trouttrack_load::faults::{self, FaultsOptions};
use trouttrack_load::path::{PathOptions, measure};
use trouttrack_load::spread;

const DEFAULT_STREAMS: &[usize] = &[1, 64, 512];
const CLIENT_THREADS: usize = 2;
const PACED_SERVICE: &str = "paced";
const FAST_SERVICE: &str = "fast";

fn main() -> ExitCode {
    let result = match TrouttrackLoad::from_env_or_exit().subcommand {
        TrouttrackLoadCmd::Ask(a) => run_ask(&a),
        TrouttrackLoadCmd::Path(a) => run_path(a),
        TrouttrackLoadCmd::Claims(a) => run_claims(a),
        TrouttrackLoadCmd::Faults(a) => run_faults(a),
        TrouttrackLoadCmd::Compare(a) => run_compare(&a),
        TrouttrackLoadCmd::Control(a) => run_control(a),
        TrouttrackLoadCmd::Spread(a) => run_spread(&a),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("trouttrack_load: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_spread(a: &Spread) -> Result<(), String> {
    let seed = a.seed.unwrap_or(1);
    println!("{}\n{}", spread::table(seed), spread::confirmations(seed));
    match &a.report {
        Some(file) => spread::write_report(file, seed).map_err(|e| e.to_string()),
        None => Ok(()),
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

fn run_faults(a: Faults) -> Result<(), String> {
    let goal = |url: String| Goal {
        url,
        key: Some(a.key.clone()),
    };
    let tally = faults::run(&FaultsOptions {
        gateways: a.gateway.into_iter().map(goal).collect(),
        engines: a.engine,
        plains: a.plain,
        platform: a.platform,
        ledgers: a.ledger,
        requests: a.requests,
        rate: a.rate,
        seed: a.seed,
    })
    .map_err(|e| e.to_string())?;
    println!("{tally}");
    match tally.kept() {
        true => Ok(()),
        false => Err("a promise was broken".to_owned()),
    }
}

fn list<T: std::str::FromStr>(given: Option<&str>, default: &str) -> Result<Vec<T>, String> {
    let wrong = |word: &str| format!("`{word}` cannot be read");
    given
        .unwrap_or(default)
        .split(',')
        .map(|word| word.trim().parse().map_err(|_| wrong(word)))
        .collect()
}

fn compare_options(a: &Compare) -> Result<CompareOptions, String> {
    const ALL: &str = "trouttrack,oracle,random,round-robin,least-outstanding,two-choices";
    const SEEDS: &str = "11,12,13,14,15";
    const SECONDS: u64 = 300;
    let mix = Mix::by_name(&a.fleet).ok_or("the fleet must be umurage or ferry")?;
    let lasts = Duration::from_secs(a.seconds.unwrap_or(SECONDS));
    let mut bench = BenchOptions::default();
    if let Some(n) = a.engines {
        bench.engines = vec![bench.engines[0]; n.max(1)];
    }
    bench.gateways = a.gateways.unwrap_or(bench.gateways).max(1);
    bench.report_lag = a
        .report_lag_ms
        .map_or(bench.report_lag, Duration::from_millis);
    bench.lost = a.lose_engine.then_some((0, lasts / 2));
    let settings = &mut bench.settings;
    settings.growth_quantile = a.growth_quantile.unwrap_or(settings.growth_quantile);
    settings.look_ahead = a.look_ahead.unwrap_or(settings.look_ahead);
    settings.urgent_reserve = a.urgent_reserve.unwrap_or(settings.urgent_reserve);
    if let Some(given) = &a.weights {
        let [running, fill, backlog] = list::<f64>(Some(given), "")?[..] else {
            return Err("--weights takes three numbers".to_owned());
        };
        let weights = Weights {
            running,
            fill,
            backlog,
            ..Weights::default()
        };
        settings.policy = AnyPolicy::Scored(Scored { weights });
    }
    Ok(CompareOptions {
        mix,
        load: a.load.unwrap_or(0.9),
        seeds: list(a.seeds.as_deref(), SEEDS)?,
        policies: list::<PolicyName>(a.policies.as_deref(), ALL)?,
        lasts,
        shift: Shift {
            longer: a.longer.map(|times| (lasts / 2, times)),
            flood: a.flood,
        },
        bench,
    })
}

fn run_compare(a: &Compare) -> Result<(), String> {
    let o = compare_options(a)?;
    let (capacity, compared) = compare::compare(&o);
    let headline = compare::headline(&compared, o.mix);
    println!(
        "{} at {} of {capacity:.2} requests/s, seeds {:?}, medians",
        o.mix.name, o.load, o.seeds
    );
    print!("{}", compare::table(&o, &compared));
    println!("\nleast to most over the seeds");
    print!("{}", compare::spread(&o, &compared));
    for c in &compared {
        let mut others: Vec<f64> = c.runs.iter().map(|r| r.others_first_p99_ms).collect();
        others.sort_by(f64::total_cmp);
        println!(
            "{}: lookups of the other organisations, first token p99 {:.1} ms",
            c.policy.as_str(),
            others[others.len() / 2]
        );
    }
    if let Some(file) = &a.json {
        compare::write_json(file, &o, capacity, &compared, headline).map_err(|e| e.to_string())?;
    }
    if let Some(file) = &a.report {
        compare::write_report(file, &o, capacity, &compared, headline)
            .map_err(|e| e.to_string())?;
    }
    match headline {
        Some(h) => println!("{h}"),
        None => println!("no headline: it takes trouttrack and a baseline"),
    }
    Ok(())
}

fn run_control(a: Control) -> Result<(), String> {
    const CHANGES: usize = 30;
    const IDLE: u64 = 10;
    let options = ControlOptions {
        admin: a.admin,
        key: a.key,
        platform: a.platform,
        pids: a.pid,
        changes: a.changes.unwrap_or(CHANGES),
        idle: Duration::from_secs(a.idle.unwrap_or(IDLE)),
    };
    let system = actix_rt::System::new();
    let c = system
        .block_on(control::measure(&options))
        .map_err(|e| e.to_string())?;
    println!(
        "{} in_force_p50_ms={:.0} in_force_p99_ms={:.0} platform_calls_per_s={:.2} calls_per_change={:.1} \
         bytes_per_s_per_vm={:.0} bytes_per_change_per_vm={:.0} cpu_percent_per_vm={:.2} cpu_ms_per_change={:.1} rss_mb_per_vm={:.1}",
        a.label,
        c.in_force_p50.as_secs_f64() * 1e3,
        c.in_force_p99.as_secs_f64() * 1e3,
        c.calls_per_s,
        c.calls_per_change,
        c.bytes_per_s,
        c.bytes_per_change,
        c.cpu_percent,
        c.cpu_per_change.as_secs_f64() * 1e3,
        c.rss as f64 / 1e6,
    );
    Ok(())
}
