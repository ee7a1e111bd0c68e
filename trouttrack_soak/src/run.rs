//! One run: a fleet, callers and faults, and what came of it.

use crate::bed::Bed;
use crate::callers::{Call, Callers};
use crate::check::{Evidence, Finding, check};
use crate::faults::{Faults, History};
use crate::plan::{Plan, Size};
use crate::vm::Vm;
use serde::Serialize;
use std::cell::RefCell;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// What is run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// The front's program.
    pub program: PathBuf,
    /// Where settings and logs are kept, in a folder a seed.
    pub dir: PathBuf,
    /// What everything is drawn from.
    pub seed: u64,
    /// How large the run is.
    pub size: Size,
    /// Whether promises about times are checked.
    pub timed: bool,
}

/// What came of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The seed.
    pub seed: u64,
    /// Things done.
    pub acts: usize,
    /// Requests.
    pub calls: usize,
    /// Requests that got a whole answer of success.
    pub served: usize,
    /// Requests that were told that they have not run.
    pub not_run: usize,
    /// Callers that were disconnected because they did not read.
    pub readers_ended: usize,
    /// The most bytes that a VM said it kept.
    pub most_kept: usize,
    /// Broken promises.
    pub findings: Vec<Finding>,
}

/// How often engines that have ended are replaced: soon enough that a request that ends
/// them always finds one.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// A run could not be made.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SoakError {
    /// A file, port or process cannot be had.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// No size has this name.
    #[error("no size is named {0}: {names}", names = Size::NAMES.join(", "))]
    Size(String),
}

/// Makes a run on the current thread.
///
/// # Errors
///
/// A file, port or process cannot be had.
pub async fn run(options: &SoakOptions) -> Result<Outcome, SoakError> {
    let dir = empty_dir(options)?;
    let plan = Plan::draw(options.seed, options.size);
    let acts = plan.steps.len();
    write_plan(&dir, &plan)?;
    let bed = Bed::start(options.size, &plan, &options.program, &dir).await?;
    let processes = run_processes(&bed);
    let (calls, history) = ask_under_faults(options, &bed, plan).await;
    let evidence = Evidence::collect(&bed, calls, history, options.timed);
    processes.iter().for_each(JoinHandle::abort);
    Ok(outcome(options.seed, acts, &evidence))
}

/// The folder of a seed. Logs of an earlier run of the same seed would be taken
/// for this one's, so they are removed.
fn empty_dir(options: &SoakOptions) -> io::Result<PathBuf> {
    let dir = options.dir.join(options.seed.to_string());
    if dir.exists() {
        fs::remove_dir_all(&dir)?;
    }
    fs::create_dir_all(&dir)?;
    Ok(dir)
}

fn write_plan(dir: &Path, plan: &Plan) -> io::Result<()> {
    let lines: String = plan.steps.iter().map(|s| format!("{s:?}\n")).collect();
    fs::write(dir.join("plan.txt"), lines)
}

fn run_processes(bed: &Bed) -> Vec<JoinHandle<()>> {
    let run = |vm: &Rc<Vm>| {
        let vm = Rc::clone(vm);
        actix_rt::spawn(async move {
            if let Err(e) = Rc::clone(&vm).run().await {
                eprintln!("{}: {e}", vm.name);
            }
        })
    };
    bed.vms.iter().map(run).collect()
}

/// Lets callers ask while the plan is carried out. Returns what they were told,
/// and what was disturbed when.
async fn ask_under_faults(
    options: &SoakOptions,
    bed: &Rc<Bed>,
    plan: Plan,
) -> (Vec<Call>, History) {
    let history = Rc::new(RefCell::new(History::default()));
    let callers = Callers::new(Rc::clone(bed));
    let balancing = actix_rt::spawn(Rc::clone(bed).balance());
    let watching = actix_rt::spawn(Rc::clone(bed).watch_kept());
    let asking = start_callers(&callers, options);
    let began = Instant::now();
    let (history_of, asking_too) = (Rc::clone(&history), Rc::clone(&callers));
    let faults = Faults::new(Rc::clone(bed), history_of, asking_too, options.seed);
    let replacing = actix_rt::spawn(replace_ended(Rc::clone(bed)));
    let disturbing = actix_rt::spawn(faults.carry_out(plan));
    tokio::time::sleep_until(began + options.size.lasts).await;
    callers.end();
    wait_for_callers(asking).await;
    callers.passing().await;
    watching.abort();
    disturbing.abort();
    replacing.abort();
    balancing.abort();
    let history = history.borrow().clone();
    (callers.calls(), history)
}

/// Puts other engines in the place of those that have ended, for as long as it runs.
async fn replace_ended(bed: Rc<Bed>) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        for member in bed.upstreams.ended() {
            if let Err(e) = bed.upstreams.replace(&bed.store, &member).await {
                eprintln!("{}: not replaced: {e}", member.upstream.id);
            }
        }
    }
}

fn start_callers(callers: &Rc<Callers>, options: &SoakOptions) -> Vec<JoinHandle<()>> {
    (0..options.size.callers)
        .map(|n| actix_rt::spawn(Rc::clone(callers).run(n, options.seed)))
        .collect()
}

async fn wait_for_callers(asking: Vec<JoinHandle<()>>) {
    for caller in asking {
        if let Err(e) = caller.await {
            eprintln!("a caller ended early: {e}");
        }
    }
}

fn outcome(seed: u64, acts: usize, evidence: &Evidence) -> Outcome {
    let calls = &evidence.calls;
    Outcome {
        seed,
        acts,
        calls: calls.len(),
        served: calls.iter().filter(|c| c.is_served()).count(),
        not_run: calls.iter().filter(|c| c.told_not_run()).count(),
        readers_ended: evidence.ended_readers.len(),
        most_kept: evidence
            .kept
            .iter()
            .filter_map(|k| k.most)
            .max()
            .unwrap_or(0),
        findings: check(evidence),
    }
}
