//! Selects the readers that are ended where a bound is reached.

use super::table::{Buffer, Buffers};
use super::{Bound, EndedReader, MIN_STALL, Reservation};
use crate::{OrganisationId, Time};
use std::cmp::Reverse;

impl Buffers {
    /// Returns the organisation that holds the most bytes, if `own` held `held` bytes. Among
    /// equals it is `own`.
    pub(super) fn largest_organisation(&self, own: &str, held: usize) -> OrganisationId {
        let others = self.by_organisation.iter().filter(|(o, _)| *o != own);
        let largest = others.max_by(|a, b| a.1.cmp(b.1).then_with(|| b.0.cmp(a.0)));
        match largest {
            Some((organisation, bytes)) if *bytes > held => organisation.clone(),
            _ => own.to_owned(),
        }
    }

    /// Ends readers of an organisation, the longest stalled first, until their buffers and
    /// those of readers ended before amount to `needed` bytes.
    pub(super) fn end_readers(
        &mut self,
        now: Time,
        organisation: &str,
        needed: usize,
        bound: Bound,
        reservation: &mut Reservation,
    ) {
        let of_organisation = |b: &&mut Buffer| b.organisation == organisation;
        let mut ending = 0;
        let mut stalled = Vec::new();
        for (key, buffer) in &mut self.by_key {
            match buffer.stalled_since.filter(|_| of_organisation(&buffer)) {
                Some(_) if buffer.ended => ending += buffer.bytes,
                Some(since) if buffer.bytes > 0 => stalled.push((since, *key, buffer)),
                _ => {}
            }
        }
        stalled.sort_unstable_by_key(|(since, key, buffer)| (*since, Reverse(buffer.bytes), *key));
        for (since, key, buffer) in stalled {
            if ending >= needed {
                return;
            }
            let may_end_at = since + MIN_STALL;
            if may_end_at > now {
                let retry_at = reservation
                    .retry_at
                    .map_or(may_end_at, |at| at.min(may_end_at));
                reservation.retry_at = Some(retry_at);
                return;
            }
            buffer.ended = true;
            ending += buffer.bytes;
            reservation.ended.push(EndedReader {
                key,
                organisation: organisation.to_owned(),
                bytes: buffer.bytes,
                stalled_for: now.saturating_sub(since),
                bound,
            });
        }
    }
}
