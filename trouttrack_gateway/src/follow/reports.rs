//! Asks engines for their load.

use crate::app::Shared;
use crate::dispatch::Reported;
use crate::request::{Clients, Target};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use trouttrack_core::membership::MarkSource;
use trouttrack_core::upstream::Report;

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

/// Asks each engine once an interval. One that does not answer is not asked
/// again until the last question has timed out.
pub async fn reports(shared: Arc<Shared>) {
    let clients = Clients::new(&shared.settings.upstream);
    let asked = Rc::new(RefCell::new(HashSet::new()));
    loop {
        for u in &shared.view().fleet.upstreams {
            if u.capacity_tokens == 0 || !asked.borrow_mut().insert(u.name.clone()) {
                continue;
            }
            let target = Target::from(u);
            let (shared, clients, asked) = (shared.clone(), clients.clone(), asked.clone());
            actix_rt::spawn(async move {
                ask(&shared, &clients, &target).await;
                asked.borrow_mut().remove(&target.name);
            });
        }
        tokio::time::sleep(shared.settings.upstream.report_interval).await;
    }
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
        report: Report {
            at: Duration::ZERO,
            running: body.running,
            waiting: body.waiting,
            used_tokens: body.used_tokens,
        },
        age: Duration::from_millis(body.age_ms),
        boot: body.boot,
    });
}
