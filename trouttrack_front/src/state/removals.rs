//! Removals of upstreams, and words about upstreams that leave, for and from other VMs.

use super::upstream::Upstream;
use super::upstreams::Upstreams;
use std::rc::Rc;
use trouttrack_core::membership::{DepartureWord, Removal, ReportedDeparture};
use trouttrack_core::upstream::Incarnation;
use trouttrack_telemetry::{events, record};

impl Upstreams {
    /// Handles the removal of an entry, and what it means to the VM that read it from the store,
    /// if that knows. Returns the upstream if it is removed from the table now rather than kept as
    /// lapsed.
    pub fn removed(&self, id: &str, meaning: Option<Removal>) -> Option<Rc<Upstream>> {
        self.deferred.borrow_mut().remove(id);
        let now = self.now();
        let meaning = meaning.or_else(|| self.removal_told(id));
        let mut entries = self.entries.borrow_mut();
        let was_lapsed = entries.is_lapsed(id);
        let gone = entries.removed(now, id, meaning);
        if !was_lapsed && entries.is_lapsed(id) {
            let judged_by = match meaning {
                Some(_) => "reader",
                None => "this VM",
            };
            record!(
                events::ENTRY_LAPSED,
                upstream = id,
                judged_by = judged_by,
                left_ms = entries
                    .lapse_left(now, id)
                    .map(|left| left.as_millis() as u64),
            );
        }
        let tells = gone && meaning.is_none() && entries.can_tell_removals(now);
        drop(entries);
        let removed = if gone { self.remove_known(id) } else { None };
        if let Some(upstream) = &removed {
            match meaning {
                Some(_) => self.settle(&upstream.incarnation()),
                None if tells => self.tell(&upstream.incarnation(), DepartureWord::Removed),
                None => {}
            }
        }
        removed
    }

    /// Records that an upstream has told this VM that it leaves, so that others learn of it.
    pub(crate) fn tell_announced(&self, upstream: &Incarnation) {
        self.tell(upstream, DepartureWord::Announced);
    }

    fn settle(&self, upstream: &Incarnation) {
        let mut words = self.departure_words.borrow_mut();
        words.settle(self.now(), upstream);
    }

    /// Answers a peer that cannot tell what the removal of an upstream's entry means, if this VM
    /// can.
    pub(crate) fn answer_unsure(&self, id: &str) {
        self.departure_words.borrow_mut().answer(self.now(), id);
    }

    fn tell(&self, upstream: &Incarnation, word: DepartureWord) {
        let mut words = self.departure_words.borrow_mut();
        words.insert(self.now(), upstream, word);
    }

    /// The words that heartbeats repeat.
    pub(crate) fn departure_words(&self) -> Vec<ReportedDeparture> {
        self.departure_words.borrow().to_report(self.now())
    }

    /// Whether there are words of this VM that have not been sent.
    pub(crate) fn has_departure_news(&self) -> bool {
        self.departure_words.borrow().has_news()
    }

    /// Removes and returns the words of this VM that have not been sent.
    pub(crate) fn take_departure_news(&self) -> Vec<ReportedDeparture> {
        self.departure_words.borrow_mut().take_news(self.now())
    }

    /// Records a peer's word. Returns whether it is news.
    pub(crate) fn receive_departure(&self, told: &ReportedDeparture) -> bool {
        let mut words = self.departure_words.borrow_mut();
        words.receive(self.now(), told)
    }

    /// Removes an upstream whose entry seemed to have lapsed, as a peer knows that it has not.
    /// Returns it if it was removed.
    pub(crate) fn confirm_removal(&self, upstream: &Incarnation) -> Option<Rc<Upstream>> {
        let known = self.get(&upstream.id)?;
        let is_lapsed =
            known.incarnation() == *upstream && self.entries.borrow().is_lapsed(&upstream.id);
        is_lapsed.then(|| self.removed(&upstream.id, Some(Removal::Final)))?
    }

    /// What the removal of an entry means by a peer's word, if one has told.
    fn removal_told(&self, id: &str) -> Option<Removal> {
        let known = self.get(id)?.incarnation();
        let words = self.departure_words.borrow();
        let is_told = words.is_removed(self.now(), &known);
        is_told.then_some(Removal::Final)
    }
}
