//! Configurations and keys.

use super::{CONTACT, Evidence, Finding, REVOKE};
use crate::bed::{LASTING_KEY, RouteName};
use crate::callers::Call;
use std::collections::HashMap;
use std::time::{Duration, Instant};
use trouttrack_core::ConfigVersion;

const FORWARD: &str = "a configuration in force never reverts";
const IN_FORCE: &str = "an accepted configuration is in force within seconds";
const DEAD: &str = "a removed key is dead on every VM";
const ALLOWED: &str = "what every configuration allows is not refused";

/// A VM in touch has a configuration in force after this; the settings say two
/// seconds.
const APPLIED: Duration = Duration::from_millis(2500);
/// The statuses that say that a request is not one that is served.
const DENIALS: [u16; 3] = [401, 403, 404];

pub(super) fn check(evidence: &Evidence) -> Vec<Finding> {
    let mut findings: Vec<Finding> = evidence
        .calls
        .iter()
        .flat_map(|call| [denied(call), revoked(evidence, call), late(evidence, call)])
        .flatten()
        .collect();
    findings.extend(backwards(evidence));
    findings
}

fn is_denied(call: &Call) -> bool {
    call.reply().is_some_and(|r| DENIALS.contains(&r.status))
}

/// What stands in all configurations is refused by nobody.
fn denied(call: &Call) -> Option<Finding> {
    let lasting = call.route.is_lasting() && call.key == LASTING_KEY;
    (lasting && is_denied(call)).then(|| Finding::of(ALLOWED, &call.id, format!("{:?}", call.told)))
}

fn revoked(evidence: &Evidence, call: &Call) -> Option<Finding> {
    let keys = &evidence.passing_keys;
    let removed = keys.iter().find(|k| k.text == call.key)?.removed?;
    let dead = call.sent > removed + REVOKE;
    let ran = evidence.runs_of(&call.id).iter().any(|r| r.arrival.ran);
    (dead && ran).then(|| {
        let age = call.sent.duration_since(removed);
        Finding::of(DEAD, &call.id, format!("sent {age:?} after the removal"))
    })
}

/// A marker route that is still unknown to a VM long after its version was
/// acknowledged, while nobody disturbed that VM.
fn late(evidence: &Evidence, call: &Call) -> Option<Finding> {
    let RouteName::Marker(version) = call.route else {
        return None;
    };
    let at = acknowledged(evidence, version)?;
    // The next version does not have the route any more.
    let next = acknowledged(evidence, version + 1);
    let current = next.is_none_or(|next| call.ended < next);
    let unknown = call.reply().is_some_and(|r| r.status == 404);
    let due = call.sent > at + APPLIED;
    let is_late =
        evidence.timed && current && unknown && due && evidence.left_alone(call, CONTACT + APPLIED);
    is_late.then(|| {
        let seen = format!("version {version} is not known");
        Finding::of(IN_FORCE, &call.id, seen)
    })
}

/// When the store acknowledged a version.
fn acknowledged(evidence: &Evidence, version: ConfigVersion) -> Option<Instant> {
    let mut versions = evidence.versions.iter();
    let known = versions.find(|(known, _)| *known == version);
    known.map(|(_, at)| *at)
}

/// Within one life of a VM, a request sent after another one showed a version
/// is not handled by an older one.
fn backwards(evidence: &Evidence) -> Vec<Finding> {
    let mut findings = Vec::new();
    for of_life in shown(evidence).values() {
        for (call, version) in of_life {
            let newer = of_life
                .iter()
                .find(|(other, v)| v > version && other.ended < call.sent);
            if let Some((other, v)) = newer {
                let seen = format!("by version {version} after {} by {v}", other.id);
                findings.push(Finding::of(FORWARD, &call.id, seen));
            }
        }
    }
    findings
}

/// The requests that showed a version, with that version, by VM and its life.
fn shown(evidence: &Evidence) -> HashMap<(usize, u64), Vec<(&Call, ConfigVersion)>> {
    let mut shown: HashMap<_, Vec<_>> = HashMap::new();
    for call in &evidence.calls {
        if let (RouteName::Marker(version), Some(life)) = (call.route, call.life)
            && call.is_served()
        {
            let of_life = shown.entry((call.vm, life)).or_default();
            of_life.push((call, version));
        }
    }
    shown
}
