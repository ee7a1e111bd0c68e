//! Leases: one holder at a time, and a paused one does no harm.

use crate::support::{client, fault, platform};
use std::cell::Cell;
use std::time::Duration;
use trouttrack_standin::platform::PlatformFaultKind;
use trouttrack_state::lease::{LeaseChange, LeaseKeeper};

const DURATION: Duration = Duration::from_secs(8);

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Both keepers have clocks of their own that the test moves; they do not
/// agree on the time of day.
#[actix_rt::test]
async fn a_paused_holder_that_wakes_does_not_act() {
    let (platform, first) = platform();
    let mut a = LeaseKeeper::new(first, "orders", "a", DURATION);
    let mut b = LeaseKeeper::new(client(&platform), "orders", "b", DURATION);
    assert_eq!(a.step(|| seconds(1000)).await.unwrap(), LeaseChange::Won);
    assert_eq!(a.acting(seconds(1001)).unwrap().record.epoch, 1);
    // B looks on; A renews once, then is paused.
    assert_eq!(b.step(|| seconds(1)).await.unwrap(), LeaseChange::None);
    a.step(|| seconds(1004)).await.unwrap();
    assert_eq!(b.step(|| seconds(7)).await.unwrap(), LeaseChange::None);
    assert_eq!(b.step(|| seconds(14)).await.unwrap(), LeaseChange::None);
    assert_eq!(b.step(|| seconds(15)).await.unwrap(), LeaseChange::Won);
    assert_eq!(b.acting(seconds(16)).unwrap().record.epoch, 2);
    // A wakes. Whatever its clock says, it does not hold the lease.
    assert!(a.acting(seconds(1012)).is_none());
    assert_eq!(a.step(|| seconds(1012)).await.unwrap(), LeaseChange::Lost);
    assert_eq!(a.step(|| seconds(1013)).await.unwrap(), LeaseChange::None);
    assert!(b.acting(seconds(17)).is_some());
}

/// A clock that stood still while the process was paused: the renewal is
/// refused.
#[actix_rt::test]
async fn a_holder_whose_clock_stood_still_is_told_by_its_renewal() {
    let (platform, first) = platform();
    let mut a = LeaseKeeper::new(first, "orders", "a", DURATION);
    let mut b = LeaseKeeper::new(client(&platform), "orders", "b", DURATION);
    a.step(|| seconds(0)).await.unwrap();
    b.step(|| seconds(0)).await.unwrap();
    assert_eq!(b.step(|| seconds(9)).await.unwrap(), LeaseChange::Won);
    assert_eq!(a.step(|| seconds(3)).await.unwrap(), LeaseChange::Lost);
    assert!(a.acting(seconds(3)).is_none());
}

#[actix_rt::test]
async fn a_lost_reply_neither_loses_nor_doubles_the_lease() {
    for kind in [
        PlatformFaultKind::LoseReply,
        PlatformFaultKind::LateEffect { ms: 50 },
    ] {
        let (platform, first) = platform();
        let mut a = LeaseKeeper::new(first, "orders", "a", DURATION);
        platform.state.arm(fault(kind, Some(1)));
        assert_eq!(a.step(|| seconds(1)).await.unwrap(), LeaseChange::Won);
        platform.state.arm(fault(kind, Some(1)));
        assert_eq!(a.step(|| seconds(4)).await.unwrap(), LeaseChange::None);
        assert!(a.acting(seconds(9)).is_some());
    }
}

#[actix_rt::test]
async fn with_the_platform_down_a_holder_acts_until_its_time_and_no_longer() {
    let (platform, first) = platform();
    let mut a = LeaseKeeper::new(first, "orders", "a", DURATION);
    a.step(|| seconds(0)).await.unwrap();
    platform.state.arm(fault(PlatformFaultKind::Down, None));
    let now = Cell::new(3);
    assert!(a.step(|| seconds(now.get())).await.is_err());
    assert!(a.acting(seconds(5)).is_some());
    assert!(a.acting(seconds(6)).is_none());
    now.set(7);
    assert_eq!(
        a.step(|| seconds(now.get())).await.unwrap(),
        LeaseChange::Lost
    );
}

#[actix_rt::test]
async fn a_lease_that_is_given_up_is_taken_at_once() {
    let (platform, first) = platform();
    let mut a = LeaseKeeper::new(first, "orders", "a", DURATION);
    let mut b = LeaseKeeper::new(client(&platform), "orders", "b", DURATION);
    a.step(|| seconds(0)).await.unwrap();
    a.release().await;
    assert_eq!(b.step(|| seconds(0)).await.unwrap(), LeaseChange::Won);
    assert_eq!(b.acting(seconds(1)).unwrap().record.epoch, 2);
}
