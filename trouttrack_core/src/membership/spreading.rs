//! How much of what is new goes where at once, and who asks for it when.
//!
//! The program goes by these figures, and so does the model that says how they hold in
//! larger fleets (`trouttrack_load spread`).

use std::ops::Range;
use std::time::Duration;

/// VMs that one VM answers at once with what no datagram holds. Each that has been is
/// another one that answers, so two at a time reach 2,000 VMs in seven rounds, and on a link
/// of 20 Mbit/s a round of 0.4 MB to both is over in a third of a second.
pub const ANSWERED_AT_ONCE: usize = 2;
/// The most changes of entries in one datagram, of some 60 bytes each.
pub const CHANGES_IN_DATAGRAM: usize = 100;
/// The most datagrams in answer to one question for news; whoever misses more asks again.
pub const NEWS_ANSWERS: usize = 4;
/// How long news may be late before a peer is asked for them, and again before the
/// next one is: watchers of other failure domains are up to their longest pause between two
/// watches ahead, and an answer takes a few milliseconds.
pub const NEWS_LATE: Duration = Duration::from_millis(250);
/// VMs of a failure domain that call the store for what all need, in the mean, each time that
/// lots are drawn: one of them may be slow or lost, and with three none is drawn once in
/// twenty. More each time would slow the store down for those that call already, and so bring
/// on the next time: in the model all of 2,000 VMs listed in the end.
pub const CALLERS: f64 = 3.0;
/// How long a VM that is not drawn to list waits for peers before it draws again.
pub const LISTS_AGAIN: Duration = Duration::from_secs(2);
/// The age of a confirmation at which a VM that watches the store renews it, in parts of the
/// age at which it has to be renewed: the others of its failure domain hear of it before
/// their turn.
pub const CONFIRMED_BY_WATCHER: Range<f64> = 0.6..0.7;
/// The age at which the others ask a peer for a newer one.
pub const CONFIRMED_BY_PEER: f64 = 0.75;
/// The age at which they ask the store themselves. It is drawn anew each time, so that one VM
/// is first and the others hear of it.
pub const CONFIRMED_BY_STORE: Range<f64> = 1.1..1.5;
/// Pause after a question for a confirmation: an answer is there before, or was lost.
pub const CONFIRMATION_ASKED_AGAIN: Duration = Duration::from_millis(100);
