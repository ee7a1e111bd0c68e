//! What upstreams say of themselves, in the tables that decisions are made on.

use super::tables::World;
use crate::upstream::{Incarnation, Said, ToldLimit, Word};
use crate::{Time, UpstreamId};

impl World {
    /// Gives a row what its upstream has said, so that a row that was made anew knows it.
    pub(super) fn refresh_word(&mut self, id: &str) {
        let Some(row) = self
            .upstreams
            .key(id)
            .and_then(|k| self.upstreams.get_mut(k))
        else {
            return;
        };
        row.word = self.words.of(&row.life());
    }

    /// Takes in what an upstream says of itself, whatever carried it. Returns whether that
    /// is news.
    pub fn hear(&mut self, now: Time, life: &Incarnation, said: Said) -> bool {
        let news = self.words.hear(now, life, said);
        self.refresh_word(&life.id);
        news
    }

    /// The limits of upstreams that other VMs are to hear of; see [`Words::limits`].
    #[must_use]
    pub fn limits(&self, now: Time, changed_after: Time) -> Vec<ToldLimit> {
        self.words.limits(now, changed_after)
    }

    /// What a life of an upstream has said of itself.
    #[must_use]
    pub fn word_of(&self, life: &Incarnation) -> Word {
        self.words.of(life)
    }

    /// Forgets what was said long ago by upstreams that are listed no more.
    pub fn forget_words(&mut self, now: Time) {
        let upstreams = &self.upstreams;
        let listed = |life: &Incarnation| {
            let row = upstreams.get_by_id(&life.id);
            row.is_some_and(|u| u.spec.born == life.born)
        };
        self.words.forget(now, listed);
    }

    /// Gives every row what its upstream has said.
    pub(super) fn refresh_words(&mut self) {
        let ids: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .map(|(_, u)| u.spec.id.clone())
            .collect();
        ids.iter().for_each(|id| self.refresh_word(id));
    }
}
