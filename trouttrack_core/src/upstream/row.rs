//! One upstream's row.

use super::backlog::seconds_to_load;
use super::circuit::{Circuit, CircuitState};
use super::incarnation::Incarnation;
use super::losses::Losses;
use super::rate_limit::RateLimit;
use super::refusals::Refusals;
use super::runs::{OwnRun, PeerUse, Teller, peak};
use super::shared_rate::{Allowance, Handovers, RateShare};
use super::spec::{Report, Spec};
use super::words::Word;
use crate::Time;
use crate::debug_asserts::assert_positive;
use crate::membership::UpstreamUse;
use crate::world::RequestKey;
use slotmap::new_key_type;

/// An upstream that is slow for this long or longer counts as wholly cold; the
/// users' upstreams are slow for some seconds after their start.
const COLD_FOR: Time = Time::from_secs(4);
/// The lowest limit that is gone by, in requests a second: only the answer to a request can
/// say that a limit has ended.
const TRIAL_RATE: f64 = 0.05;
/// The highest rate that is gone by, in requests a second: more than a VM can hand over.
const HIGHEST_RATE: f64 = 1e5;
/// How much others' memory may be taken to rise with the own.
const LARGEST_RISE: f64 = 1.5;

new_key_type! {
    /// Key of an upstream's row in this process.
    pub struct UpstreamKey;
}

/// One upstream as this process sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the configuration says.
    pub spec: Spec,
    /// The last report.
    pub report: Report,
    /// Hand-overs of this process that have not ended.
    pub own_running: usize,
    /// Where this process's running requests stand.
    pub(crate) own: Vec<OwnRun>,
    /// What peers last said of their use; those that use it.
    pub(crate) peers: Vec<PeerUse>,
    /// Whether peers tell their use, so that none told means none.
    hears_peers: bool,
    /// Hand-overs since the last report.
    pub since_report: usize,
    /// Ends since the last report.
    pub ended_since_report: usize,
    /// Whether others say that it leaves: it gets no new work until they take it back.
    pub leaving: bool,
    /// What it has said of itself.
    pub(crate) word: Word,
    /// Whether its failure domain is evacuated, so that it gets no new work until that
    /// is taken back. What runs there ends there.
    pub evacuated: bool,
    /// Its recent failures.
    pub circuit: Circuit,
    /// Requests that it has turned away.
    pub(crate) refusals: Refusals,
    /// What was handed over while its rate was bounded.
    pub(crate) handovers: Handovers,
    /// Connections that were lost with a request, here and at peers.
    pub(crate) losses: Losses,
    own_at_report: usize,
}

impl Upstream {
    /// A row of an upstream that nobody uses yet.
    pub(super) fn new(spec: Spec, hears_peers: bool) -> Self {
        Self {
            spec,
            report: Report::default(),
            own_running: 0,
            own: Vec::new(),
            peers: Vec::new(),
            hears_peers,
            since_report: 0,
            ended_since_report: 0,
            leaving: false,
            word: Word::default(),
            evacuated: false,
            circuit: Circuit::default(),
            refusals: Refusals::default(),
            handovers: Handovers::default(),
            losses: Losses::default(),
            own_at_report: 0,
        }
    }

    /// Takes in a report, unless it is older than the last one.
    pub fn take_report(&mut self, report: Report) {
        if report.at < self.report.at {
            return;
        }
        self.report = report;
        self.since_report = 0;
        self.ended_since_report = 0;
        self.own_at_report = self.own_running;
    }

    /// Requests running and waiting there now: own ones and those that peers
    /// told of. Without peers, the last report, plus own hand-overs since, less
    /// own ends since.
    #[must_use]
    pub fn estimated_running(&self) -> usize {
        if self.hears_peers {
            let peers: usize = self.peers.iter().map(|p| p.running).sum();
            return self.own_running + peers;
        }
        let reported = self.report.running + self.report.waiting;
        (reported + self.since_report)
            .saturating_sub(self.ended_since_report)
            .max(self.own_running)
    }

    /// The same, without calls of peers that have ended by now.
    fn running_at(&self, now: Time) -> usize {
        let is_plain = self.spec.capacity_tokens == 0;
        if !self.hears_peers || !is_plain {
            return self.estimated_running();
        }
        let peers: usize = self.peers.iter().map(|p| p.running_calls(now)).sum();
        self.own_running + peers
    }

    /// Tokens of memory in use by requests of other processes, by the last
    /// report.
    #[must_use]
    pub fn used_by_others(&self) -> f64 {
        let others = self.report.running.saturating_sub(self.own_at_report);
        let used = self.report.used_tokens as f64;
        used * others as f64 / self.report.running.max(1) as f64
    }

    /// The most tokens of memory that its running requests, and `new` if
    /// given, are forecast to need at any time to come.
    ///
    /// Own requests are followed one by one: each holds what it has written
    /// until then and gives all back when it ends. Peers tell their own peaks;
    /// without them, others' memory is taken to rise as the own does.
    #[must_use]
    pub fn peak_tokens(&self, new: Option<OwnRun>) -> f64 {
        let now = self.own_held();
        let peak = peak(&self.own, new);
        if self.hears_peers {
            let peers: f64 = self.peers.iter().map(PeerUse::expected_tokens).sum();
            return peak + peers;
        }
        let others = self.used_by_others();
        let rise = match now > 0.0 {
            true => (self.own_peak() / now).clamp(1.0, LARGEST_RISE),
            false => 1.0,
        };
        peak + others * rise
    }

    /// The forecast memory over capacity; zero for a plain service.
    #[must_use]
    pub fn fill_with(&self, new: Option<OwnRun>) -> f64 {
        match self.spec.capacity_tokens {
            0 => 0.0,
            capacity => self.peak_tokens(new) / capacity as f64,
        }
    }

    /// How long it takes from `now` on to load the prompts that this process and
    /// its peers have handed over.
    #[must_use]
    pub fn loading_seconds(&self, now: Time) -> f64 {
        let peers: f64 = self.peers.iter().map(|p| p.loading.tokens(now)).sum();
        seconds_to_load(self.own_loading() + peers)
    }

    /// Prompt tokens of own runs that have not begun to write. That is seen, not
    /// guessed: an engine that is slow, cold or busy keeps them for longer.
    pub(crate) fn own_loading(&self) -> f64 {
        let waiting = self.own.iter().filter(|r| !r.loaded);
        waiting.map(|r| r.tokens).sum()
    }

    /// How long it takes from `now` on to load the prompts that were handed over before
    /// the newest own one, of so many tokens.
    #[must_use]
    pub fn loading_before(&self, now: Time, newest: u64) -> Time {
        let newest = seconds_to_load(newest as f64);
        Time::from_secs_f64((self.loading_seconds(now) - newest).max(0.0))
    }

    /// The age of the oldest word of a peer that uses it.
    #[must_use]
    pub fn oldest_word(&self, now: Time) -> Option<Time> {
        let ages = self
            .peers
            .iter()
            .map(|p| now.saturating_sub(p.loading.at()));
        ages.max()
    }

    /// The most tokens that the own requests are forecast to hold.
    #[must_use]
    pub fn own_peak(&self) -> f64 {
        peak(&self.own, None)
    }

    /// The tokens that the own requests hold now.
    pub(crate) fn own_held(&self) -> f64 {
        self.own.iter().map(|r| r.tokens).sum()
    }

    /// How cold it still is after its start, from 1 to 0 (warm).
    #[must_use]
    pub fn coldness(&self, now: Time) -> f64 {
        let left = self.spec.warm_at.saturating_sub(now);
        (left.as_secs_f64() / COLD_FOR.as_secs_f64()).min(1.0)
    }

    /// Whether it is to get new work at `now`, by its own word and that of operators.
    #[must_use]
    pub fn wants_work(&self, now: Time) -> bool {
        self.stays() && self.word.wants_work(now)
    }

    /// The requests that it has said to take from all VMs together.
    #[must_use]
    pub fn named_limit(&self) -> RateLimit {
        self.word.rate_limit()
    }

    /// Whether nobody but itself says that it is to get no new work.
    fn stays(&self) -> bool {
        !self.leaving && !self.evacuated
    }

    /// Whether it may be given new work at `now`.
    #[must_use]
    pub fn open(&self, now: Time) -> bool {
        let trial = match self.circuit.state(now) {
            CircuitState::Closed => true,
            CircuitState::Open => false,
            CircuitState::HalfOpen => self.own_running == 0,
        };
        let peers = self.peers.iter().filter_map(|p| p.lost_at);
        let suspected = self.losses.suspected(now, peers);
        let wanted = self.wants_work(now) && self.refusals.allow(now);
        wanted && trial && !suspected && self.running_at(now) < self.spec.max_running
    }

    /// The requests a second that it takes from all VMs together, if they are bounded.
    #[must_use]
    pub fn bounded_rate(&self, now: Time) -> Option<f64> {
        let is_cold = self.spec.warm_at > now && self.spec.cold_rate > 0.0;
        let cold = is_cold.then_some(self.spec.cold_rate);
        let named = self.word.rate_limit().per_second();
        let named = named.map(|rate| rate.max(TRIAL_RATE));
        let lowest = cold.into_iter().chain(named).min_by(f64::total_cmp);
        lowest.map(|rate| rate.min(HIGHEST_RATE))
    }

    /// Whether one more request is within its bounded rate; `seed` differs from VM to VM.
    pub(crate) fn bears_one_more(
        &self,
        now: Time,
        share: RateShare,
        near: bool,
        seed: u64,
    ) -> bool {
        let Some(allowance) = self.allowance(now, share, near) else {
            return true;
        };
        allowance.admits(&self.handovers, now, &self.spec.id, seed)
    }

    /// The requests a second that the VMs of a share may hand over together, if its rate is
    /// bounded.
    pub(crate) fn shared_rate(&self, now: Time, share: RateShare, near: bool) -> Option<f64> {
        let allowance = self.allowance(now, share, near)?;
        Some(allowance.per_second)
    }

    fn allowance(&self, now: Time, share: RateShare, near: bool) -> Option<Allowance> {
        let part = if near { share.near } else { share.far };
        let rate = self.bounded_rate(now)?;
        Some(Allowance::of(rate, part, share.vms))
    }

    /// A request is handed over.
    pub(crate) fn given(&mut self, now: Time) {
        self.refusals.given();
        if self.bounded_rate(now).is_some() {
            self.handovers.given(now);
        }
    }

    /// When it may be given new work at the earliest, as far as is known; `None` if
    /// it leaves, or nobody knows when its failure domain is taken back.
    #[must_use]
    pub fn opens_at(&self, now: Time) -> Option<Time> {
        let wanted_at = self.word.wants_work_at(now).filter(|_| self.stays())?;
        let allowed_at = self.refusals.allow_at(now);
        Some(wanted_at.max(allowed_at).max(self.circuit.reopens_at(now)))
    }

    /// The life that it is in.
    pub(crate) fn life(&self) -> Incarnation {
        Incarnation::new(&self.spec.id, self.spec.born)
    }

    /// Peers tell their use from now on.
    pub(super) fn hear_peers(&mut self) {
        self.hears_peers = true;
    }

    /// Takes in what a peer says of its use.
    pub(crate) fn take_peer(&mut self, new: PeerUse) {
        self.forget_peer(&new.teller);
        self.peers.push(new);
    }

    /// A peer does not use it any more.
    pub(crate) fn forget_peer(&mut self, teller: &Teller) {
        self.peers.retain(|p| p.teller != *teller);
    }

    /// The use by this process and the peers of its failure domain, to be told in one.
    pub(crate) fn use_by_domain(&self, now: Time) -> UpstreamUse {
        let (mut running, mut peak) = (self.own_running, self.own_peak());
        let mut held = self.own_held();
        let mut loading = self.own_loading();
        for peer in self.peers.iter().filter(|p| p.near) {
            running += peer.running;
            peak += peer.peak_tokens;
            held += peer.held_tokens;
            loading += peer.loading.tokens(now);
        }
        UpstreamUse {
            upstream: self.spec.id.clone(),
            running: running as u32,
            peak_tokens: peak as u64,
            held_tokens: held as u64,
            loading_tokens: loading as u64,
            lost_ms: None,
            handovers: 0,
            recent_handovers: 0,
        }
    }

    pub(crate) fn add(&mut self, run: OwnRun) {
        self.own_running += 1;
        self.since_report += 1;
        self.own.push(run);
    }

    /// Adds a run whose prompt is loaded already.
    pub(crate) fn add_loaded(&mut self, run: OwnRun) {
        self.add(OwnRun {
            loaded: true,
            ..run
        });
    }

    pub(crate) fn own_run(&self, key: RequestKey) -> Option<OwnRun> {
        self.own.iter().find(|r| r.key == key).copied()
    }

    /// Takes what is new of an own run. Returns whether it has just begun to write.
    pub(crate) fn progress(&mut self, new: OwnRun) -> bool {
        let Some(run) = self.own.iter_mut().find(|r| r.key == new.key) else {
            return false;
        };
        let begins = new.loaded && !run.loaded;
        if begins {
            self.refusals.ran();
        }
        *run = OwnRun {
            loaded: new.loaded || run.loaded,
            ..new
        };
        begins
    }

    pub(crate) fn remove(&mut self, key: RequestKey) {
        assert_positive(self.own_running, "own_running");
        self.own_running -= 1;
        self.ended_since_report += 1;
        self.refusals.ended();
        self.own.retain(|r| r.key != key);
    }
}
