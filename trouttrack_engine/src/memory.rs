//! Block memory with a prefix cache.

use crate::debug_asserts::assert_within;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheEventKind {
    /// The block can be shared from now on.
    Stored,
    /// The block is gone.
    Evicted,
}

/// One numbered cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; numbers have no gaps at the source.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The chained hash of the block.
    pub hash: u64,
}

#[derive(Clone, Copy, Debug)]
struct Cached {
    users: u32,
    last_used: u64,
}

/// Blocks: private ones, and cached ones that sequences share.
#[derive(Debug)]
pub(crate) struct Memory {
    total: u64,
    private: u64,
    cached: HashMap<u64, Cached>,
    idle: BTreeSet<(u64, u64)>,
    uses: u64,
    sequence: u64,
    events: Vec<CacheEvent>,
}

impl Memory {
    pub(crate) fn new(total: u64) -> Self {
        Self {
            total,
            private: 0,
            cached: HashMap::new(),
            idle: BTreeSet::new(),
            uses: 0,
            sequence: 0,
            events: Vec::new(),
        }
    }

    /// Blocks that are free or can be made free.
    pub(crate) fn available(&self) -> u64 {
        self.total - self.in_use()
    }

    /// Blocks that running sequences hold.
    pub(crate) fn in_use(&self) -> u64 {
        self.private + (self.cached.len() - self.idle.len()) as u64
    }

    /// How many of these blocks, from the first on, are cached.
    pub(crate) fn cached_prefix(&self, hashes: &[u64]) -> usize {
        let hit = |h: &&u64| self.cached.contains_key(h);
        hashes.iter().take_while(hit).count()
    }

    /// Takes a private block, evicting an idle cached one if need be.
    pub(crate) fn take_private(&mut self) -> bool {
        if !self.make_room() {
            return false;
        }
        self.private += 1;
        assert_within(self.in_use(), self.total);
        true
    }

    /// Gives private blocks back.
    pub(crate) fn give_private(&mut self, blocks: u64) {
        self.private -= blocks;
    }

    /// Takes a share of a cached block, storing it first if it is not there.
    pub(crate) fn take_cached(&mut self, hash: u64) -> bool {
        if let Some(c) = self.cached.get_mut(&hash) {
            if c.users == 0 {
                self.idle.remove(&(c.last_used, hash));
            }
            c.users += 1;
            return true;
        }
        if !self.make_room() {
            return false;
        }
        let last_used = self.uses;
        let users = 1;
        self.cached.insert(hash, Cached { users, last_used });
        self.note(CacheEventKind::Stored, hash);
        true
    }

    /// Gives back a share of a cached block; it stays until evicted.
    pub(crate) fn give_cached(&mut self, hash: u64) {
        self.uses += 1;
        let Some(c) = self.cached.get_mut(&hash) else {
            return;
        };
        c.users -= 1;
        c.last_used = self.uses;
        if c.users == 0 {
            self.idle.insert((c.last_used, hash));
        }
    }

    fn make_room(&mut self) -> bool {
        if self.private + (self.cached.len() as u64) < self.total {
            return true;
        }
        let Some((_, hash)) = self.idle.pop_first() else {
            return false;
        };
        self.cached.remove(&hash);
        self.note(CacheEventKind::Evicted, hash);
        true
    }

    fn note(&mut self, kind: CacheEventKind, hash: u64) {
        self.sequence += 1;
        let sequence = self.sequence;
        self.events.push(CacheEvent {
            sequence,
            kind,
            hash,
        });
    }

    pub(crate) fn drain_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }
}
