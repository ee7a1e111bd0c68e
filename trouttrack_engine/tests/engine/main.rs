//! The engine model.

use proptest::prelude::*;
use std::time::Duration;
use trouttrack_core::prefix::chain;
use trouttrack_engine::{CacheEventKind, Engine, EngineSettings, LengthDraw, SequenceKey, Submit};

fn settings(blocks: u64, max_batch: usize) -> EngineSettings {
    EngineSettings {
        blocks,
        max_batch,
        ..EngineSettings::default()
    }
}

fn submit(priority: u8, prompt_tokens: u64, output_tokens: u64) -> Submit {
    Submit {
        priority,
        prompt_tokens,
        output_tokens,
        prefix: Vec::new(),
    }
}

#[test]
fn memory_that_fills_as_outputs_grow_preempts_the_latest_of_the_least_urgent() {
    let mut engine = Engine::new(settings(10, 8));
    let urgent = engine.submit(submit(0, 16, 200));
    let first = engine.submit(submit(2, 16, 60));
    let second = engine.submit(submit(2, 16, 60));
    let mut preempted = Vec::new();
    for _ in 0..60 {
        preempted.extend(engine.step().preempted);
    }
    assert_eq!(preempted.first(), Some(&second));
    assert!(!preempted.contains(&urgent));
    assert!(engine.sequence(first).is_some() || engine.load().preemptions > 0);
}

#[test]
fn a_preempted_sequence_goes_on_where_it_was() {
    let mut engine = Engine::new(settings(6, 8));
    let a = engine.submit(submit(1, 16, 40));
    let b = engine.submit(submit(1, 16, 40));
    let mut wrote = std::collections::HashMap::<SequenceKey, u64>::new();
    let mut finished = Vec::new();
    for _ in 0..400 {
        let out = engine.step();
        for k in out.wrote {
            *wrote.entry(k).or_default() += 1;
        }
        finished.extend(out.finished);
    }
    assert_eq!((wrote[&a], wrote[&b]), (40, 40));
    assert_eq!(finished.len(), 2);
    assert!(engine.load().preemptions > 0);
}

#[test]
fn a_sequence_that_outgrows_the_whole_memory_is_dropped_not_stuck() {
    let mut engine = Engine::new(settings(4, 8));
    let giant = engine.submit(submit(1, 16, 1000));
    let small = engine.submit(submit(1, 16, 5));
    let (mut aborted, mut finished) = (Vec::new(), Vec::new());
    for _ in 0..300 {
        let out = engine.step();
        aborted.extend(out.aborted);
        finished.extend(out.finished);
    }
    assert_eq!(aborted, [giant]);
    assert_eq!(finished, [small]);
    assert!(engine.is_idle());
}

#[test]
fn the_urgent_are_taken_first_from_the_waiting() {
    let mut engine = Engine::new(settings(100, 1));
    engine.submit(submit(1, 16, 3));
    engine.step();
    let low = engine.submit(submit(3, 16, 1));
    let urgent = engine.submit(submit(0, 16, 1));
    let mut order = Vec::new();
    for _ in 0..10 {
        order.extend(engine.step().finished);
    }
    let place = |k| order.iter().position(|x| *x == k).unwrap();
    assert!(place(urgent) < place(low));
}

#[test]
fn a_cached_prefix_saves_prefill_and_memory() {
    let text = "x".repeat(64 * 20);
    let with_prefix = || Submit {
        prefix: chain(&text),
        ..submit(1, 320, 4)
    };
    let mut engine = Engine::new(EngineSettings {
        prefill_chunk: 1000,
        ..settings(1000, 8)
    });
    engine.submit(with_prefix());
    let cold = engine.step().took;
    let used = engine.load().used_tokens;
    engine.submit(with_prefix());
    let warm = engine.step().took;
    assert!(warm + Duration::from_millis(5) < cold, "{warm:?} {cold:?}");
    assert!(engine.load().used_tokens < used * 2);
    let events = engine.drain_cache_events();
    let stored = events.iter().filter(|e| e.kind == CacheEventKind::Stored);
    assert_eq!(stored.count(), 20);
    assert!(
        events
            .windows(2)
            .all(|w| w[0].sequence + 1 == w[1].sequence)
    );
}

#[test]
fn a_longer_batch_takes_longer_steps() {
    let took = |sequences: usize| {
        let mut engine = Engine::new(EngineSettings::default());
        for _ in 0..sequences {
            engine.submit(submit(1, 16, 100));
        }
        (0..20).map(|_| engine.step().took).last().unwrap()
    };
    assert!(took(32) > took(1));
}

#[test]
fn lengths_have_a_heavy_tail_around_their_median() {
    let draw = LengthDraw {
        median: 100.0,
        spread: 1.0,
        longest: 32_000,
    };
    let mut all: Vec<u64> = (0..2000).map(|seed| draw.draw(seed)).collect();
    all.sort_unstable();
    assert!((80..125).contains(&all[1000]), "{}", all[1000]);
    assert!(all[1980] > 600, "{}", all[1980]);
}

#[derive(Clone, Debug)]
enum Act {
    Submit(u8, u64, u64, bool),
    Cancel(prop::sample::Index),
    Priority(prop::sample::Index, u8),
    Step,
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        2 => (0u8..4, 1u64..200, 1u64..120, any::<bool>()).prop_map(|(p, a, b, c)| Act::Submit(p, a, b, c)),
        1 => any::<prop::sample::Index>().prop_map(Act::Cancel),
        1 => (any::<prop::sample::Index>(), 0u8..4).prop_map(|(i, p)| Act::Priority(i, p)),
        8 => Just(Act::Step),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    })]

    /// Each sequence writes its tokens once and in order, ends once, and at
    /// the end no block is held.
    #[test]
    fn nothing_is_lost_or_doubled(acts in prop::collection::vec(act(), 1..200)) {
        let mut engine = Engine::new(settings(24, 6));
        let mut alive: Vec<(SequenceKey, u64, u64)> = Vec::new();
        let shared = chain(&"p".repeat(64 * 4));
        let step = |engine: &mut Engine, alive: &mut Vec<(SequenceKey, u64, u64)>| {
            let out = engine.step();
            for k in &out.wrote {
                let row = alive.iter_mut().find(|r| r.0 == *k).expect("a known sequence writes");
                row.1 += 1;
                assert!(row.1 <= row.2, "more tokens than asked for");
            }
            for k in &out.finished {
                let i = alive.iter().position(|r| r.0 == *k).expect("ends once");
                let row = alive.swap_remove(i);
                assert_eq!(row.1, row.2, "ended with all its tokens");
            }
            for k in &out.aborted {
                let i = alive.iter().position(|r| r.0 == *k).expect("ends once");
                alive.swap_remove(i);
            }
        };
        for act in acts {
            match act {
                Act::Submit(priority, prompt, output, prefix) => {
                    let mut s = submit(priority, prompt, output);
                    if prefix {
                        s.prompt_tokens = 70;
                        s.prefix.clone_from(&shared);
                    }
                    alive.push((engine.submit(s), 0, output));
                }
                Act::Cancel(i) if !alive.is_empty() => {
                    let row = alive.swap_remove(i.index(alive.len()));
                    engine.cancel(row.0);
                }
                Act::Priority(i, p) if !alive.is_empty() => engine.set_priority(alive[i.index(alive.len())].0, p),
                Act::Cancel(_) | Act::Priority(..) => {}
                Act::Step => step(&mut engine, &mut alive),
            }
            prop_assert!(engine.load().used_tokens <= engine.load().capacity_tokens);
        }
        for _ in 0..20_000 {
            if engine.is_idle() {
                break;
            }
            step(&mut engine, &mut alive);
        }
        prop_assert!(engine.is_idle());
        prop_assert!(alive.is_empty());
        prop_assert_eq!(engine.load().used_tokens, 0);
    }
}
