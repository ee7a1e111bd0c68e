//! 66 VMs that share engines: urgent work arrives at a third of them and patient work at all.
//! Each knows the demand at the others by reports that are 0.5 s old.

use crate::flow::{
    Ask, CAPACITY_TOKENS, Engine, Engines, Flow, PLACED_FILL, Placement, RESERVE, STEP, Settings,
};
use std::collections::HashMap;
use std::ops::Range;
use std::sync::OnceLock;
use std::time::Duration;
use trouttrack_core::Time;
use trouttrack_core::routing::Weights;
use trouttrack_core::world::{AdmissionSettings, World};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const VMS: usize = 66;
const ENGINES: usize = 12;
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const URGENT: Ask = Ask {
    class: 0,
    prompt_tokens: 800,
    output_tokens: 100,
    objective: Duration::from_millis(1_500),
};
const PATIENT: Ask = Ask {
    class: 2,
    prompt_tokens: 2_000,
    output_tokens: 900,
    objective: Duration::from_secs(4),
};
/// Largest fraction of urgent requests that may be late.
const MOST_LATE: f64 = 0.05;
const URGENT_PER_SECOND: f64 = 1.0;
const PATIENT_PER_SECOND: f64 = 0.21;

fn is_urgent(vm: usize) -> bool {
    vm % 9 < 3
}

struct Fleet {
    flow: Flow,
    due: Vec<[f64; 2]>,
}

impl Fleet {
    fn new() -> Self {
        let domains: Vec<_> = (0..VMS).map(|n| DOMAINS[n % 3]).collect();
        let engines: Engines = (0..ENGINES)
            .map(|n| (format!("e{n}"), Engine::new(DOMAINS[n % 3], 1.0)))
            .collect();
        let settings = Settings {
            weights: Weights::default(),
            admission: AdmissionSettings::default(),
            report_interval: REPORT_INTERVAL,
            load_updates: true,
            seed: 3,
        };
        let due = |n: usize| [n as f64 / VMS as f64, (n * 7 % VMS) as f64 / VMS as f64];
        Self {
            flow: Flow::new(settings, engines, &domains),
            due: (0..VMS).map(due).collect(),
        }
    }

    fn run_until(&mut self, end: Time, mut seen: impl FnMut(&Flow)) {
        while self.flow.now < end {
            for vm in 0..self.due.len() {
                if self.flow.vms[vm].paused {
                    continue;
                }
                let urgent = match is_urgent(vm) {
                    true => URGENT_PER_SECOND,
                    false => 0.0,
                };
                let kinds = [(URGENT, urgent), (PATIENT, PATIENT_PER_SECOND)];
                for (due, (ask, rate)) in self.due[vm].iter_mut().zip(kinds) {
                    *due += rate * STEP.as_secs_f64();
                    while *due >= 1.0 {
                        *due -= 1.0;
                        self.flow.submit(vm, ask);
                    }
                }
            }
            self.flow.step();
            seen(&self.flow);
        }
    }
}

/// The state of the fleet after a step.
struct Step {
    at: Time,
    fill: f64,
    /// Waiting requests, and those of them that are urgent.
    queued: usize,
    urgent_queued: usize,
    /// Rounds in which a request of each VM left room.
    held_back: Vec<u64>,
}

impl Step {
    fn of(flow: &Flow) -> Self {
        let worlds = || flow.vms.iter().map(|vm| &vm.world);
        let requests = worlds().flat_map(World::requests).map(|(_, row)| row);
        let urgent = requests.filter(|r| r.upstream.is_none() && r.submission.priority == 0);
        Self {
            at: flow.now,
            fill: flow.engines.values().map(Engine::fill).sum::<f64>() / ENGINES as f64,
            queued: worlds().map(World::queued).sum(),
            urgent_queued: urgent.count(),
            held_back: worlds().map(World::held_back).collect(),
        }
    }
}

/// What was seen of a fleet whose engines are full from [`CONTENDED_AT`]. Some VMs are cut off
/// at [`CUT_OFF_AT`], when one pauses and one starts; all VMs with urgent work fall silent at
/// [`SILENT_AT`].
struct Observed {
    placements: Vec<Placement>,
    steps: Vec<Step>,
    refused: HashMap<u8, usize>,
}

const CUT_OFF: [usize; 2] = [4, 13];
const CUT_OFF_URGENT: usize = 9;
const PAUSED: usize = 5;
const STARTED: usize = VMS;
const CONTENDED_AT: Duration = Duration::from_secs(8);
const CUT_OFF_AT: Duration = Duration::from_secs(12);
const PAUSE_ENDS_AT: Duration = Duration::from_secs(15);
const SILENT_AT: Duration = Duration::from_secs(20);
const ENDS_AT: Duration = Duration::from_secs(26);
/// Age after which a report no longer counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

fn observed() -> &'static Observed {
    static OBSERVED: OnceLock<Observed> = OnceLock::new();
    OBSERVED.get_or_init(run)
}

fn run() -> Observed {
    let mut fleet = Fleet::new();
    let mut steps = Vec::new();
    let mut note = |flow: &Flow| steps.push(Step::of(flow));
    fleet.run_until(CUT_OFF_AT, &mut note);
    for vm in CUT_OFF.into_iter().chain([CUT_OFF_URGENT]) {
        fleet.flow.vms[vm].cut_off = true;
    }
    fleet.flow.vms[PAUSED].paused = true;
    fleet.flow.start_vm("a");
    fleet.due.push([0.0; 2]);
    fleet.run_until(PAUSE_ENDS_AT, &mut note);
    fleet.flow.vms[PAUSED].paused = false;
    fleet.run_until(SILENT_AT, &mut note);
    for vm in (0..VMS).filter(|vm| is_urgent(*vm)) {
        fleet.flow.vms[vm].paused = true;
    }
    fleet.run_until(ENDS_AT, &mut note);
    Observed {
        placements: fleet.flow.placements,
        steps,
        refused: fleet.flow.refused,
    }
}

impl Observed {
    fn steps(&self, range: Range<Time>) -> impl Iterator<Item = &Step> {
        self.steps.iter().filter(move |s| range.contains(&s.at))
    }

    fn placements(&self, ask: Ask, range: Range<Time>) -> impl Iterator<Item = &Placement> {
        let placements = self.placements.iter();
        placements.filter(move |p| p.ask == ask && range.contains(&p.at))
    }

    fn assert_urgent_in_time(&self, range: Range<Time>) {
        let urgent: Vec<_> = self.placements(URGENT, range).collect();
        let is_late = |p: &&&Placement| p.first_token.is_none_or(|time| time > p.ask.objective);
        let late = urgent.iter().filter(is_late).count();
        let most = urgent.len() as f64 * MOST_LATE;
        assert!(late as f64 <= most, "{late} of {}", urgent.len());
    }

    /// How often a request of a VM left room.
    fn held_back(&self, vm: usize, range: Range<Time>) -> u64 {
        let counts = |step: &Step| step.held_back.get(vm).copied().unwrap_or(0);
        let counts: Vec<u64> = self.steps(range).map(counts).collect();
        counts[counts.len() - 1] - counts[0]
    }
}

#[test]
fn freed_room_goes_to_the_urgent_first() {
    let observed = observed();
    assert!(observed.steps.iter().all(|s| s.urgent_queued == 0));
    let waiting = observed
        .steps(CONTENDED_AT..SILENT_AT)
        .filter(|s| s.queued > 0);
    assert!(waiting.count() > 590, "patient work waits all the time");
    // Those placed later may not have begun when their VMs fall silent.
    observed.assert_urgent_in_time(CONTENDED_AT..SILENT_AT - URGENT.objective);
}

/// The patient requests that waited first have no time left towards the end, and no longer leave
/// room.
#[test]
fn urgent_requests_are_in_time_beside_patient_ones_that_are_due() {
    observed().assert_urgent_in_time(CONTENDED_AT..SILENT_AT);
}

#[test]
fn patient_work_progresses_on_every_vm() {
    let observed = observed();
    let contended = CONTENDED_AT..SILENT_AT;
    for second in 8..18 {
        let start = Duration::from_secs(second);
        let placed = observed.placements(PATIENT, start..start + REPORT_LIFETIME);
        assert!(placed.count() > 0, "none placed from {start:?} on");
    }
    for vm in 0..=STARTED {
        let of_vm = observed.placements(PATIENT, contended.clone());
        assert!(of_vm.filter(|p| p.vm == vm).count() > 0, "vm {vm}");
    }
    let placed = observed
        .placements(PATIENT, Duration::ZERO..ENDS_AT)
        .count();
    let refused = observed.refused.values().sum::<usize>();
    assert!(20 * refused <= placed, "{refused} refused, {placed} placed");
}

/// Waiting requests leave free what the urgent work of all VMs needs, twice as the overcommitted
/// part shrinks by as much, and nothing for longer than a report is valid.
#[test]
fn room_is_not_unused_for_longer_than_reports_are_valid() {
    let observed = observed();
    // Urgent requests hold 900 tokens for about 1.6 s.
    let urgent = VMS as f64 / 3.0 * URGENT_PER_SECOND * 900.0 * 1.6;
    let need = urgent / (ENGINES as u64 * CAPACITY_TOKENS) as f64;
    let floor = PLACED_FILL - RESERVE - 2.0 * need - 1.0 / 10.0;
    let mut unused_since = None;
    for step in observed.steps(CONTENDED_AT..SILENT_AT) {
        let unused = step.queued > 0 && step.fill < floor;
        unused_since = unused.then(|| unused_since.unwrap_or(step.at));
        let unused_for = unused_since.map_or(Duration::ZERO, |since| step.at - since);
        assert!(
            unused_for <= REPORT_LIFETIME,
            "{:?}: {}",
            step.at,
            step.fill
        );
    }
    let forgotten = SILENT_AT + REPORT_INTERVAL + REPORT_LIFETIME + STEP;
    for vm in 0..=STARTED {
        let before = observed.held_back(vm, forgotten..ENDS_AT);
        assert_eq!(before, 0, "vm {vm} leaves room to VMs that are silent");
    }
    let held_back: u64 = (0..=STARTED)
        .map(|vm| observed.held_back(vm, SILENT_AT..forgotten))
        .sum();
    assert!(held_back > 0);
}

#[test]
fn a_vm_that_is_cut_off_falls_back_to_its_own_arrivals() {
    let observed = observed();
    let forgotten = CUT_OFF_AT + REPORT_LIFETIME + STEP;
    let held_back = |range: Range<Time>| -> u64 {
        let counts = CUT_OFF
            .into_iter()
            .map(|vm| observed.held_back(vm, range.clone()));
        counts.sum()
    };
    assert!(held_back(CONTENDED_AT..forgotten) > 0);
    assert_eq!(held_back(forgotten..SILENT_AT), 0);
    let own = observed.held_back(CUT_OFF_URGENT, forgotten..SILENT_AT);
    assert!(own > 0, "it leaves room to its own urgent requests");
    let patient = observed.placements(PATIENT, forgotten..SILENT_AT);
    assert!(patient.filter(|p| p.vm == CUT_OFF_URGENT).count() > 0);
}
