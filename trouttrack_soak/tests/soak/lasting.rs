//! The end of a fault leaves others of its kind in force.

use std::time::Duration;
use trouttrack_platform_standin::StoreFault;
use trouttrack_soak::faults::{Lasting, Slow};

const USUAL: Duration = Duration::from_millis(15);

fn slow(engine: &str, times: u32) -> Slow {
    Slow {
        engine: engine.to_owned(),
        pace: times * USUAL,
    }
}

#[test]
fn an_engine_that_is_slow_for_good_stays_slow() {
    for [first, second] in [[2, 3], [3, 2]] {
        let all = Lasting::default();
        assert_eq!(all.pace("u1", USUAL), USUAL);
        all.begin(slow("u1", first));
        let passing = all.begin(slow("u1", second));
        assert_eq!(all.pace("u1", USUAL), 3 * USUAL);
        assert_eq!(all.pace("u2", USUAL), USUAL);
        all.end(passing);
        assert_eq!(all.pace("u1", USUAL), first * USUAL);
    }
}

#[test]
fn an_engine_is_slow_until_the_last_that_slows_it_ends() {
    let all = Lasting::default();
    let (first, second) = (all.begin(slow("u1", 2)), all.begin(slow("u1", 2)));
    all.end(first);
    assert_eq!(all.pace("u1", USUAL), 2 * USUAL);
    all.end(second);
    assert_eq!(all.pace("u1", USUAL), USUAL);
}

#[test]
fn the_store_stays_away_until_its_last_fault_ends() {
    for ends_first in [0, 1] {
        let all = Lasting::default();
        let begun = [StoreFault::Silent, StoreFault::Silent].map(|f| all.begin(f));
        all.end(begun[ends_first]);
        assert!(matches!(all.fault(), StoreFault::Silent));
        all.end(begun[1 - ends_first]);
        assert!(matches!(all.fault(), StoreFault::None));
    }
}

#[test]
fn a_store_with_deaf_watches_that_is_to_be_away_is_away() {
    let all = Lasting::default();
    let deaf = all.begin(StoreFault::DeafWatches);
    let refuses = all.begin(StoreFault::Refuse);
    let deaf_again = all.begin(StoreFault::DeafWatches);
    assert!(matches!(all.fault(), StoreFault::Refuse));
    all.end(deaf);
    all.end(refuses);
    assert!(matches!(all.fault(), StoreFault::DeafWatches));
    all.end(deaf_again);
    assert!(matches!(all.fault(), StoreFault::None));
}
