//! Checks a whole fleet, however it was written.

use super::types::{Evacuation, Fleet, Rule, Service, ServiceKind, Upstream};
use crate::finding::{Finding, FindingKind, Findings};
use std::collections::{HashMap, HashSet};

/// The name under which a fleet that came through the API is reported.
const FLEET: &str = "fleet";

struct Checker {
    findings: Findings,
}

impl Checker {
    fn report(&mut self, kind: FindingKind, section: String, key: &str, message: String) {
        self.findings.push(Finding {
            kind,
            file: FLEET.to_owned(),
            section,
            key: key.to_owned(),
            line: 0,
            message,
        });
    }

    fn bad(&mut self, section: String, key: &str, message: &str) {
        self.report(FindingKind::BadValue, section, key, message.to_owned());
    }

    fn unique<'a>(&mut self, what: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = HashSet::new();
        for name in names {
            if !valid_name(name) {
                let message = "a name has letters, digits, `-`, `_` and `.`, at most 100";
                self.bad(format!("{what} {name}"), "name", message);
            }
            if !seen.insert(name) {
                let message = "this name stands twice".to_owned();
                let section = format!("{what} {name}");
                self.report(FindingKind::Duplicate, section, "name", message);
            }
        }
    }

    fn reference(&mut self, section: &str, key: &str, service: &str, known: &Known<'_>) {
        if !known.services.contains_key(service) {
            let message = format!("no service is named `{service}`");
            let section = section.to_owned();
            self.report(FindingKind::MissingReference, section, key, message);
        }
    }
}

struct Known<'a> {
    services: HashMap<&'a str, &'a Service>,
    organisations: HashSet<&'a str>,
}

fn valid_name(name: &str) -> bool {
    const MOST: usize = 100;
    let legal = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= MOST && name.chars().all(legal)
}

/// Checks names, values and references.
///
/// # Errors
///
/// Everything that is wrong.
///
/// # Examples
///
/// ```
/// use trouttrack_config::fleet::{validate, Fleet};
/// assert!(validate(&Fleet::default()).is_ok());
/// ```
pub fn validate(fleet: &Fleet) -> Result<(), Findings> {
    let mut c = Checker {
        findings: Findings::default(),
    };
    c.unique("service", fleet.services.iter().map(|s| s.name.as_str()));
    let organisations = fleet.organisations.iter().map(|o| o.name.as_str());
    c.unique("organisation", organisations.clone());
    c.unique("upstream", fleet.upstreams.iter().map(|u| u.name.as_str()));
    c.unique("rule", fleet.rules.iter().map(|r| r.name.as_str()));
    let evacuations = fleet.evacuations.iter().map(|e| e.name.as_str());
    c.unique("evacuation", evacuations);
    let known = Known {
        services: fleet
            .services
            .iter()
            .map(|s| (s.name.as_str(), s))
            .collect(),
        organisations: organisations.collect(),
    };
    for s in &fleet.services {
        check_service(&mut c, s);
    }
    check_organisations(&mut c, fleet);
    for u in &fleet.upstreams {
        check_upstream(&mut c, u, &known);
    }
    for r in &fleet.rules {
        check_rule(&mut c, r, &known);
    }
    for e in &fleet.evacuations {
        check_evacuation(&mut c, e, fleet);
    }
    c.findings.into_result(())
}

/// A name that no upstream stands in is a slip of the pen.
fn check_evacuation(c: &mut Checker, e: &Evacuation, fleet: &Fleet) {
    let stands_there = |u: &Upstream| u.failure_domain == e.name;
    if !fleet.upstreams.iter().any(stands_there) {
        let message = format!("no upstream stands in `{}`", e.name);
        let section = format!("evacuation {}", e.name);
        c.report(FindingKind::MissingReference, section, "name", message);
    }
}

fn check_service(c: &mut Checker, s: &Service) {
    let section = || format!("service {}", s.name);
    if s.kind == ServiceKind::Model && s.model.is_empty() {
        let message = "a model service names its model".to_owned();
        c.report(FindingKind::Missing, section(), "model", message);
    }
    if s.kind == ServiceKind::Model && s.max_tokens == 0 {
        c.bad(section(), "max_tokens", "must be above 0");
    }
    if s.queue_deadline.is_zero() {
        c.bad(section(), "queue_deadline", "must be above 0");
    }
}

fn check_organisations(c: &mut Checker, fleet: &Fleet) {
    let mut owners: HashMap<&str, &str> = HashMap::new();
    for o in &fleet.organisations {
        let section = || format!("organisation {}", o.name);
        if !(o.weight > 0.0 && o.weight.is_finite()) {
            c.bad(section(), "weight", "must be above 0");
        }
        if o.keys.is_empty() {
            let message = "an organisation has at least one key".to_owned();
            c.report(FindingKind::Missing, section(), "keys", message);
        }
        for key in &o.keys {
            if let Some(owner) = owners.insert(key, &o.name) {
                let message = format!("a key of this organisation is also a key of `{owner}`");
                c.report(FindingKind::Duplicate, section(), "keys", message);
            }
        }
    }
}

fn check_upstream(c: &mut Checker, u: &Upstream, known: &Known<'_>) {
    let section = format!("upstream {}", u.name);
    if !u.url.starts_with("http://") {
        c.bad(section.clone(), "url", "must start with http://");
    }
    if u.max_running == 0 {
        c.bad(section.clone(), "max_running", "must be above 0");
    }
    for name in &u.services {
        c.reference(&section, "services", name, known);
        let service = known.services.get(name.as_str());
        let model = service.is_some_and(|s| s.kind == ServiceKind::Model);
        if model && u.capacity_tokens == 0 {
            let message = "must be above 0 for an upstream of a model service";
            c.bad(section.clone(), "capacity_tokens", message);
        }
    }
}

fn check_rule(c: &mut Checker, r: &Rule, known: &Known<'_>) {
    let section = format!("rule {}", r.name);
    if r.to.is_empty() {
        let message = "a rule names at least one service".to_owned();
        c.report(FindingKind::Missing, section.clone(), "to", message);
    }
    if !r.to.is_empty() && r.to.iter().all(|t| t.weight == 0) {
        c.bad(section.clone(), "to", "at least one weight is above 0");
    }
    for target in &r.to {
        c.reference(&section, "to", &target.service, known);
    }
    if let Some(o) = &r.organisation
        && !known.organisations.contains(o.as_str())
    {
        let message = format!("no organisation is named `{o}`");
        c.report(
            FindingKind::MissingReference,
            section,
            "organisation",
            message,
        );
    }
}
