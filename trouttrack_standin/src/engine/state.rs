//! The engine's streams and ledger, and the task that runs its steps.

use super::faults::{Armed, Fault, On};
use super::orders::OrderLog;
use super::settings::EngineOptions;
use crate::ledger::{LedgerFile, LedgerLine};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Instant;
use tokio::sync::Notify;
use trouttrack_engine::{CacheEvent, Engine, Load, SequenceKey, StepOutput, Submit};
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Load reports and cache events kept.
const KEPT: usize = 4096;

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(super) enum End {
    Stop,
    Length,
    Aborted,
    Cancelled,
}

/// One stream; readers attach to it.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) chat: bool,
    pub(super) generation: u64,
    pub(super) written: AtomicU64,
    pub(super) end: OnceLock<End>,
    pub(super) changed: Notify,
    pub(super) readers: AtomicUsize,
    /// Set by a restart: readers are cut off.
    pub(super) gone: AtomicBool,
    limit: u64,
    marker: String,
    key: SequenceKey,
}

/// One run in the engine's own books.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The stream id it was submitted under.
    pub stream: String,
    /// The caller's request, by the prompt's first words.
    pub marker: String,
    /// The generation.
    pub generation: u64,
    /// Tokens written.
    pub written: u64,
    /// Whether it ended by itself.
    pub finished: bool,
}

/// What the load face says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Changes when the engine is started again.
    pub boot: String,
    /// How old the report is, in milliseconds.
    pub age_ms: u64,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The load.
    #[serde(flatten)]
    pub load: Load,
}

#[derive(Debug)]
struct Inner {
    engine: Engine,
    boot: String,
    streams: HashMap<String, Arc<Stream>>,
    by_key: HashMap<SequenceKey, Arc<Stream>>,
    tombstones: HashSet<String>,
    ledger: Vec<Arc<Stream>>,
    faults: Armed,
    orders: OrderLog,
    history: VecDeque<(Instant, Load)>,
    events: VecDeque<(Instant, CacheEvent)>,
    leaving: bool,
}

/// A new completion, as far as the engine cares.
#[derive(Debug)]
pub(super) struct Intake {
    pub(super) id: String,
    pub(super) model: String,
    pub(super) chat: bool,
    pub(super) prompt: String,
    pub(super) priority: u8,
    pub(super) max_tokens: u64,
}

/// Why a completion is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NotTaken {
    Known,
    Fenced,
    Leaving,
}

/// What a cancel found.
#[derive(Debug, Serialize)]
pub(super) struct Cancelled {
    pub(super) boot: String,
    pub(super) ran: bool,
    pub(super) cancelled: bool,
}

/// The state of one engine stand-in.
#[derive(Debug)]
pub struct EngineState {
    pub(super) options: EngineOptions,
    inner: Mutex<Inner>,
    work: Notify,
    file: LedgerFile,
}

impl EngineState {
    pub(super) fn new(options: EngineOptions) -> Self {
        let inner = Inner {
            engine: Engine::new(options.engine),
            boot: Uuid::new_v4().to_string(),
            streams: HashMap::new(),
            by_key: HashMap::new(),
            tombstones: HashSet::new(),
            ledger: Vec::new(),
            faults: Armed::default(),
            orders: OrderLog::default(),
            history: VecDeque::new(),
            events: VecDeque::new(),
            leaving: false,
        };
        Self {
            file: LedgerFile::open(options.ledger.as_deref()),
            options,
            inner: Mutex::new(inner),
            work: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of the lock panics")
    }

    /// Arms a fault.
    pub fn arm(&self, fault: Fault) {
        self.lock().faults.arm(fault);
    }

    /// Disarms every fault.
    pub fn disarm(&self) {
        self.lock().faults.clear();
    }

    pub(super) fn strike(&self, on: On) -> Option<Fault> {
        self.lock().faults.strike(on)
    }

    /// Says that it leaves, or stays after all.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Forgets every stream, as a crash and a new start would.
    pub fn restart(&self) {
        let mut inner = self.lock();
        inner.boot = Uuid::new_v4().to_string();
        inner.engine = Engine::new(self.options.engine);
        inner.by_key.clear();
        inner.tombstones.clear();
        for (_, s) in inner.streams.drain() {
            s.gone.store(true, Ordering::Release);
            s.changed.notify_waiters();
        }
    }

    /// Every run since the process started, restarts included.
    #[must_use]
    pub fn ledger(&self) -> Vec<LedgerEntry> {
        let inner = self.lock();
        let entry = |s: &Arc<Stream>| LedgerEntry {
            stream: s.id.clone(),
            marker: s.marker.clone(),
            generation: s.generation,
            written: s.written.load(Ordering::Acquire),
            finished: matches!(s.end.get(), Some(End::Stop | End::Length)),
        };
        inner.ledger.iter().map(entry).collect()
    }

    /// Whether nothing waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.lock().engine.is_idle()
    }

    /// What it holds by orders.
    #[must_use]
    pub fn orders(&self) -> OrderLog {
        self.lock().orders.clone()
    }

    pub(super) fn order(&self, order: super::Order) -> Option<bool> {
        let checks = self.options.checks_fence;
        self.lock().orders.take(order, checks)
    }

    pub(super) fn submit(&self, intake: Intake) -> Result<Arc<Stream>, NotTaken> {
        let mut inner = self.lock();
        if inner.streams.contains_key(&intake.id) {
            return Err(NotTaken::Known);
        }
        if inner.tombstones.contains(&intake.id) {
            return Err(NotTaken::Fenced);
        }
        if inner.leaving {
            return Err(NotTaken::Leaving);
        }
        let wanted = wanted_tokens(&intake.prompt, &self.options);
        let key = inner.engine.submit(Submit {
            priority: intake.priority,
            prompt_tokens: trouttrack_core::prefix::tokens_of(&intake.prompt),
            prefix: trouttrack_core::prefix::chain(&intake.prompt),
            output_tokens: wanted.min(intake.max_tokens),
        });
        let boot = xxh3_64_with_seed(inner.boot.as_bytes(), self.options.seed);
        let generation = xxh3_64_with_seed(intake.id.as_bytes(), boot) >> 11;
        let stream = Arc::new(Stream {
            marker: intake.prompt.chars().take(64).collect(),
            limit: intake.max_tokens,
            id: intake.id,
            model: intake.model,
            chat: intake.chat,
            generation,
            written: AtomicU64::new(0),
            end: OnceLock::new(),
            changed: Notify::new(),
            readers: AtomicUsize::new(0),
            gone: AtomicBool::new(false),
            key,
        });
        self.file.write(&LedgerLine {
            marker: &stream.marker,
            generation: stream.generation,
            ended: None,
        });
        inner.streams.insert(stream.id.clone(), Arc::clone(&stream));
        inner.by_key.insert(key, Arc::clone(&stream));
        inner.ledger.push(Arc::clone(&stream));
        self.work.notify_one();
        Ok(stream)
    }

    pub(super) fn stream(&self, id: &str) -> Option<Arc<Stream>> {
        self.lock().streams.get(id).cloned()
    }

    pub(super) fn boot(&self) -> String {
        self.lock().boot.clone()
    }

    /// Cancels a stream, or makes sure that its id never runs. With
    /// `only_unread` a stream that has a reader goes on.
    pub(super) fn cancel(&self, id: &str, only_unread: bool) -> Cancelled {
        let mut inner = self.lock();
        let boot = inner.boot.clone();
        let Some(stream) = inner.streams.get(id).cloned() else {
            let ran = false;
            let cancelled = inner.tombstones.insert(id.to_owned());
            return Cancelled {
                boot,
                ran,
                cancelled,
            };
        };
        let read = only_unread && stream.readers.load(Ordering::Acquire) > 0;
        let running = stream.end.get().is_none();
        if running && !read {
            inner.engine.cancel(stream.key);
            inner.by_key.remove(&stream.key);
            finish(&stream, End::Cancelled);
        }
        Cancelled {
            boot,
            ran: true,
            cancelled: running && !read,
        }
    }

    pub(super) fn set_priority(&self, id: &str, priority: u8) -> bool {
        let mut inner = self.lock();
        let Some(key) = inner.streams.get(id).map(|s| s.key) else {
            return false;
        };
        inner.engine.set_priority(key, priority);
        true
    }

    pub(super) fn abort(&self, stream: &Stream) {
        let mut inner = self.lock();
        inner.engine.cancel(stream.key);
        inner.by_key.remove(&stream.key);
        finish(stream, End::Aborted);
    }

    pub(super) fn report(&self) -> LoadReport {
        let mut inner = self.lock();
        let now = Instant::now();
        let load = inner.engine.load();
        inner.remember(now, load);
        let lag = self.options.report_lag;
        let old = inner
            .history
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= lag)
            .or_else(|| inner.history.front())
            .copied();
        let (at, load) = old.unwrap_or((now, load));
        LoadReport {
            boot: inner.boot.clone(),
            age_ms: now.duration_since(at).as_millis() as u64,
            leaving: inner.leaving,
            load,
        }
    }

    /// Cache events after a number: late, and with gaps if so set.
    pub(super) fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        let inner = self.lock();
        let lose = self.options.lose_every;
        inner
            .events
            .iter()
            .filter(|(at, _)| at.elapsed() >= self.options.event_lag)
            .map(|(_, e)| *e)
            .filter(|e| e.sequence > after && (lose == 0 || !e.sequence.is_multiple_of(lose)))
            .collect()
    }

    /// Runs one step, or none when idle. Its tokens are published later, when
    /// its time has passed.
    fn step(&self) -> Option<StepOutput> {
        let mut inner = self.lock();
        if inner.engine.is_idle() {
            return None;
        }
        let out = inner.engine.step();
        let now = Instant::now();
        let load = inner.engine.load();
        inner.remember(now, load);
        let events = inner.engine.drain_cache_events();
        for e in events {
            if inner.events.len() == KEPT {
                inner.events.pop_front();
            }
            inner.events.push_back((now, e));
        }
        Some(out)
    }

    fn publish(&self, out: &StepOutput) {
        for s in self.lock().publish(out) {
            let written = s.written.load(Ordering::Acquire);
            self.file.write(&LedgerLine {
                marker: &s.marker,
                generation: s.generation,
                ended: Some(written),
            });
            let full = written >= s.limit;
            finish(&s, if full { End::Length } else { End::Stop });
        }
    }
}

impl Inner {
    fn remember(&mut self, now: Instant, load: Load) {
        if self.history.len() == KEPT {
            self.history.pop_front();
        }
        self.history.push_back((now, load));
    }

    /// Tells the streams' readers what a step did; returns those that ended
    /// by themselves.
    fn publish(&mut self, out: &StepOutput) -> Vec<Arc<Stream>> {
        let mut ended = Vec::new();
        for key in &out.wrote {
            if let Some(s) = self.by_key.get(key) {
                s.written.fetch_add(1, Ordering::AcqRel);
            }
        }
        for key in &out.finished {
            ended.extend(self.by_key.remove(key));
        }
        for key in &out.aborted {
            if let Some(s) = self.by_key.remove(key) {
                finish(&s, End::Aborted);
            }
        }
        for key in &out.wrote {
            if let Some(s) = self.by_key.get(key) {
                s.changed.notify_waiters();
            }
        }
        ended
    }
}

fn finish(stream: &Stream, end: End) {
    // The first end stands.
    let _ = stream.end.set(end);
    stream.changed.notify_waiters();
}

/// How much the engine writes: what the prompt says in `[tokens=N]`, else a
/// draw by the prompt's text.
fn wanted_tokens(prompt: &str, options: &EngineOptions) -> u64 {
    let said = prompt
        .split_once("[tokens=")
        .and_then(|(_, rest)| rest.split_once(']'))
        .and_then(|(n, _)| n.parse().ok());
    said.unwrap_or_else(|| {
        let seed = xxh3_64_with_seed(prompt.as_bytes(), options.seed);
        options.lengths.draw(seed)
    })
}

/// Runs steps for as long as the process lives.
pub(super) async fn run_steps(state: Arc<EngineState>) {
    let mut due = Instant::now();
    loop {
        let Some(out) = state.step() else {
            state.work.notified().await;
            due = Instant::now() + state.options.phase;
            tokio::time::sleep_until(due.into()).await;
            continue;
        };
        if out.took.is_zero() {
            tokio::task::yield_now().await;
        } else {
            // Steps are due on a fixed grid, so that late timers do not add up.
            due += out.took;
            if due < Instant::now() {
                due = Instant::now();
            }
            tokio::time::sleep_until(due.into()).await;
        }
        state.publish(&out);
    }
}
