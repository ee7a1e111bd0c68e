//! Asks engines for their load.

use crate::app::Shared;
use crate::claims::Alive;
use crate::dispatch::{Reported, Uses};
use crate::request::{Clients, Target};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use trouttrack_config::fleet::Upstream;
use trouttrack_core::membership::{MarkSource, UpstreamUse, watches};
use trouttrack_core::upstream::LoadReport;

/// An engine's load report.
#[derive(Debug, Deserialize)]
struct LoadBody {
    boot: String,
    age_ms: u64,
    leaving: bool,
    running: usize,
    waiting: usize,
    used_tokens: u64,
}

/// Gateways that watch each engine; the others hear from them what matters.
const WATCHERS: usize = 3;
/// The interval grows with the engines, by one more for this many.
const ENGINES_PER_INTERVAL: usize = 256;
/// Engines that are used and not watched are asked this much less often: only
/// their incarnation has to be known.
const USED: u32 = 20;

/// When each engine was last asked, and which questions are open.
#[derive(Default)]
struct Asked {
    last: HashMap<String, Instant>,
    open: HashSet<String>,
}

/// Asks engines for their load for as long as the process lives. One that does
/// not answer is not asked again until the last question has timed out.
pub async fn reports(shared: Arc<Shared>) {
    let clients = Clients::new(&shared.settings.upstream);
    let asked = Rc::new(RefCell::new(Asked::default()));
    loop {
        let view = shared.view();
        let interval = interval(&shared, view.fleet.upstreams.len());
        let alive = shared.alive();
        let used = shared.dispatcher.send(Uses).await.unwrap_or_default();
        for u in &view.fleet.upstreams {
            if u.capacity_tokens == 0 || !due(&shared, u, &alive, &used, interval, &asked) {
                continue;
            }
            let target = Target::from(u);
            let (shared, clients, asked) = (shared.clone(), clients.clone(), asked.clone());
            actix_rt::spawn(async move {
                ask(&shared, &clients, &target).await;
                asked.borrow_mut().open.remove(&target.name);
            });
        }
        tokio::time::sleep(interval).await;
    }
}

fn interval(shared: &Shared, engines: usize) -> Duration {
    let times = 1 + engines / ENGINES_PER_INTERVAL;
    shared.settings.upstream.report_interval * times as u32
}

/// Whether an engine is to be asked now; notes that it is.
fn due(
    shared: &Shared,
    u: &Upstream,
    alive: &[Alive],
    used: &[UpstreamUse],
    interval: Duration,
    asked: &RefCell<Asked>,
) -> bool {
    let mut asked = asked.borrow_mut();
    if asked.open.contains(&u.name) {
        return false;
    }
    let others = alive.iter().map(|a| a.name.as_str());
    let watched = watches(&u.name, &shared.settings.vm.name, others, WATCHERS);
    let due = match asked.last.get(&u.name) {
        None => true,
        Some(_) if watched => true,
        Some(last) => {
            let is_used = used.iter().any(|x| x.upstream == u.name);
            is_used && last.elapsed() >= interval * USED
        }
    };
    if due {
        asked.last.insert(u.name.clone(), Instant::now());
        asked.open.insert(u.name.clone());
    }
    due
}

async fn ask(shared: &Shared, clients: &Clients, target: &Target) {
    let url = format!("{}/v1/load", target.url);
    let answered = async {
        let mut res = clients.pooled.get(url).send().await.ok()?;
        res.json::<LoadBody>().await.ok()
    };
    // A report that does not come is simply older; the circuit judges failures.
    let Ok(Some(body)) = tokio::time::timeout(clients.limits.probe, answered).await else {
        return;
    };
    shared.observe_leaving(&target.name, body.leaving, MarkSource::Upstream);
    shared.dispatcher.do_send(Reported {
        upstream: target.name.clone(),
        report: LoadReport {
            at: Duration::ZERO,
            running: body.running,
            waiting: body.waiting,
            used_tokens: body.used_tokens,
        },
        age: Duration::from_millis(body.age_ms),
        boot: body.boot,
    });
}
