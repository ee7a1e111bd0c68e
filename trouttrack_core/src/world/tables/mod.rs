//! Scheduling state: requests, upstreams, learned lengths, explanations.

mod lifecycle;
mod request;
mod settings;
mod upstreams;

pub use request::{Decision, NotRunReason, Request, RequestKey, Submission};
pub use settings::{MOVED_FILL, PLACED_FILL, WorldSettings};

use super::admission::{Admission, Claims};
use super::limits::Limits;
use super::peers::PeerHeartbeats;
use super::queue::FairQueue;
use super::rates::RateEstimates;
use super::reachability::ReachabilityChange;
use crate::Time;
use crate::length::LengthTable;
use crate::routing::ExplanationTable;
use crate::upstream::{RateShare, ReachabilityTable, UpstreamKey, UpstreamNotices, UpstreamTable};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::SlotMap;
use std::collections::{BTreeSet, HashSet};

/// Number of requests whose decisions are kept.
const MAX_EXPLANATIONS: usize = 4096;

/// Scheduling state of one gateway.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::world::{AdmissionSettings, World, WorldSettings};
/// let settings = WorldSettings {
///     failure_domain: "a".into(),
///     ageing: Duration::from_secs(5),
///     max_wait: Duration::from_secs(30),
///     max_queued: 100,
///     urgent_reserve: 0.1,
///     growth_quantile: 0.8,
///     placed_fill: 1.0,
///     moved_fill: 1.0,
///     look_ahead: 512,
///     policy: "trouttrack".parse().unwrap(),
///     admission: AdmissionSettings::default(),
///     seed: 1,
/// };
/// let mut world = World::new(settings);
/// assert!(world.tick(Duration::ZERO).is_empty());
/// ```
#[derive(Debug)]
pub struct World {
    /// All upstreams.
    pub upstreams: UpstreamTable,
    /// Learned output lengths.
    pub lengths: LengthTable,
    /// Explanations of the latest decisions.
    pub explanations: ExplanationTable,
    pub(crate) settings: WorldSettings,
    pub(crate) requests: SlotMap<RequestKey, Request>,
    pub(crate) queue: FairQueue,
    pub(crate) deadlines: BTreeSet<(Time, RequestKey)>,
    /// Waiting requests that continue a stream.
    pub(crate) continuing: Vec<RequestKey>,
    pub(crate) limits: Limits,
    pub(crate) admission: Admission,
    pub(crate) claims: Claims,
    /// Waiting requests that left room to more urgent ones in this round.
    pub(crate) held_back: HashSet<RequestKey>,
    pub(crate) peers: PeerHeartbeats,
    pub(crate) rate_estimates: RateEstimates,
    /// Status reported by upstreams about themselves; each row holds a copy of its own.
    pub(crate) notices: UpstreamNotices,
    /// Upstreams that refused connections; each row holds a copy of its own.
    pub(crate) reachability: ReachabilityTable,
    /// Changes of `reachability` that have not been returned to the caller yet.
    pub(crate) reachability_changes: Vec<ReachabilityChange>,
    /// Time of the last message from a peer in this VM's failure domain.
    pub(crate) local_peer_seen_at: Option<Time>,
    /// Since when departures of upstreams cannot be learned, because the store is silent.
    pub(crate) store_silent_since: Option<Time>,
    /// Share that this VM has of a rate limit common to all VMs; none until it is set.
    pub(crate) rate_share: RateShare,
    /// Upstreams that hold memory for no running request.
    pub(crate) retaining: HashSet<UpstreamKey>,
    pub(crate) rng: SmallRng,
    pub(crate) refused: Vec<Decision>,
}

impl World {
    /// Creates an empty state.
    #[must_use]
    pub fn new(settings: WorldSettings) -> Self {
        Self {
            upstreams: UpstreamTable::default(),
            lengths: LengthTable::default(),
            explanations: ExplanationTable::new(MAX_EXPLANATIONS),
            queue: FairQueue::new(settings.ageing, settings.max_wait),
            rate_share: RateShare::NONE,
            continuing: Vec::new(),
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            requests: SlotMap::with_key(),
            deadlines: BTreeSet::new(),
            limits: Limits::default(),
            admission: Admission::default(),
            claims: Claims::default(),
            held_back: HashSet::new(),
            peers: PeerHeartbeats::default(),
            rate_estimates: RateEstimates::default(),
            notices: UpstreamNotices::default(),
            reachability: ReachabilityTable::default(),
            reachability_changes: Vec::new(),
            local_peer_seen_at: None,
            store_silent_since: None,
            retaining: HashSet::new(),
            refused: Vec::new(),
        }
    }
}
