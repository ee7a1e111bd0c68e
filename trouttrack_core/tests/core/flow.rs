//! VMs that each decide by what the others have reported, before engines that they share.

mod ask;
mod engines;

pub(crate) use ask::Ask;
pub(crate) use engines::{CAPACITY_TOKENS, Engine, Engines};

use crate::support::{placed, settings, spec};
use engines::{Run, Seen};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::{Conditions, UpstreamUse};
use trouttrack_core::routing::Weights;
use trouttrack_core::world::{AdmissionSettings, Decision, RequestKey, World, WorldSettings};

pub(crate) const STEP: Duration = Duration::from_millis(20);

/// A placement.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) at: Time,
    pub(crate) ask: Ask,
    pub(crate) upstream: String,
    /// Predicted time from the submission to the first token.
    pub(crate) predicted: Duration,
    /// Time from the submission to the first token, once it has arrived.
    pub(crate) first_token: Option<Duration>,
}

/// A VM and what it may do.
#[derive(Debug)]
pub(crate) struct Vm {
    pub(crate) world: World,
    domain: &'static str,
    /// Whether its reports and those to it are lost.
    pub(crate) cut_off: bool,
    /// Whether it does nothing at all.
    pub(crate) paused: bool,
    asks: HashMap<RequestKey, (Ask, Time)>,
    placements: HashMap<RequestKey, usize>,
}

#[derive(Debug)]
struct Report {
    due: Time,
    vm: usize,
    uses: Vec<UpstreamUse>,
    conditions: Conditions,
}

/// Settings of a flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    pub(crate) weights: Weights,
    pub(crate) admission: AdmissionSettings,
    /// Interval of reports, and their age on arrival.
    pub(crate) report_interval: Duration,
    pub(crate) seed: u64,
}

/// VMs, engines and the reports under way.
#[derive(Debug)]
pub(crate) struct Flow {
    pub(crate) now: Time,
    pub(crate) vms: Vec<Vm>,
    pub(crate) engines: Engines,
    pub(crate) placements: Vec<Placement>,
    /// Requests refused, by class.
    pub(crate) refused: HashMap<u8, usize>,
    settings: Settings,
    reports: VecDeque<Report>,
    reported_at: Time,
}

impl Flow {
    pub(crate) fn new(settings: Settings, engines: Engines, domains: &[&'static str]) -> Self {
        let mut flow = Self {
            now: Duration::from_secs(1),
            vms: Vec::new(),
            engines,
            placements: Vec::new(),
            refused: HashMap::new(),
            settings,
            reports: VecDeque::new(),
            reported_at: Time::ZERO,
        };
        domains.iter().for_each(|domain| flow.start_vm(domain));
        flow
    }

    /// Starts a VM that knows nothing but the upstreams.
    pub(crate) fn start_vm(&mut self, domain: &'static str) {
        let mut cfg = WorldSettings {
            failure_domain: domain.into(),
            placed_fill: 1.15,
            urgent_reserve: 0.1,
            growth_quantile: 0.5,
            admission: self.settings.admission,
            seed: self.settings.seed * 1000 + self.vms.len() as u64,
            ..settings("trouttrack")
        };
        cfg.policy = cfg.policy.weighted(self.settings.weights);
        let mut world = World::new(cfg);
        let engines = self.engines.iter();
        world.configure(
            engines
                .map(|(id, e)| spec(id, e.domain, CAPACITY_TOKENS, 24))
                .collect(),
        );
        self.vms.push(Vm {
            world,
            domain,
            cut_off: false,
            paused: false,
            asks: HashMap::new(),
            placements: HashMap::new(),
        });
        let count = self.vms.len();
        for vm in &mut self.vms {
            vm.world.set_fleet_size(count);
        }
    }

    pub(crate) fn submit(&mut self, vm: usize, ask: Ask) {
        let now = self.now;
        let vm = &mut self.vms[vm];
        let key = vm.world.submit(now, ask.submission(now));
        vm.asks.insert(key, (ask, now));
    }

    /// Advances engines, reports and VMs by one step.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.run_engines();
        self.report();
        for i in 0..self.vms.len() {
            if !self.vms[i].paused {
                self.decide(i);
            }
        }
    }

    fn run_engines(&mut self) {
        let now = self.now;
        for engine in self.engines.values_mut() {
            for (run, seen) in engine.advance(now) {
                let vm = &mut self.vms[run.vm];
                match seen {
                    Seen::Tokens(tokens, sample) => {
                        vm.world.progress(run.key, tokens);
                        vm.world.observe(now, run.key, sample);
                        let placement = &mut self.placements[vm.placements[&run.key]];
                        let since = now - vm.asks[&run.key].1;
                        placement.first_token.get_or_insert(since);
                    }
                    Seen::End => {
                        let tokens = Some(run.output_tokens);
                        vm.world.record_end(now, run.key, false, tokens);
                    }
                }
            }
        }
    }

    /// Takes reports of all VMs at the same time, and delivers those of one interval before.
    fn report(&mut self) {
        let now = self.now;
        while self.reports.front().is_some_and(|report| report.due <= now) {
            let report = self.reports.pop_front().expect("just seen");
            self.deliver(&report);
        }
        if now < self.reported_at + self.settings.report_interval {
            return;
        }
        self.reported_at = now;
        for (i, vm) in self.vms.iter_mut().enumerate() {
            if vm.paused || vm.cut_off {
                continue;
            }
            let mut conditions = vm.world.conditions(now);
            conditions.rates = vm.world.due_local_rates(now);
            self.reports.push_back(Report {
                due: now + self.settings.report_interval,
                vm: i,
                uses: vm.world.local_uses(now),
                conditions,
            });
        }
    }

    fn deliver(&mut self, report: &Report) {
        let (name, domain) = (format!("vm{}", report.vm), self.vms[report.vm].domain);
        for (i, vm) in self.vms.iter_mut().enumerate() {
            if i == report.vm || vm.cut_off || vm.paused {
                continue;
            }
            let is_local = vm.domain == domain;
            let world = &mut vm.world;
            world.record_peer_uses(self.now, &name, domain, &report.uses);
            world.record_peer_conditions(self.now, &name, is_local, &report.conditions);
        }
    }

    fn decide(&mut self, i: usize) {
        let now = self.now;
        let vm = &mut self.vms[i];
        let decisions = vm.world.tick(now);
        for (key, upstream) in placed(&decisions) {
            let (ask, since) = vm.asks[&key];
            let predicted = now - since + vm.world.prediction(key).first_token;
            let run = Run::new(i, key, (ask.prompt_tokens, ask.output_tokens), now);
            let engine = self.engines.get_mut(&upstream).expect("an engine");
            engine.accept(run);
            vm.placements.insert(key, self.placements.len());
            self.placements.push(Placement {
                at: now,
                ask,
                upstream,
                predicted,
                first_token: None,
            });
        }
        for decision in decisions {
            if let Decision::Refuse { request, .. } = decision {
                *self.refused.entry(vm.asks[&request].0.class).or_default() += 1;
            }
        }
    }
}
