//! Estimates for the table of upstreams.

use super::observed::RowSamples;
use super::typical::Typical;
use crate::Time;
use crate::upstream::{UpstreamKey, UpstreamTable};

impl UpstreamTable {
    /// Gives a row without samples the rates of an unknown upstream of its service.
    pub(in crate::upstream) fn estimate_unknown(&mut self, key: UpstreamKey) {
        let row = &mut self.rows[key];
        let typical = row.spec.services.first().and_then(|s| self.typical.get(s));
        if let Some(typical) = typical
            && row.rates.is_unknown()
        {
            row.rates
                .update(Time::ZERO, &RowSamples::default(), typical);
        }
    }

    /// Estimates the rates of all upstreams. An upstream is compared with those of the first of
    /// its services.
    pub(crate) fn estimate_rates(&mut self, now: Time) {
        for (service, serving) in &self.by_service {
            let mut rows = Vec::with_capacity(serving.keys.len());
            for key in &serving.keys {
                let row = &mut self.rows[*key];
                if row.spec.services.first() == Some(service) {
                    rows.push((*key, row.rates.all(now)));
                }
            }
            let samples: Vec<RowSamples> = rows.iter().map(|(_, samples)| *samples).collect();
            let typical = Typical::of(now, &samples);
            for (key, samples) in rows {
                self.rows[key].rates.update(now, &samples, &typical);
            }
            self.typical.insert(service.clone(), typical);
        }
    }
}
