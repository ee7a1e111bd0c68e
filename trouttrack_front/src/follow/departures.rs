//! What peers tell about upstreams that leave.

use super::self_reports::receive_announcement;
use super::upstreams::remove;
use crate::state::Front;
use std::rc::Rc;
use trouttrack_core::membership::{DepartureWord, ReportedDeparture};

/// Applies what a peer tells about upstreams that leave.
pub(crate) fn receive_departures(front: &Rc<Front>, peer: &str, told: &[ReportedDeparture]) {
    for told in told {
        if !front.upstreams.receive_departure(told) {
            continue;
        }
        match told.word {
            DepartureWord::Announced => receive_announcement(front, peer, &told.upstream),
            DepartureWord::Removed => {
                if let Some(gone) = front.upstreams.confirm_removal(&told.upstream) {
                    remove(front, &gone);
                }
            }
        }
    }
}
