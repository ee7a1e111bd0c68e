//! What the promises are held against.

use crate::bed::{Bed, Configs, Evacuated, Key, TurnedCold};
use crate::callers::Call;
use crate::faults::History;
use crate::vm::EndedBy;
use std::collections::HashMap;
use std::time::{Duration, Instant};
use trouttrack_core::ConfigVersion;
use trouttrack_platform_standin::Arrival;

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// The upstream.
    pub upstream: String,
    /// Where that stands.
    pub failure_domain: String,
    /// Its service.
    pub service: String,
    /// The version of its software.
    pub version: String,
    /// What reached it.
    pub arrival: Arrival,
}

impl Run {
    /// Whether the upstream began to work on it anew.
    #[must_use]
    pub fn is_anew(&self) -> bool {
        self.arrival.ran && self.arrival.continued_from.is_none()
    }
}

/// What a VM said that it kept for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kept {
    /// The most bytes for callers that read slowly; `None` if it said nothing.
    pub most: Option<usize>,
    /// The most connections of callers; `None` if it said nothing.
    pub connections: Option<usize>,
    /// How long its longest life was.
    pub longest_life: Duration,
}

fn kept(bed: &Bed) -> Vec<Kept> {
    let most = bed.most_kept.iter().zip(&bed.most_connections);
    let vms = bed.vms.iter().zip(most);
    let kept = vms.map(|(vm, (most, connections))| Kept {
        most: most.get(),
        connections: connections.get(),
        longest_life: vm.longest_life(),
    });
    kept.collect()
}

/// Everything that was seen in a run.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// What was asked and told.
    pub calls: Vec<Call>,
    /// What reached upstreams, by request.
    pub runs: HashMap<String, Vec<Run>>,
    /// When the store took that an upstream leaves.
    pub left: HashMap<String, Instant>,
    /// The failure domains that were evacuated.
    pub evacuations: Vec<Evacuated>,
    /// The upstreams that turned cold.
    pub cold: Vec<TurnedCold>,
    /// When each version was acknowledged.
    pub versions: Vec<(ConfigVersion, Instant)>,
    /// The keys that came and went.
    pub passing_keys: Vec<Key>,
    /// How the lives of each VM ended.
    pub lives: Vec<(String, Vec<EndedBy>)>,
    /// The requests whose callers were disconnected because they did not read.
    pub ended_readers: Vec<String>,
    /// What each VM said that it kept for such callers.
    pub kept: Vec<Kept>,
    /// What was done when.
    pub history: History,
    /// Whether promises about times are checked.
    pub timed: bool,
}

impl Evidence {
    /// Collects what a fleet's books and callers say.
    #[must_use]
    pub(crate) fn collect(bed: &Bed, calls: Vec<Call>, history: History, timed: bool) -> Self {
        let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
        let mut left = HashMap::new();
        for upstream in bed.upstreams.all() {
            if let Some(at) = bed.upstreams.left_at(&upstream.id) {
                left.insert(upstream.id.clone(), at);
            }
            for arrival in upstream.arrivals() {
                let of_request = runs.entry(arrival.id.clone()).or_default();
                of_request.push(Run {
                    upstream: upstream.id.clone(),
                    failure_domain: upstream.failure_domain.clone(),
                    service: upstream.service.clone(),
                    version: upstream.version.clone(),
                    arrival,
                });
            }
        }
        let configs: &Configs = &bed.configs.borrow();
        let lives = bed.vms.iter().map(|vm| (vm.name.clone(), vm.ended()));
        Self {
            calls,
            runs,
            left,
            evacuations: bed.evacuations.borrow().clone(),
            cold: bed.cold.borrow().clone(),
            versions: configs.acknowledged.clone(),
            passing_keys: configs.passing_keys.clone(),
            lives: lives.collect(),
            ended_readers: bed.vms.iter().flat_map(|vm| vm.ended_readers()).collect(),
            kept: kept(bed),
            history,
            timed,
        }
    }

    /// Whether the VM that was asked was left alone from `before` the request
    /// until its end.
    pub(super) fn left_alone(&self, call: &Call, before: Duration) -> bool {
        self.history
            .left_alone(call.vm, call.sent, before, call.ended)
    }

    /// What reached upstreams for a request.
    #[must_use]
    pub fn runs_of(&self, id: &str) -> &[Run] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    /// How often upstreams began to work on a request anew.
    #[must_use]
    pub fn times_run(&self, id: &str) -> usize {
        self.runs_of(id).iter().filter(|r| r.is_anew()).count()
    }
}
