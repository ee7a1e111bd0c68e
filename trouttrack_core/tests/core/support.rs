//! Builders of a small [`World`] for the tests.

use std::time::Duration;
use trouttrack_core::length::LengthKey;
use trouttrack_core::upstream::{LoadReport, UpstreamSpec};
use trouttrack_core::world::{
    AdmissionSettings, Decision, RequestKey, ServiceLevel, Submission, World, WorldSettings,
};

pub(crate) const SERVICE: &str = "s";

pub(crate) fn settings(policy: &str) -> WorldSettings {
    WorldSettings {
        failure_domain: "a".into(),
        ageing: Duration::from_secs(5),
        max_wait: Duration::from_secs(30),
        max_queued: 1000,
        urgent_reserve: 0.2,
        growth_quantile: 0.8,
        placed_fill: 1.0,
        moved_fill: 1.0,
        look_ahead: 512,
        policy: policy.parse().unwrap(),
        admission: AdmissionSettings::default(),
        seed: 7,
    }
}

pub(crate) fn spec(
    id: &str,
    domain: &str,
    capacity_tokens: u64,
    max_running: usize,
) -> UpstreamSpec {
    UpstreamSpec {
        id: id.into(),
        failure_domain: domain.into(),
        services: vec![SERVICE.into()],
        capacity_tokens,
        max_running,
        warm_up_ends_at: Duration::ZERO,
        version: String::new(),
        born: 0,
        cold_rate: 0.0,
    }
}

pub(crate) fn world(policy: &str, specs: Vec<UpstreamSpec>) -> World {
    let mut world = World::new(settings(policy));
    world.configure(specs);
    world
}

pub(crate) fn submission(id: &str, organisation: &str, priority: u8) -> Submission {
    Submission {
        id: id.into(),
        organisation: organisation.into(),
        weight: 1.0,
        service: SERVICE.into(),
        length_key: LengthKey::new(SERVICE, "m", organisation),
        priority,
        prompt_tokens: 100,
        deadline: Duration::from_secs(1000),
        service_level: ServiceLevel::UNBOUNDED,
        max_running: None,
        avoid: Vec::new(),
        guessed_tokens: None,
        version: None,
        known_tokens: None,
    }
}

pub(crate) fn placed(decisions: &[Decision]) -> Vec<(RequestKey, String)> {
    let place = |d: &Decision| match d {
        Decision::Place { request, upstream } => Some((*request, upstream.clone())),
        Decision::Refuse { .. } => None,
    };
    decisions.iter().filter_map(place).collect()
}

pub(crate) fn report(at: Duration, running: usize, used_tokens: u64) -> LoadReport {
    LoadReport {
        at,
        running,
        waiting: 0,
        used_tokens,
    }
}
