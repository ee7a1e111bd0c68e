//! Pauses between the events of a stream, and which peer causes them.

use crate::support::{Bed, ENGINES, events, long};
use std::time::Duration;
use trouttrack_core::upstream::RateSample;
use trouttrack_front::request::EventPace;
use trouttrack_platform_standin::Behaviour;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_longest_pause_is_between_two_events() {
    let mut pace = EventPace::default();
    for at in [1_000, 1_040, 1_270, 1_310] {
        pace.record(ms(at), 1);
    }
    assert_eq!(pace.longest_pause(), ms(230));
}

#[test]
fn a_pause_includes_the_change_to_another_upstream() {
    let mut pace = EventPace::default();
    pace.record(ms(1_000), 1);
    pace.change_upstream();
    pace.record(ms(1_400), 1);
    assert_eq!(pace.longest_pause(), ms(400));
}

#[test]
fn events_of_two_upstreams_are_not_sampled_together() {
    let mut pace = EventPace::default();
    for at in 0..8 {
        assert_eq!(pace.record(ms(at * 30), 1), None);
    }
    pace.change_upstream();
    // The first event starts the series; the eighth after it completes the sample.
    for at in 0..8 {
        assert_eq!(pace.record(ms(2_000 + at * 50), 1), None);
    }
    let sample = RateSample::Events {
        events: 8,
        elapsed: ms(400),
    };
    assert_eq!(pace.record(ms(2_400), 1), Some(sample));
}

#[test]
fn a_wait_for_the_caller_is_not_a_pause_of_the_upstream() {
    let mut pace = EventPace::default();
    pace.record(ms(1_000), 1);
    pace.caller_waited(ms(1_000), ms(6_000));
    pace.record(ms(6_000), 1);
    pace.record(ms(6_060), 1);
    assert_eq!(
        (pace.longest_pause(), pace.caller_wait()),
        (ms(60), ms(5_000))
    );
}

#[test]
fn a_pause_of_the_upstream_after_a_wait_for_the_caller_counts() {
    let mut pace = EventPace::default();
    pace.record(ms(1_000), 1);
    pace.caller_waited(ms(1_000), ms(1_300));
    pace.record(ms(1_600), 1);
    assert_eq!(pace.longest_pause(), ms(300));
}

#[test]
fn events_that_waited_for_the_caller_are_not_sampled() {
    let mut pace = EventPace::default();
    for at in 0..8 {
        pace.record(ms(at * 30), 1);
    }
    pace.caller_waited(ms(210), ms(5_000));
    let samples = (0..8).filter_map(|_| pace.record(ms(5_000), 1));
    assert_eq!(samples.count(), 0);
}

#[actix_rt::test]
async fn a_stream_with_a_pause_over_the_limit_of_its_route_is_counted_as_late() {
    let bed = Bed::new(ENGINES).await;
    for upstream in &bed.upstreams {
        // The route allows 200 ms.
        upstream.pace(ms(250));
        upstream.always(Behaviour::Stream(3));
    }
    let reply = bed.send(&long("r1", "draft")).await;
    assert_eq!(reply.text(), events("r1", 3));
    let metrics = &bed.front.front.metrics;
    let late = |by| metrics.late_streams.with_label_values(&[by]).get();
    assert_eq!(late("pause") + late("first-event"), 1);
    assert_eq!(metrics.longest_pause.get_sample_count(), 1);
    assert!(metrics.longest_pause.get_sample_sum() > 1.0);
}
