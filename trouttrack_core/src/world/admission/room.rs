//! Memory that a request leaves free for more urgent ones.

use super::patience::patience;
use crate::Time;
use crate::upstream::prefill_seconds;
use crate::world::tables::{Submission, World};
use std::time::Duration;

/// Largest fraction of an upstream's memory that is kept free.
const MAX_ROOM: f64 = 0.5;

/// Largest reduction of a request's slack by prompts ahead, as a fraction of its objective.
/// Beyond it every upstream has a queue, which placing the request early would only lengthen.
const MAX_PROMPTS_AHEAD: f64 = 0.25;

/// Interval at which the memory of a service's upstreams is summed up. Doing so for each request
/// would cost too much.
const SUPPLY_INTERVAL: Duration = Duration::from_millis(100);

/// Memory of a service's upstreams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Supply {
    tokens: f64,
    /// Least backlog of an upstream in seconds of prefill.
    backlog: Option<f64>,
}

/// Fraction of an upstream's memory that a request leaves free.
///
/// `needs` holds the objective of each more urgent class and the fraction that it needs. The
/// overcommitted part of the memory is a queue at the upstream, so it shrinks by as much as
/// the urgent work needs.
fn left_free(needs: &[(Duration, f64)], objective: Duration, slack: Duration, over: f64) -> f64 {
    let wanted = |&(urgent, room): &(Duration, f64)| room * patience(objective, urgent, slack);
    let room = needs.iter().map(wanted).sum::<f64>().min(MAX_ROOM);
    room + room.min(over)
}

/// Room that a request leaves, and until when.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct KeptRoom {
    /// Fraction of an upstream's memory that stays free.
    pub(crate) fraction: f64,
    /// Fraction of the room for urgent requests that it leaves, from 0 to 1.
    pub(crate) patience: f64,
    /// Time until the request has to be placed.
    slack: Duration,
}

impl World {
    /// Room that a waiting request leaves now.
    pub(crate) fn kept_room(&self, now: Time, since: Time, s: &Submission) -> KeptRoom {
        let level = &s.service_level;
        if !self.settings.admission.keep_room || level.due == Time::MAX || s.prompt_tokens == 0 {
            return KeptRoom::default();
        }
        let Some(demand) = self.admission.service(&s.service) else {
            return KeptRoom::default();
        };
        let objective = level.due.saturating_sub(since);
        let mut needs = demand.urgent_needs(now, s.priority, self.admission.scale(now));
        needs.retain(|need| patience(objective, need.objective, Duration::MAX) > 0.0);
        if needs.is_empty() {
            return KeptRoom::default();
        }
        let supply = match demand.supply.get() {
            Some((at, supply)) if now.saturating_sub(at) < SUPPLY_INTERVAL => supply,
            _ => {
                let supply = self.supply(now, &s.service);
                demand.supply.set(Some((now, supply)));
                supply
            }
        };
        let slack = slack(level.time_left(now), objective, s.prompt_tokens, supply);
        let needs: Vec<_> = needs
            .iter()
            .map(|need| (need.objective, need.tokens / supply.tokens.max(1.0)))
            .collect();
        let patience_of = |(urgent, _): &(Duration, f64)| patience(objective, *urgent, slack);
        let overcommit = (self.settings.placed_fill - 1.0).max(0.0);
        KeptRoom {
            fraction: left_free(&needs, objective, slack, overcommit),
            patience: needs.iter().map(patience_of).fold(0.0, f64::max),
            slack,
        }
    }

    /// Time until which a request may wait for an upstream: a patient one until its slack is
    /// used up.
    pub(crate) fn wait_until(&self, now: Time, s: &Submission) -> Time {
        let room = self.kept_room(now, now, s);
        let extra = (now + room.slack).saturating_sub(s.deadline);
        s.deadline + extra.mul_f64(room.patience)
    }

    /// Memory of the upstreams that accept work.
    fn supply(&self, now: Time, service: &str) -> Supply {
        let Some(serving) = self.upstreams.serving(service) else {
            return Supply::default();
        };
        let rows = serving.keys.iter().filter_map(|k| self.upstreams.get(*k));
        let mut supply = Supply::default();
        for u in rows.filter(|u| u.is_available(now)) {
            let backlog = u.prefill_seconds(now);
            supply.tokens += u.spec.capacity_tokens as f64;
            supply.backlog = Some(supply.backlog.map_or(backlog, |b| b.min(backlog)));
        }
        supply
    }
}

/// Time until a request has to be placed: the remainder of its objective, less the prefill times
/// of the prompts ahead and of its own.
fn slack(left: Duration, objective: Duration, prompt_tokens: u64, supply: Supply) -> Duration {
    let own = Duration::from_secs_f64(prefill_seconds(prompt_tokens as f64));
    let ahead = Duration::from_secs_f64(supply.backlog.unwrap_or(0.0).max(0.0));
    let ahead = ahead.min(objective.mul_f64(MAX_PROMPTS_AHEAD));
    left.saturating_sub(own + ahead)
}
