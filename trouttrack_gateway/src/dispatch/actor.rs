//! The actor.

use super::messages::{
    Configure, Ended, ListRequests, ListUpstreams, PeerUses, Progress, Refusal, Reported,
    SetLeaving, Submit, Summarise, Summary, Tick, Uses, Why,
};
use super::ticket::{Placement, Ticket};
use crate::metrics::Metrics;
use actix::{Actor, AsyncContext, Context, Handler, MessageResult};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use trouttrack_core::membership::UpstreamUse;
use trouttrack_core::request::RetryBudget;
use trouttrack_core::upstream::CircuitState;
use trouttrack_core::world::{Decision, NotRunReason, RequestKey, World, WorldSettings};
use trouttrack_core::{Time, UpstreamId};
use trouttrack_rpc::{RequestInfo, RequestState, UpstreamInfo};
use trouttrack_telemetry::events;

/// How often requests whose callers went away are taken out of the queue.
const SWEEP: Duration = Duration::from_millis(100);

type Reply = oneshot::Sender<Result<Placement, Refusal>>;

/// Owns the tables; nothing else touches them.
#[derive(Debug)]
pub struct Dispatcher {
    name: String,
    world: World,
    started: Instant,
    tick: Duration,
    tick_due: bool,
    retry_ratio: f64,
    waiting: HashMap<RequestKey, Reply>,
    boots: HashMap<UpstreamId, String>,
    budgets: HashMap<String, RetryBudget>,
    metrics: Arc<Metrics>,
}

impl Dispatcher {
    /// A dispatcher with empty tables.
    #[must_use]
    pub fn new(
        name: String,
        settings: WorldSettings,
        tick: Duration,
        retry_ratio: f64,
        started: Instant,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            name,
            world: World::new(settings),
            started,
            tick,
            tick_due: false,
            retry_ratio,
            waiting: HashMap::new(),
            boots: HashMap::new(),
            budgets: HashMap::new(),
            metrics,
        }
    }

    fn now(&self) -> Time {
        self.started.elapsed()
    }

    /// Runs the systems once, soon; several messages share one run.
    fn tick_soon(&mut self, cx: &mut Context<Self>) {
        if !self.tick_due {
            self.tick_due = true;
            cx.notify(Tick);
        }
    }

    fn run_systems(&mut self, cx: &mut Context<Self>) {
        self.tick_due = false;
        let now = self.now();
        for decision in self.world.tick(now) {
            self.carry_out(cx, decision);
        }
        self.metrics.queued.set(self.world.queued() as i64);
    }

    fn carry_out(&mut self, cx: &mut Context<Self>, decision: Decision) {
        match decision {
            Decision::Place { request, upstream } => {
                let placement = Placement {
                    boot: self.boots.get(&upstream).cloned(),
                    ticket: Ticket::new(cx.address(), request),
                    upstream,
                };
                self.answer(request, Ok(placement));
            }
            Decision::Refuse {
                request,
                reason,
                retry_after,
            } => {
                let refusal = Refusal {
                    reason,
                    retry_after,
                };
                self.answer(request, Err(refusal));
                let now = self.now();
                self.world.record_end(now, request, false, None);
            }
        }
    }

    /// A reply that nobody waits for is dropped, and its ticket with it.
    fn answer(&mut self, request: RequestKey, answer: Result<Placement, Refusal>) {
        if let Some(reply) = self.waiting.remove(&request) {
            drop(reply.send(answer));
        }
    }

    /// Takes requests whose callers went away out of the queue.
    fn sweep(&mut self) {
        let gone: Vec<RequestKey> = self
            .waiting
            .iter()
            .filter(|(_, reply)| reply.is_closed())
            .map(|(key, _)| *key)
            .collect();
        let now = self.now();
        for key in gone {
            self.waiting.remove(&key);
            self.world.record_end(now, key, false, None);
        }
    }

    fn spend_retry(&mut self, service: &str, again: bool) -> bool {
        let ratio = self.retry_ratio;
        let budget = self
            .budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(ratio));
        if again {
            budget.try_retry()
        } else {
            budget.first_attempt();
            true
        }
    }
}

impl Actor for Dispatcher {
    type Context = Context<Self>;

    fn started(&mut self, cx: &mut Context<Self>) {
        cx.set_mailbox_capacity(1 << 16);
        cx.run_interval(self.tick, Self::run_systems);
        cx.run_interval(SWEEP, |this, _| this.sweep());
    }
}

impl Handler<Submit> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: Submit, cx: &mut Context<Self>) {
        if !self.spend_retry(&msg.submission.service, msg.again) {
            events::RETRY_BUDGET.log(format_args!(
                "request={} service={}",
                msg.submission.id, msg.submission.service
            ));
            let refusal = Refusal {
                reason: NotRunReason::RetryBudget,
                retry_after: Duration::from_secs(1),
            };
            drop(msg.reply.send(Err(refusal)));
            return;
        }
        let now = self.now();
        let key = self.world.submit(now, msg.submission);
        self.waiting.insert(key, msg.reply);
        self.tick_soon(cx);
    }
}

impl Handler<Ended> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: Ended, cx: &mut Context<Self>) {
        let now = self.now();
        if msg.refused {
            self.world.record_refusal(now, msg.key);
        }
        self.world.record_end(now, msg.key, msg.fault, msg.tokens);
        if self.world.queued() > 0 {
            self.tick_soon(cx);
        }
    }
}

impl Handler<Configure> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: Configure, cx: &mut Context<Self>) {
        self.world.configure(msg.specs);
        self.world.set_evacuations(msg.evacuations);
        self.tick_soon(cx);
    }
}

impl Handler<Reported> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: Reported, cx: &mut Context<Self>) {
        let mut report = msg.report;
        report.at = self.now().saturating_sub(msg.age);
        self.world.report(&msg.upstream, report);
        self.boots.insert(msg.upstream, msg.boot);
        if self.world.queued() > 0 {
            self.tick_soon(cx);
        }
    }
}

impl Handler<SetLeaving> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: SetLeaving, cx: &mut Context<Self>) {
        self.world.set_leaving(&msg.upstream, msg.leaving);
        self.tick_soon(cx);
    }
}

impl Handler<Tick> for Dispatcher {
    type Result = ();

    fn handle(&mut self, _: Tick, cx: &mut Context<Self>) {
        self.run_systems(cx);
    }
}

impl Handler<ListRequests> for Dispatcher {
    type Result = Vec<RequestInfo>;

    fn handle(&mut self, msg: ListRequests, _: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let info = |row: &trouttrack_core::world::Request| {
            let upstream = row.upstream.and_then(|k| self.world.upstreams.get(k));
            RequestInfo {
                id: row.submission.id.clone(),
                gateway: self.name.clone(),
                organisation: row.submission.organisation.clone(),
                service: row.submission.service.clone(),
                priority: row.submission.priority,
                state: match upstream {
                    None => RequestState::Queued,
                    Some(_) => RequestState::Running,
                },
                upstream: upstream.map(|u| u.spec.id.clone()),
                age: now.saturating_sub(row.since),
            }
        };
        let rows = self.world.requests();
        rows.take(msg.most).map(|(_, row)| info(row)).collect()
    }
}

impl Handler<ListUpstreams> for Dispatcher {
    type Result = Vec<UpstreamInfo>;

    fn handle(&mut self, _: ListUpstreams, _: &mut Context<Self>) -> Self::Result {
        let now = self.now();
        let info = |u: &trouttrack_core::upstream::Upstream| {
            let capacity = u.spec.capacity_tokens.max(1) as f64;
            let reported = !u.report.at.is_zero();
            UpstreamInfo {
                name: u.spec.id.clone(),
                gateway: self.name.clone(),
                own_running: u.own_running as u32,
                running: u.estimated_running() as u32,
                fill: u.peak_tokens(None) / capacity,
                leaving: u.leaving || u.evacuated,
                circuit: match u.circuit.state(now) {
                    CircuitState::Closed => "closed",
                    CircuitState::Open => "open",
                    CircuitState::HalfOpen => "half-open",
                }
                .to_owned(),
                report_age: reported.then(|| now.saturating_sub(u.report.at)),
            }
        };
        let rows = self.world.upstreams.iter();
        rows.map(|(_, u)| info(u)).collect()
    }
}

impl Handler<Why> for Dispatcher {
    type Result = MessageResult<Why>;

    fn handle(&mut self, msg: Why, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.world.explanations.decisions_for(&msg.0).to_vec())
    }
}

impl Handler<Uses> for Dispatcher {
    type Result = Vec<UpstreamUse>;

    fn handle(&mut self, _: Uses, _: &mut Context<Self>) -> Self::Result {
        self.world.local_uses(self.now())
    }
}

impl Handler<PeerUses> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: PeerUses, _: &mut Context<Self>) {
        let now = self.now();
        self.world
            .record_peer_uses(now, &msg.peer, &msg.failure_domain, &msg.uses);
    }
}

impl Handler<Progress> for Dispatcher {
    type Result = ();

    fn handle(&mut self, msg: Progress, _: &mut Context<Self>) {
        self.world.progress(msg.key, msg.tokens);
    }
}

impl Handler<Summarise> for Dispatcher {
    type Result = Summary;

    fn handle(&mut self, _: Summarise, _: &mut Context<Self>) -> Summary {
        let queued = self.world.queued();
        let all = self.world.requests().count();
        Summary {
            queued,
            running: all - queued,
        }
    }
}
