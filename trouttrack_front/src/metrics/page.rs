//! The text that is served at `/metrics`.

use crate::state::Front;

impl Front {
    /// Encodes all metrics, with the state of this moment.
    #[must_use]
    pub fn metrics_text(&self) -> Vec<u8> {
        let m = &self.metrics;
        m.set_buffers(&self.buffers);
        m.in_flight.set(self.lifecycle.in_flight() as i64);
        m.caller_connections.set(self.intake.open() as i64);
        m.store_calls.set(self.store.calls() as i64);
        let unreadable_objects = self.store.unreadable_objects();
        m.unreadable_objects.set(unreadable_objects as i64);
        m.connections.set(self.http.opened() as i64);
        m.lost_paths.set(self.paths.lost() as i64);
        m.text()
    }
}
