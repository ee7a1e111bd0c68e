//! The engine: sequences, the batch, one step at a time.

use crate::memory::{CacheEvent, Memory};
use crate::settings::EngineSettings;
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};
use std::collections::BTreeSet;
use std::time::Duration;
use trouttrack_core::prefix::BLOCK_TOKENS;

new_key_type! {
    /// Key of a sequence in one engine.
    pub struct SequenceKey;
}

/// A sequence to run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Submit {
    /// Class; 0 is the most urgent.
    pub priority: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Chained hashes of the prompt's whole blocks.
    pub prefix: Vec<u64>,
    /// Tokens that it will write; the model knows, the outside does not.
    pub output_tokens: u64,
}

/// A sequence that waits or runs.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// What was submitted.
    pub submit: Submit,
    /// Tokens written so far.
    pub written: u64,
    /// How often it lost its memory.
    pub preemptions: u32,
    arrival: u64,
    prefill_left: u64,
    private: u64,
    shared: usize,
}

impl Sequence {
    /// Tokens that it holds in memory while it runs.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.submit.prompt_tokens + self.written
    }
}

/// What one step did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepOutput {
    /// How long the step took.
    pub took: Duration,
    /// Sequences that wrote one token each.
    pub wrote: Vec<SequenceKey>,
    /// Sequences that ended with this step.
    pub finished: Vec<SequenceKey>,
    /// Sequences that lost their memory and wait again.
    pub preempted: Vec<SequenceKey>,
    /// Sequences that outgrew the whole memory and were dropped.
    pub aborted: Vec<SequenceKey>,
}

/// An engine's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Sequences in the batch.
    pub running: usize,
    /// Sequences that wait.
    pub waiting: usize,
    /// Tokens of memory that running sequences hold.
    pub used_tokens: u64,
    /// Tokens of memory there are.
    pub capacity_tokens: u64,
    /// Preemptions since the start.
    pub preemptions: u64,
}

/// A continuously batching engine.
///
/// # Examples
///
/// ```
/// use trouttrack_engine::{Engine, EngineSettings, Submit};
/// let mut engine = Engine::new(EngineSettings::default());
/// let submit = Submit { prompt_tokens: 100, output_tokens: 2, ..Submit::default() };
/// let key = engine.submit(submit);
/// assert_eq!(engine.step().wrote, [key]);
/// assert_eq!(engine.step().finished, [key]);
/// ```
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    memory: Memory,
    sequences: SlotMap<SequenceKey, Sequence>,
    waiting: BTreeSet<(u8, u64, SequenceKey)>,
    running: Vec<SequenceKey>,
    arrivals: u64,
    preemptions: u64,
}

impl Engine {
    /// An idle engine.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            memory: Memory::new(settings.blocks),
            sequences: SlotMap::with_key(),
            waiting: BTreeSet::new(),
            running: Vec::new(),
            arrivals: 0,
            preemptions: 0,
        }
    }

    /// Its size and pace.
    #[must_use]
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Puts a sequence among the waiting.
    pub fn submit(&mut self, submit: Submit) -> SequenceKey {
        self.arrivals += 1;
        let (priority, arrival) = (submit.priority, self.arrivals);
        let key = self.sequences.insert(Sequence {
            submit,
            written: 0,
            preemptions: 0,
            arrival,
            prefill_left: 0,
            private: 0,
            shared: 0,
        });
        self.waiting.insert((priority, arrival, key));
        key
    }

    /// Drops a sequence, wherever it is.
    pub fn cancel(&mut self, key: SequenceKey) {
        if let Some(i) = self.running.iter().position(|k| *k == key) {
            self.running.remove(i);
            self.release(key);
        }
        if let Some(s) = self.sequences.remove(key) {
            self.waiting.remove(&(s.submit.priority, s.arrival, key));
        }
    }

    /// Changes a sequence's class.
    pub fn set_priority(&mut self, key: SequenceKey, priority: u8) {
        let Some(s) = self.sequences.get_mut(key) else {
            return;
        };
        let was = (s.submit.priority, s.arrival, key);
        s.submit.priority = priority;
        if self.waiting.remove(&was) {
            self.waiting.insert((priority, was.1, key));
        }
    }

    /// A sequence that has not finished.
    #[must_use]
    pub fn sequence(&self, key: SequenceKey) -> Option<&Sequence> {
        self.sequences.get(key)
    }

    /// Whether nothing waits or runs.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.sequences.is_empty()
    }

    /// Its load now.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running.len(),
            waiting: self.waiting.len(),
            used_tokens: self.memory.in_use() * BLOCK_TOKENS,
            capacity_tokens: self.settings.capacity_tokens(),
            preemptions: self.preemptions,
        }
    }

    /// Cache events since the last call.
    pub fn drain_cache_events(&mut self) -> Vec<CacheEvent> {
        self.memory.drain_events()
    }

    /// Runs one step of the batch.
    pub fn step(&mut self) -> StepOutput {
        let mut out = StepOutput::default();
        self.admit(&mut out);
        let prefilled = self.prefill();
        self.decode(&mut out);
        out.took = self.settings.step_base
            + self.settings.step_per_sequence * out.wrote.len() as u32
            + self.settings.per_prefill_token * prefilled as u32;
        for key in out.finished.iter().chain(&out.aborted) {
            self.sequences.remove(*key);
        }
        let sequences = &self.sequences;
        self.running.retain(|k| sequences.contains_key(*k));
        out
    }

    /// Moves waiting sequences into the batch while they fit.
    fn admit(&mut self, out: &mut StepOutput) {
        while self.running.len() < self.settings.max_batch {
            let Some(&(_, _, key)) = self.waiting.first() else {
                return;
            };
            if self.load_prompt(key) {
                self.waiting.pop_first();
                self.running.push(key);
            } else if self.running.is_empty() {
                // Not even alone does it fit: it can never run.
                self.waiting.pop_first();
                out.aborted.push(key);
            } else {
                return;
            }
        }
    }

    /// Takes the memory that a sequence needs to start; all of it or none.
    fn load_prompt(&mut self, key: SequenceKey) -> bool {
        let s = &self.sequences[key];
        let blocks = s.tokens() / BLOCK_TOKENS + 1;
        let hits = self.memory.cached_prefix(&s.submit.prefix);
        let shared = s.submit.prefix.len().min(blocks as usize);
        // Cached blocks that others use need no room; the rest may.
        if self.memory.available() < blocks.saturating_sub(hits as u64) {
            return false;
        }
        let hashes = s.submit.prefix[..shared].to_vec();
        let tokens = s.tokens();
        for (taken, hash) in hashes.iter().enumerate() {
            if !self.memory.take_cached(*hash) {
                self.give_shared(&hashes[..taken]);
                return false;
            }
        }
        let private = blocks - shared as u64;
        for taken in 0..private {
            if !self.memory.take_private() {
                self.memory.give_private(taken);
                self.give_shared(&hashes);
                return false;
            }
        }
        let s = &mut self.sequences[key];
        s.private = private;
        s.shared = shared;
        s.prefill_left = tokens.saturating_sub(hits as u64 * BLOCK_TOKENS);
        true
    }

    fn give_shared(&mut self, hashes: &[u64]) {
        for hash in hashes {
            self.memory.give_cached(*hash);
        }
    }

    /// Prefills prompts up to the chunk; returns the tokens prefilled.
    fn prefill(&mut self) -> u64 {
        let mut budget = self.settings.prefill_chunk;
        for key in &self.running {
            let s = &mut self.sequences[*key];
            let part = s.prefill_left.min(budget);
            s.prefill_left -= part;
            budget -= part;
        }
        self.settings.prefill_chunk - budget
    }

    /// Every sequence whose prompt is loaded writes one token.
    fn decode(&mut self, out: &mut StepOutput) {
        let batch = self.running.clone();
        for key in batch {
            let ready = self
                .sequences
                .get(key)
                .is_some_and(|s| s.prefill_left == 0 && (s.private + s.shared as u64) > 0);
            if !ready || !self.grow(key, out) {
                continue;
            }
            let s = &mut self.sequences[key];
            s.written += 1;
            out.wrote.push(key);
            if s.written >= s.submit.output_tokens {
                out.finished.push(key);
                self.release(key);
            }
        }
    }

    /// Makes room for one more token, at another sequence's cost if need be.
    fn grow(&mut self, key: SequenceKey, out: &mut StepOutput) -> bool {
        loop {
            let s = &self.sequences[key];
            let held = (s.private + s.shared as u64) * BLOCK_TOKENS;
            if s.tokens() < held {
                return true;
            }
            if self.memory.take_private() {
                self.sequences[key].private += 1;
                return true;
            }
            let victim = self.victim();
            self.preempt(victim);
            out.preempted.push(victim);
            if victim == key {
                return false;
            }
        }
    }

    /// The least urgent, latest sequence of the batch.
    fn victim(&self) -> SequenceKey {
        let order = |k: &&SequenceKey| {
            let s = &self.sequences[**k];
            (s.submit.priority, s.arrival)
        };
        let holds = |k: &&SequenceKey| self.sequences[**k].private > 0;
        *self
            .running
            .iter()
            .filter(holds)
            .max_by_key(order)
            .expect("the sequence that grows is in the batch")
    }

    fn preempt(&mut self, key: SequenceKey) {
        self.release(key);
        self.running.retain(|k| *k != key);
        self.preemptions += 1;
        let s = &mut self.sequences[key];
        s.preemptions += 1;
        self.waiting.insert((s.submit.priority, s.arrival, key));
    }

    fn release(&mut self, key: SequenceKey) {
        let s = &mut self.sequences[key];
        let hashes = s.submit.prefix[..s.shared].to_vec();
        self.memory.give_private(s.private);
        s.private = 0;
        s.shared = 0;
        self.give_shared(&hashes);
    }
}
