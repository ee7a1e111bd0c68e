//! The table of upstreams, changed row by row, and what peers tell of them.

use crate::support::{SERVICE, spec, submission, world};
use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::membership::UpstreamUse;
use trouttrack_core::upstream::{Spec, UpstreamTable};

const HOME: &str = "a";
const SECOND: Duration = Duration::from_secs(1);

fn named(number: u8, far: bool) -> Spec {
    let domain = if far { "b" } else { HOME };
    spec(&format!("e{number:02}"), domain, 1000, 4)
}

/// The ids of those that run the service, and how many stand near.
fn listed(table: &UpstreamTable) -> Option<(Vec<String>, usize)> {
    let serving = table.serving(SERVICE)?;
    let ids = serving.keys.iter().filter_map(|k| table.get(*k));
    Some((ids.map(|u| u.spec.id.clone()).collect(), serving.local))
}

fn running(upstream: &str, running: u32) -> UpstreamUse {
    UpstreamUse {
        upstream: upstream.to_owned(),
        running,
        peak_tokens: 10,
        loading_tokens: 0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_203),
        ..ProptestConfig::default()
    })]

    /// Rows that come and go one by one leave the same lists, in the same
    /// order, as a table that is made of those that are left.
    #[test]
    fn row_by_row_comes_to_the_same_as_all_at_once(
        acts in prop::collection::vec((0u8..12, any::<bool>(), any::<bool>()), 0..60),
    ) {
        let mut changed = UpstreamTable::default();
        let mut left = std::collections::BTreeMap::new();
        for (number, far, goes) in acts {
            let row = named(number, far);
            if goes {
                changed.remove(&row.id);
                left.remove(&number);
            } else {
                changed.insert(row.clone(), HOME);
                left.insert(number, row);
            }
        }
        let mut made = UpstreamTable::default();
        made.configure(left.into_values().rev().collect(), HOME);
        prop_assert_eq!(listed(&changed), listed(&made));
    }
}

#[test]
fn a_row_that_is_put_again_keeps_its_state() {
    let mut world = world("trouttrack", vec![named(1, false)]);
    world.submit(SECOND, submission("r", "o", 1));
    world.tick(SECOND);
    world.put_upstream(named(1, false));
    let key = world.upstreams.key("e01").expect("a row");
    let row = world.upstreams.get(key).expect("a row");
    assert_eq!(row.own_running, 1);
}

#[test]
fn what_a_peer_no_longer_names_or_that_fell_silent_is_not_counted() {
    let mut world = world("trouttrack", vec![named(1, false), named(2, false)]);
    world.peer_uses(SECOND, "p", &[running("e01", 3)]);
    world.peer_uses(SECOND, "q", &[running("e01", 2)]);
    let count = |world: &trouttrack_core::world::World, id: &str| {
        let key = world.upstreams.key(id).expect("a row");
        let row = world.upstreams.get(key).expect("a row");
        row.estimated_running()
    };
    assert_eq!(count(&world, "e01"), 5);
    world.peer_uses(2 * SECOND, "p", &[running("e02", 1)]);
    assert_eq!((count(&world, "e01"), count(&world, "e02")), (2, 1));
    // Only p is heard from then on; q fell silent.
    for second in 3..9 {
        world.peer_uses(second * SECOND, "p", &[running("e02", 1)]);
    }
    assert_eq!((count(&world, "e01"), count(&world, "e02")), (0, 1));
}
