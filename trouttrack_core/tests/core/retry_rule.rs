//! The retry table: whole, and true to the promises under any schedule.

use proptest::prelude::*;
use std::fmt::Write as _;
use trouttrack_core::Outcome;
use trouttrack_core::request::{
    Delivery, Failure, Kind, Machine, Phase, RULES, Step, StepResult, Traits, rule_for,
};

fn all_traits() -> Vec<Traits> {
    let mut all = Vec::new();
    for repeatable in [true, false] {
        for resumable in [true, false] {
            for delivery in [Delivery::Stream, Delivery::Whole] {
                all.push(Traits {
                    repeatable,
                    resumable,
                    delivery,
                });
            }
        }
    }
    all
}

#[test]
fn every_phase_failure_and_kind_has_a_row() {
    for phase in Phase::ALL {
        for failure in Failure::ALL {
            for traits in all_traits() {
                assert!(!rule_for(phase, failure, traits).steps.is_empty());
            }
        }
    }
}

#[test]
fn the_table_reads_as_documented() {
    let mut out = String::new();
    for rule in RULES {
        let kind = match rule.kind {
            Kind::Any => "any",
            Kind::Repeatable => "repeatable",
            Kind::NotRepeatable => "not repeatable",
        };
        let _ = writeln!(
            out,
            "{:?} | {:?} | {kind} | {:?}",
            rule.phase, rule.failures, rule.steps
        );
    }
    insta::assert_snapshot!(out);
}

#[test]
fn what_may_not_be_repeated_is_never_run_again() {
    for rule in RULES.iter().filter(|r| r.kind != Kind::Repeatable) {
        assert!(!rule.steps.contains(&Step::RunAgain), "{rule:?}");
    }
}

#[test]
fn once_tokens_are_delivered_only_the_same_stream_goes_on() {
    for rule in RULES.iter().filter(|r| r.phase == Phase::Delivered) {
        let other = |s: &Step| !matches!(s, Step::Resume | Step::End(Outcome::Interrupted));
        assert!(!rule.steps.iter().any(other), "{rule:?}");
    }
}

/// A model of one upstream run, in which faults strike at random. It knows
/// what really happened, and the machine does not.
#[derive(Clone, Copy, Debug)]
enum Happening {
    /// A hand-over that never connects, or is refused.
    NeverRan(Failure),
    /// It runs, `tokens` arrive, then the attempt fails.
    Fails { tokens: u8, failure: Failure },
    /// The connection is lost before the upstream saw the call.
    LostOnTheWay,
    /// It runs to its end.
    Completes,
}

fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        2 => prop_oneof![Just(Failure::NotConnected), Just(Failure::Refused)]
            .prop_map(Happening::NeverRan),
        4 => (0u8..4, prop_oneof![Just(Failure::Lost), Just(Failure::Aborted)])
            .prop_map(|(tokens, failure)| Happening::Fails { tokens, failure }),
        1 => Just(Happening::LostOnTheWay),
        1 => Just(Happening::Completes),
    ]
}

/// What really happened to one request.
#[derive(Debug, Default)]
struct Truth {
    runs: u32,
    /// The generation that each delivered token came from.
    delivered: Vec<u32>,
    held: Vec<u32>,
}

/// A machine's owner that carries out steps; `mistake` plants a fault in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mistake {
    None,
    /// Runs again what may not be repeated.
    RunsTwice,
    /// Goes on with another generation after tokens were delivered.
    Mixes,
    /// Says `not-run` whenever no answer came.
    FalseNotRun,
    /// Drops the held tokens of a lost run and says `complete`.
    Truncates,
    /// Ends without saying anything.
    LosesSilently,
}

struct Run {
    outcome: Option<Outcome>,
    truth: Truth,
}

const LENGTH: usize = 4;

fn run(traits: Traits, schedule: &[Happening], resumes: &[bool], mistake: Mistake) -> Run {
    let mut truth = Truth::default();
    let mut machine = Machine::new(traits, 3);
    let mut resumes = resumes.iter().copied();
    let mut schedule = schedule.iter().copied();
    let outcome = loop {
        let Some(happening) = schedule.next() else {
            break Some(machine.give_up());
        };
        machine.handed_over();
        let (failure, really_ran) = match happening {
            Happening::NeverRan(failure) => (Some(failure), false),
            Happening::LostOnTheWay => (Some(Failure::Lost), false),
            Happening::Fails { tokens, failure } => {
                truth.runs += 1;
                take(&mut machine, &mut truth, traits, usize::from(tokens));
                (Some(failure), true)
            }
            Happening::Completes => {
                truth.runs += 1;
                (None, true)
            }
        };
        let Some(failure) = failure else {
            break Some(complete(&mut machine, &mut truth, traits));
        };
        let mut result = machine.failed(failure);
        let end = loop {
            match result {
                StepResult::Ended(outcome) => break Some(Some(outcome)),
                StepResult::Try(Step::Resume) => {
                    if really_ran && resumes.next().unwrap_or(false) {
                        break Some(Some(complete(&mut machine, &mut truth, traits)));
                    }
                    result = machine.step_failed();
                }
                StepResult::Try(Step::FenceThenElsewhere) => {
                    result = if really_ran {
                        machine.step_failed()
                    } else {
                        machine.fenced()
                    };
                }
                StepResult::Try(Step::RunAgain) => {
                    truth.held.clear();
                    break None;
                }
                StepResult::Try(Step::Elsewhere | Step::End(_)) => break None,
            }
        };
        let end = match (mistake, end) {
            (Mistake::RunsTwice, Some(Some(Outcome::Unknown))) => None,
            (Mistake::Mixes, Some(Some(Outcome::Interrupted))) => {
                truth.runs += 1;
                truth.delivered.push(truth.runs);
                Some(Some(Outcome::Interrupted))
            }
            (Mistake::FalseNotRun, Some(Some(Outcome::Unknown))) => Some(Some(Outcome::NotRun)),
            (Mistake::Truncates, Some(Some(Outcome::Unknown | Outcome::Interrupted))) => {
                Some(Some(Outcome::Complete))
            }
            (Mistake::LosesSilently, Some(Some(Outcome::Unknown))) => Some(None),
            (_, end) => end,
        };
        if let Some(outcome) = end {
            break outcome;
        }
        if mistake == Mistake::RunsTwice && machine.outcome().is_some() {
            machine = Machine::new(traits, 3);
        }
    };
    Run { outcome, truth }
}

fn take(machine: &mut Machine, truth: &mut Truth, traits: Traits, tokens: usize) {
    for _ in 0..tokens {
        machine.token();
        match traits.delivery {
            Delivery::Stream => truth.delivered.push(truth.runs),
            Delivery::Whole => truth.held.push(truth.runs),
        }
    }
}

fn complete(machine: &mut Machine, truth: &mut Truth, traits: Traits) -> Outcome {
    let have = truth.delivered.len().max(truth.held.len());
    take(machine, truth, traits, LENGTH.saturating_sub(have));
    truth.delivered.append(&mut truth.held);
    machine.complete()
}

/// The first promise that was broken, if one was.
fn broken(traits: Traits, run: &Run) -> Option<&'static str> {
    let Some(outcome) = run.outcome else {
        return Some("a request was lost silently");
    };
    let truth = &run.truth;
    if truth.delivered.windows(2).any(|w| w[0] != w[1]) {
        return Some("tokens of two generations were delivered");
    }
    if !traits.repeatable && truth.runs > 1 {
        return Some("what may not be repeated ran twice");
    }
    match outcome {
        Outcome::Complete if truth.delivered.len() != LENGTH => Some("a part was called complete"),
        Outcome::NotRun if truth.runs > 0 => Some("not-run was said of what ran"),
        Outcome::Interrupted if truth.delivered.is_empty() => {
            Some("interrupted was said though nothing was delivered")
        }
        Outcome::Unknown | Outcome::NotRun if !truth.delivered.is_empty() => {
            Some("tokens were delivered and it was not said")
        }
        _ => None,
    }
}

fn traits() -> impl Strategy<Value = Traits> {
    (any::<bool>(), any::<bool>(), any::<bool>()).prop_map(|(repeatable, resumable, whole)| {
        Traits {
            repeatable,
            resumable,
            delivery: if whole {
                Delivery::Whole
            } else {
                Delivery::Stream
            },
        }
    })
}

/// Cases of one property: fixed in CI, many in the long mode.
fn config() -> ProptestConfig {
    let long = std::env::var_os("TROUTTRACK_LONG").is_some();
    ProptestConfig {
        cases: if long { 200_000 } else { 4000 },
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn promises_hold_under_any_schedule(
        traits in traits(),
        schedule in prop::collection::vec(happening(), 0..6),
        resumes in prop::collection::vec(any::<bool>(), 0..6),
    ) {
        let run = run(traits, &schedule, &resumes, Mistake::None);
        prop_assert_eq!(broken(traits, &run), None, "{:?}", run.truth);
    }
}

/// The checker itself is checked: each planted mistake must be found.
#[test]
fn planted_mistakes_are_found() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let expected = [
        (Mistake::RunsTwice, "what may not be repeated ran twice"),
        (Mistake::Mixes, "tokens of two generations were delivered"),
        (Mistake::FalseNotRun, "not-run was said of what ran"),
        (Mistake::Truncates, "a part was called complete"),
        (Mistake::LosesSilently, "a request was lost silently"),
    ];
    for (mistake, promise) in expected {
        let mut runner = TestRunner::new(config());
        let input = (
            traits(),
            prop::collection::vec(happening(), 0..6),
            prop::collection::vec(any::<bool>(), 0..6),
        );
        let found = (0..4000).any(|_| {
            let (traits, schedule, resumes) = input.new_tree(&mut runner).unwrap().current();
            let run = run(traits, &schedule, &resumes, mistake);
            broken(traits, &run) == Some(promise)
        });
        assert!(found, "{mistake:?} was not found");
    }
}
