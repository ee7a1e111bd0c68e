//! A fleet as operators write it: one INI section for each entity.

use super::types::{
    Evacuation, Fleet, Organisation, Priority, Rule, Service, ServiceKind, Target, Upstream,
    hash_key,
};
use super::validate::validate;
use crate::finding::{Finding, FindingKind, Findings};
use crate::ini::{Document, Section, SectionReader};
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;
use trouttrack_core::request::Delivery;

const SERVICE: &[&str] = &[
    "kind",
    "model",
    "priority",
    "delivery",
    "repeatable",
    "queue_deadline",
    "max_tokens",
];
const ORGANISATION: &[&str] = &["key", "key_sha256", "weight", "max_running"];
const UPSTREAM: &[&str] = &[
    "url",
    "failure_domain",
    "services",
    "capacity_tokens",
    "max_running",
    "checks_fence",
    "draining",
];
const RULE: &[&str] = &["asked", "organisation", "to", "priority"];

const DEFAULT_QUEUE_DEADLINE: Duration = Duration::from_secs(60);
const DEFAULT_MAX_TOKENS: u64 = 32_768;
const DEFAULT_MAX_RUNNING: usize = 64;

/// Reads and checks a fleet file.
///
/// # Errors
///
/// Everything that is wrong, with lines.
pub fn read_file(path: &Path) -> Result<Fleet, Findings> {
    let mut findings = Findings::default();
    let doc = Document::read(path, &mut findings);
    from_document(&doc, findings)
}

/// Reads and checks a parsed fleet file; `findings` are those of the parser.
///
/// # Errors
///
/// Everything that is wrong, with lines.
///
/// # Examples
///
/// ```
/// use trouttrack_config::{fleet::from_document, ini::Document, Findings};
/// let mut findings = Findings::default();
/// let text = "[service tides]\nkind = plain\nrepeatable = yes\n";
/// let doc = Document::parse("fleet.ini", text, &mut findings);
/// let fleet = from_document(&doc, findings).unwrap();
/// assert_eq!(fleet.services[0].name, "tides");
/// ```
pub fn from_document(doc: &Document, mut findings: Findings) -> Result<Fleet, Findings> {
    let mut fleet = Fleet::default();
    for section in &doc.sections {
        read_section(doc, section, &mut fleet, &mut findings);
    }
    if let Err(found) = validate(&fleet) {
        findings.append(with_lines(doc, &found));
    }
    fleet.sort();
    findings.into_result(fleet)
}

pub(super) fn read_section(
    doc: &Document,
    section: &Section,
    fleet: &mut Fleet,
    findings: &mut Findings,
) {
    let mut r = SectionReader::new(&doc.file, &section.name, Some(section), findings);
    let (kind, name) = section.name.split_once(' ').unwrap_or((&section.name, ""));
    let name = name.trim().to_owned();
    match kind {
        "service" => fleet.services.push(service(&mut r, name)),
        "organisation" => fleet.organisations.push(organisation(&mut r, name)),
        "upstream" => fleet.upstreams.push(upstream(&mut r, name)),
        "rule" => fleet.rules.push(rule(&mut r, name)),
        "evacuation" => fleet.evacuations.push(evacuation(&mut r, name)),
        _ => r.report(
            FindingKind::UnknownSection,
            "",
            section.line,
            "a fleet has sections `service NAME`, `organisation NAME`, `upstream NAME`, `rule NAME` and `evacuation NAME`"
                .to_owned(),
        ),
    }
}

/// Gives findings about whole entities the lines of their sections.
pub(super) fn with_lines(doc: &Document, found: &Findings) -> Findings {
    let mut out = Findings::default();
    for f in found.iter() {
        let section = doc.section(&f.section);
        let key = if f.key == "keys" { "key" } else { &f.key };
        let entry = section.and_then(|s| s.entries.iter().find(|e| e.key == key));
        out.push(Finding {
            file: doc.file.clone(),
            line: entry.map_or_else(|| section.map_or(0, |s| s.line), |e| e.line),
            ..f.clone()
        });
    }
    out
}

fn yes_or_no(v: &str) -> Result<bool, String> {
    match v {
        "yes" | "true" => Ok(true),
        "no" | "false" => Ok(false),
        _ => Err("must be yes or no".to_owned()),
    }
}

fn service(r: &mut SectionReader<'_>, name: String) -> Service {
    r.only(SERVICE);
    let kind = r.parse_with("kind", ServiceKind::Model, |v| match v {
        "model" => Ok(ServiceKind::Model),
        "plain" => Ok(ServiceKind::Plain),
        _ => Err("must be model or plain".to_owned()),
    });
    r.required("repeatable");
    Service {
        name,
        kind,
        model: r.text("model").unwrap_or_default().to_owned(),
        priority: r.parse("priority", Priority::Normal),
        delivery: r.parse_with("delivery", Delivery::Stream, |v| match v {
            "stream" => Ok(Delivery::Stream),
            "whole" => Ok(Delivery::Whole),
            _ => Err("must be stream or whole".to_owned()),
        }),
        repeatable: r.parse_with("repeatable", false, yes_or_no),
        queue_deadline: r.duration("queue_deadline", DEFAULT_QUEUE_DEADLINE),
        max_tokens: r.within("max_tokens", DEFAULT_MAX_TOKENS, 1, 1_000_000),
    }
}

fn organisation(r: &mut SectionReader<'_>, name: String) -> Organisation {
    r.only(ORGANISATION);
    let mut keys: Vec<String> = r.list("key").iter().map(|k| hash_key(k)).collect();
    keys.extend(r.list("key_sha256"));
    let max_running = r
        .text("max_running")
        .map(|_| r.within("max_running", 1, 1, 1_000_000));
    Organisation {
        name,
        keys,
        weight: r.within("weight", 1.0, 0.001, 1e6),
        max_running,
    }
}

fn upstream(r: &mut SectionReader<'_>, name: String) -> Upstream {
    r.only(UPSTREAM);
    Upstream {
        name,
        url: r.required("url"),
        failure_domain: r.required("failure_domain"),
        services: r.list("services"),
        capacity_tokens: r.parse("capacity_tokens", 0),
        max_running: r.within("max_running", DEFAULT_MAX_RUNNING, 1, 1_000_000),
        checks_fence: r.parse_with("checks_fence", true, yes_or_no),
        draining: r.parse_with("draining", false, yes_or_no),
    }
}

fn rule(r: &mut SectionReader<'_>, name: String) -> Rule {
    r.only(RULE);
    let priority = r
        .text("priority")
        .map(|_| r.parse("priority", Priority::Normal));
    Rule {
        name,
        asked: r.text("asked").map(str::to_owned),
        organisation: r.text("organisation").map(str::to_owned),
        to: r.parse_with("to", Vec::new(), targets),
        priority,
    }
}

fn evacuation(r: &mut SectionReader<'_>, name: String) -> Evacuation {
    r.only(&[]);
    Evacuation { name }
}

/// Parses `service`, or `service:weight` separated by commas.
fn targets(v: &str) -> Result<Vec<Target>, String> {
    v.split(',')
        .map(str::trim)
        .filter(|t| !t.is_empty())
        .map(|t| {
            let (service, weight) = t.split_once(':').unwrap_or((t, "1"));
            Ok(Target {
                service: service.trim().to_owned(),
                weight: weight
                    .trim()
                    .parse()
                    .map_err(|_| format!("`{weight}` is not a weight"))?,
            })
        })
        .collect()
}

/// Writes a fleet as INI, the form that [`read_file`] reads.
///
/// # Examples
///
/// ```
/// use trouttrack_config::fleet::{to_ini, Fleet};
/// assert_eq!(to_ini(&Fleet::default()), "");
/// ```
#[must_use]
pub fn to_ini(fleet: &Fleet) -> String {
    let mut out = String::new();
    for s in &fleet.services {
        write_service(&mut out, s);
    }
    for o in &fleet.organisations {
        write_organisation(&mut out, o);
    }
    for u in &fleet.upstreams {
        write_upstream(&mut out, u);
    }
    for r in &fleet.rules {
        write_rule(&mut out, r);
    }
    for e in &fleet.evacuations {
        let _ = write!(out, "[evacuation {}]\n\n", e.name);
    }
    out
}

fn word(yes: bool) -> &'static str {
    if yes { "yes" } else { "no" }
}

fn write_service(out: &mut String, s: &Service) {
    let kind = match s.kind {
        ServiceKind::Model => "model",
        ServiceKind::Plain => "plain",
    };
    let delivery = match s.delivery {
        Delivery::Stream => "stream",
        Delivery::Whole => "whole",
    };
    let deadline = humantime::format_duration(s.queue_deadline);
    let _ = write!(
        out,
        "[service {}]\nkind = {kind}\npriority = {}\ndelivery = {delivery}\nrepeatable = {}\nqueue_deadline = {deadline}\nmax_tokens = {}\n",
        s.name,
        s.priority,
        word(s.repeatable),
        s.max_tokens
    );
    if !s.model.is_empty() {
        let _ = writeln!(out, "model = {}", s.model);
    }
    out.push('\n');
}

fn write_organisation(out: &mut String, o: &Organisation) {
    let _ = write!(
        out,
        "[organisation {}]\nkey_sha256 = {}\nweight = {}\n",
        o.name,
        o.keys.join(", "),
        o.weight
    );
    if let Some(most) = o.max_running {
        let _ = writeln!(out, "max_running = {most}");
    }
    out.push('\n');
}

fn write_upstream(out: &mut String, u: &Upstream) {
    let _ = write!(
        out,
        "[upstream {}]\nurl = {}\nfailure_domain = {}\nservices = {}\ncapacity_tokens = {}\nmax_running = {}\nchecks_fence = {}\ndraining = {}\n\n",
        u.name,
        u.url,
        u.failure_domain,
        u.services.join(", "),
        u.capacity_tokens,
        u.max_running,
        word(u.checks_fence),
        word(u.draining)
    );
}

fn write_rule(out: &mut String, r: &Rule) {
    let to: Vec<String> =
        r.to.iter()
            .map(|t| format!("{}:{}", t.service, t.weight))
            .collect();
    let _ = writeln!(out, "[rule {}]", r.name);
    if let Some(asked) = &r.asked {
        let _ = writeln!(out, "asked = {asked}");
    }
    if let Some(organisation) = &r.organisation {
        let _ = writeln!(out, "organisation = {organisation}");
    }
    let _ = writeln!(out, "to = {}", to.join(", "));
    if let Some(priority) = r.priority {
        let _ = writeln!(out, "priority = {priority}");
    }
    out.push('\n');
}
