//! The table of retry rules: completeness, and its guarantees under random schedules.

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
fn non_repeatable_requests_are_never_run_again() {
    for rule in RULES.iter().filter(|r| r.kind != Kind::Repeatable) {
        assert!(!rule.steps.contains(&Step::RunAgain), "{rule:?}");
    }
}

#[test]
fn delivered_streams_only_resume_or_end() {
    for rule in RULES.iter().filter(|r| r.phase == Phase::Delivered) {
        let other = |s: &Step| !matches!(s, Step::Resume | Step::End(Outcome::Interrupted));
        assert!(!rule.steps.iter().any(other), "{rule:?}");
    }
}

/// What actually happens in one attempt at an upstream. The machine learns only the
/// failure, if any.
#[derive(Clone, Copy, Debug)]
enum AttemptEvent {
    /// The attempt does not connect or is refused.
    NeverRan(Failure),
    /// The request runs, `tokens` tokens arrive, then the attempt fails.
    Fails { tokens: u8, failure: Failure },
    /// The connection is lost before the upstream receives the request.
    LostBeforeArrival,
    /// The request runs to completion.
    Completes,
}

fn attempt_event() -> impl Strategy<Value = AttemptEvent> {
    prop_oneof![
        2 => prop_oneof![Just(Failure::NotConnected), Just(Failure::Refused)]
            .prop_map(AttemptEvent::NeverRan),
        4 => (0u8..4, prop_oneof![Just(Failure::Lost), Just(Failure::Aborted)])
            .prop_map(|(tokens, failure)| AttemptEvent::Fails { tokens, failure }),
        1 => Just(AttemptEvent::LostBeforeArrival),
        1 => Just(AttemptEvent::Completes),
    ]
}

/// What actually happened to one request.
#[derive(Debug, Default)]
struct GroundTruth {
    runs: u32,
    /// Generation of each delivered token.
    delivered: Vec<u32>,
    held: Vec<u32>,
}

/// Fault injected into the owner of the machine, which carries out the steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Runs a non-repeatable request again.
    RunTwice,
    /// Continues with another generation after tokens were delivered.
    MixGenerations,
    /// Reports `not-run` whenever there is no answer.
    FalseNotRun,
    /// Reports `complete` for an incomplete answer.
    Truncate,
    /// Ends without any outcome.
    NoOutcome,
}

struct Run {
    outcome: Option<Outcome>,
    truth: GroundTruth,
}

const LENGTH: usize = 4;

fn run(traits: Traits, schedule: &[AttemptEvent], resumes: &[bool], fault: Fault) -> Run {
    let mut truth = GroundTruth::default();
    let mut machine = Machine::new(traits, 3);
    let mut resumes = resumes.iter().copied();
    let mut schedule = schedule.iter().copied();
    let outcome = loop {
        let Some(attempt_event) = schedule.next() else {
            break Some(machine.give_up());
        };
        machine.handed_over();
        let (failure, actually_ran) = match attempt_event {
            AttemptEvent::NeverRan(failure) => (Some(failure), false),
            AttemptEvent::LostBeforeArrival => (Some(Failure::Lost), false),
            AttemptEvent::Fails { tokens, failure } => {
                truth.runs += 1;
                take(&mut machine, &mut truth, traits, usize::from(tokens));
                (Some(failure), true)
            }
            AttemptEvent::Completes => {
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
                    if actually_ran && resumes.next().unwrap_or(false) {
                        break Some(Some(complete(&mut machine, &mut truth, traits)));
                    }
                    result = machine.step_failed();
                }
                StepResult::Try(Step::FenceThenPlaceAgain) => {
                    result = if actually_ran {
                        machine.step_failed()
                    } else {
                        machine.fenced()
                    };
                }
                StepResult::Try(Step::RunAgain) => {
                    truth.held.clear();
                    break None;
                }
                StepResult::Try(Step::PlaceAgain | Step::End(_)) => break None,
            }
        };
        let end = match (fault, end) {
            (Fault::RunTwice, Some(Some(Outcome::Unknown))) => None,
            (Fault::MixGenerations, Some(Some(Outcome::Interrupted))) => {
                truth.runs += 1;
                truth.delivered.push(truth.runs);
                Some(Some(Outcome::Interrupted))
            }
            (Fault::FalseNotRun, Some(Some(Outcome::Unknown))) => Some(Some(Outcome::NotRun)),
            (Fault::Truncate, Some(Some(Outcome::Unknown | Outcome::Interrupted))) => {
                Some(Some(Outcome::Complete))
            }
            (Fault::NoOutcome, Some(Some(Outcome::Unknown))) => Some(None),
            (_, end) => end,
        };
        if let Some(outcome) = end {
            break outcome;
        }
        if fault == Fault::RunTwice && machine.outcome().is_some() {
            machine = Machine::new(traits, 3);
        }
    };
    Run { outcome, truth }
}

fn take(machine: &mut Machine, truth: &mut GroundTruth, traits: Traits, tokens: usize) {
    for _ in 0..tokens {
        machine.token();
        match traits.delivery {
            Delivery::Stream => truth.delivered.push(truth.runs),
            Delivery::Whole => truth.held.push(truth.runs),
        }
    }
}

fn complete(machine: &mut Machine, truth: &mut GroundTruth, traits: Traits) -> Outcome {
    let have = truth.delivered.len().max(truth.held.len());
    take(machine, truth, traits, LENGTH.saturating_sub(have));
    truth.delivered.append(&mut truth.held);
    machine.complete()
}

/// The first violated guarantee, if any.
fn violation(traits: Traits, run: &Run) -> Option<&'static str> {
    let Some(outcome) = run.outcome else {
        return Some("request ended without an outcome");
    };
    let truth = &run.truth;
    if truth.delivered.windows(2).any(|w| w[0] != w[1]) {
        return Some("tokens of two generations delivered");
    }
    if !traits.repeatable && truth.runs > 1 {
        return Some("non-repeatable request ran twice");
    }
    match outcome {
        Outcome::Complete if truth.delivered.len() != LENGTH => {
            Some("incomplete answer reported as complete")
        }
        Outcome::NotRun if truth.runs > 0 => Some("request that ran reported as not-run"),
        Outcome::Interrupted if truth.delivered.is_empty() => {
            Some("interrupted reported without delivered tokens")
        }
        Outcome::Unknown | Outcome::NotRun if !truth.delivered.is_empty() => {
            Some("delivered tokens not reported")
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

/// Configuration of the property tests: a fixed seed, and more cases in long mode.
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
    fn guarantees_hold_under_any_schedule(
        traits in traits(),
        schedule in prop::collection::vec(attempt_event(), 0..6),
        resumes in prop::collection::vec(any::<bool>(), 0..6),
    ) {
        let run = run(traits, &schedule, &resumes, Fault::None);
        prop_assert_eq!(violation(traits, &run), None, "{:?}", run.truth);
    }
}

/// Verifies the check itself: it must detect each injected fault.
#[test]
fn injected_faults_are_detected() {
    use proptest::strategy::ValueTree;
    use proptest::test_runner::TestRunner;
    let expected = [
        (Fault::RunTwice, "non-repeatable request ran twice"),
        (Fault::MixGenerations, "tokens of two generations delivered"),
        (Fault::FalseNotRun, "request that ran reported as not-run"),
        (Fault::Truncate, "incomplete answer reported as complete"),
        (Fault::NoOutcome, "request ended without an outcome"),
    ];
    for (fault, guarantee) in expected {
        let mut runner = TestRunner::new(config());
        let input = (
            traits(),
            prop::collection::vec(attempt_event(), 0..6),
            prop::collection::vec(any::<bool>(), 0..6),
        );
        let found = (0..4000).any(|_| {
            let (traits, schedule, resumes) = input.new_tree(&mut runner).unwrap().current();
            let run = run(traits, &schedule, &resumes, fault);
            violation(traits, &run) == Some(guarantee)
        });
        assert!(found, "{fault:?} was not detected");
    }
}
