//! VMs, their settings and reports, and what they place.

use super::Ask;
use std::collections::HashMap;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::membership::{Conditions, UpstreamUse};
use trouttrack_core::routing::Weights;
use trouttrack_core::upstream::ReportedRate;
use trouttrack_core::world::{AdmissionSettings, RequestKey, World};

/// A placement.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) at: Time,
    pub(crate) submitted_at: Time,
    pub(crate) ask: Ask,
    pub(crate) vm: usize,
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
    pub(super) domain: &'static str,
    /// Whether its reports and those to it are lost.
    pub(crate) cut_off: bool,
    /// Whether it does nothing at all.
    pub(crate) paused: bool,
    pub(super) asks: HashMap<RequestKey, (Ask, Time)>,
    pub(super) placements: HashMap<RequestKey, usize>,
    pub(super) told_uses: Vec<UpstreamUse>,
}

#[derive(Debug)]
pub(super) struct Report {
    pub(super) due: Time,
    pub(super) vm: usize,
    pub(super) uses: Vec<UpstreamUse>,
    pub(super) rates: Vec<ReportedRate>,
    pub(super) domain_rates: Vec<ReportedRate>,
    pub(super) conditions: Conditions,
}

/// Settings of a flow.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Settings {
    pub(crate) weights: Weights,
    pub(crate) admission: AdmissionSettings,
    /// Interval of reports, and their age on arrival.
    pub(crate) report_interval: Duration,
    /// Whether VMs also report their use of engines as it changes, as load updates do.
    pub(crate) load_updates: bool,
    pub(crate) seed: u64,
}
