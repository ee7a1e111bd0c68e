//! Freshness over schedules of calls, heartbeats and standstills.

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
fn the_call_counts_from_its_sending_not_its_answer() {
    let mut fresh = Freshness::new(BOUND);
    fresh.confirmed(ms(1000));
    assert!(fresh.is_fresh(ms(5999)));
    assert!(!fresh.is_fresh(ms(6000)));
}

#[test]
fn an_older_confirmation_changes_nothing() {
    let mut fresh = Freshness::new(BOUND);
    fresh.confirmed(ms(3000));
    fresh.confirmed(ms(1000));
    assert_eq!(fresh.age(ms(4000)), Some(ms(1000)));
}

/// A peer's word about the past, as this VM's heartbeats went and came.
#[derive(Clone, Copy, Debug)]
struct Exchange {
    /// When our heartbeat was sent.
    sent: u64,
    /// How long it was on its way.
    out: u64,
    /// How long after hearing it the peer spoke.
    pause: u64,
    /// How old the peer's confirmation was then.
    age: u64,
    /// How long the peer's word was on its way, a standstill of ours included.
    back: u64,
}

fn exchange() -> impl Strategy<Value = Exchange> {
    let times = (
        6000u64..20_000,
        0u64..3000,
        0u64..3000,
        0u64..6000,
        0u64..60_000,
    );
    times.prop_map(|(sent, out, pause, age, back)| Exchange {
        sent,
        out,
        pause,
        age,
        back,
    })
}

impl Exchange {
    /// When the peer's confirmation was true, which only a bystander knows.
    fn truth(self) -> Time {
        ms((self.sent + self.out + self.pause).saturating_sub(self.age))
    }

    fn heard_at(self) -> Time {
        ms(self.sent + self.out + self.pause + self.back)
    }
}

proptest! {
    #[test]
    fn a_peers_word_is_never_taken_for_newer_than_it_was(x in exchange()) {
        let mut sent = SentTimes::default();
        sent.sent(1, ms(x.sent));
        let believed = sent.at_least(1, ms(x.age)).expect("it was sent");
        prop_assert!(believed <= x.truth());
    }

    #[test]
    fn the_naive_reading_is_caught(x in exchange()) {
        // The planted mistake: the age is counted from when the word was heard.
        let naive = x.heard_at().saturating_sub(ms(x.age));
        prop_assert_eq!(naive > x.truth(), x.back > 0 && x.heard_at() > ms(x.age));
    }
}

#[test]
fn what_was_sent_long_ago_is_forgotten() {
    let mut sent = SentTimes::default();
    for n in 0..100 {
        sent.sent(n, ms(n));
    }
    assert_eq!(sent.at_least(0, Duration::ZERO), None);
    assert_eq!(sent.at_least(99, Duration::ZERO), Some(ms(99)));
}
