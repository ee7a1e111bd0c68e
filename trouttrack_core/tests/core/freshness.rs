//! Freshness of confirmations across call, heartbeat and suspension schedules.

use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::freshness::Freshness;
use trouttrack_core::membership::SentTimes;

const BOUND: Duration = Duration::from_secs(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn age_is_measured_from_the_sending_of_the_call() {
    let mut fresh = Freshness::new(BOUND);
    fresh.confirmed(ms(1000));
    assert!(fresh.is_fresh(ms(5999)));
    assert!(!fresh.is_fresh(ms(6000)));
}

#[test]
fn older_confirmation_has_no_effect() {
    let mut fresh = Freshness::new(BOUND);
    fresh.confirmed(ms(3000));
    fresh.confirmed(ms(1000));
    assert_eq!(fresh.age(ms(4000)), Some(ms(1000)));
}

/// A heartbeat to a peer and the peer's reply, with times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    /// Time at which the local heartbeat was sent.
    sent: u64,
    /// Transit time of the local heartbeat.
    transit: u64,
    /// Time from the receipt of the heartbeat to the sending of the reply.
    reply_delay: u64,
    /// Age of the peer's confirmation when it sent the reply.
    age: u64,
    /// Transit time of the reply, including any suspension of the local VM.
    reply_transit: u64,
}

fn exchange() -> impl Strategy<Value = Exchange> {
    let times = (
        6000u64..20_000,
        0u64..3000,
        0u64..3000,
        0u64..6000,
        0u64..60_000,
    );
    times.prop_map(
        |(sent, transit, reply_delay, age, reply_transit)| Exchange {
            sent,
            transit,
            reply_delay,
            age,
            reply_transit,
        },
    )
}

impl Exchange {
    /// Actual time of the peer's confirmation on the local clock, which the local VM cannot
    /// observe.
    fn actual_time(self) -> Time {
        ms((self.sent + self.transit + self.reply_delay).saturating_sub(self.age))
    }

    fn received_at(self) -> Time {
        ms(self.sent + self.transit + self.reply_delay + self.reply_transit)
    }
}

proptest! {
    #[test]
    fn peer_confirmation_is_never_dated_later_than_its_actual_time(x in exchange()) {
        let mut sent = SentTimes::default();
        sent.sent(1, ms(x.sent));
        let estimated = sent.earliest_time(1, ms(x.age)).expect("heartbeat 1 was sent");
        prop_assert!(estimated <= x.actual_time());
    }

    #[test]
    fn dating_from_receipt_is_detected_as_too_late(x in exchange()) {
        // Deliberate mistake: the age is subtracted from the time of receipt.
        let naive = x.received_at().saturating_sub(ms(x.age));
        prop_assert_eq!(
            naive > x.actual_time(),
            x.reply_transit > 0 && x.received_at() > ms(x.age)
        );
    }
}

#[test]
fn oldest_sent_times_are_evicted() {
    let mut sent = SentTimes::default();
    for n in 0..100 {
        sent.sent(n, ms(n));
    }
    assert_eq!(sent.earliest_time(0, Duration::ZERO), None);
    assert_eq!(sent.earliest_time(99, Duration::ZERO), Some(ms(99)));
}
