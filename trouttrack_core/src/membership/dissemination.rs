//! Limits and delays for the dissemination of updates among VMs.
//!
//! The gateway and the simulation of larger fleets (`trouttrack_load spread`) share these
//! constants.

use std::ops::Range;
use std::time::Duration;

/// Number of VMs to which a VM concurrently sends data that exceeds a datagram. Each VM
/// that has received the data can send it to others, so two at a time reach 2,000 VMs in
/// seven rounds. On a link of 20 Mbit/s a round of 0.4 MB to both takes a third of a second.
pub const MAX_CONCURRENT_TRANSFERS: usize = 2;
/// Maximum number of entry changes in a datagram, at about 60 bytes each.
pub const MAX_CHANGES_PER_DATAGRAM: usize = 100;
/// Maximum number of datagrams in the response to a request for missed updates. A VM that has
/// missed more repeats its request.
pub const MAX_UPDATE_DATAGRAMS: usize = 4;
/// Delay of an expected update after which a peer is asked for it, and interval between
/// requests to further peers. The watchers of other failure domains are ahead by up to their
/// longest pause between two watches, and a response takes a few milliseconds.
pub const UPDATE_REQUEST_DELAY: Duration = Duration::from_millis(250);
/// Mean number of VMs per failure domain that call the store in each round of random
/// selection, for data that all VMs need. More than one is needed because a selected VM may be
/// slow or fail; with three, no VM is selected in one round in twenty. A larger number would
/// slow down the store for VMs that already call it and so lead to further rounds.
pub const MEAN_STORE_CALLERS: f64 = 3.0;
/// Time that a VM that was not selected to list the entries waits for peers before the next
/// round of selection.
pub const LIST_RETRY_INTERVAL: Duration = Duration::from_secs(2);
/// Age of a confirmation at which a VM that watches the store renews it, as a fraction of the
/// age at which it is due for renewal. Lower than the values for other VMs, so that those of
/// its failure domain receive the new confirmation before they would request one.
pub const WATCHER_RENEWAL_AGE: Range<f64> = 0.6..0.7;
/// Age of a confirmation at which other VMs ask a peer for a newer one, as a fraction of the
/// same age.
pub const PEER_REQUEST_AGE: f64 = 0.75;
/// Age of a confirmation at which other VMs call the store themselves, as a fraction of the
/// same age. Sampled each time, so that one VM calls first and the others receive its result.
pub const STORE_REQUEST_AGE: Range<f64> = 1.1..1.5;
/// Interval between requests to peers for a confirmation. A response that has not arrived
/// within it was lost.
pub const CONFIRMATION_RETRY_INTERVAL: Duration = Duration::from_millis(100);
