//! The front's own sections.

use super::common::{LogSettings, VmSettings};
use super::keys::Program;
use super::load::{Sections, Settings};
use crate::finding::FindingKind;
use crate::ini::SectionReader;
use bytesize::ByteSize;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use trouttrack_core::buffers::BufferLimits;
use trouttrack_core::intake::IntakeSettings;
use trouttrack_core::quarantine::{QuarantineSettings, Subject};
use trouttrack_core::routing::{AnyPolicy, Weights};
use trouttrack_core::world::AdmissionSettings;

/// Lower limit of `[buffers] request` in bytes, a few events.
const MIN_REQUEST_BUFFER: usize = 16 << 10;

/// Everything that `trouttrack_front` reads.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// `[vm]`
    pub vm: VmSettings,
    /// `[log]`
    pub log: LogSettings,
    /// `[platform]`
    pub store: StoreSettings,
    /// `[front]`
    pub front: ListenSettings,
    /// `[front]`: which connections of callers are accepted.
    pub intake: IntakeSettings,
    /// `[bounds]`
    pub bounds: BoundSettings,
    /// `[retry]`
    pub retry: RetrySettings,
    /// `[quarantine]`
    pub quarantine: QuarantineSettings,
    /// `[quarantine] lift`: requests and parts of prompts that are never held.
    pub lifted: Vec<Subject>,
    /// `[serving]`
    pub serving: ServingSettings,
    /// `[placement]`
    pub placement: Weights,
    /// `[buffers]`
    pub buffers: BufferLimits,
    /// `[admission]`
    pub admission: AdmissionSettings,
}

/// `[platform]`
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// Where the store is.
    pub addr: SocketAddr,
}

impl StoreSettings {
    fn read(r: &mut SectionReader<'_>) -> Self {
        // Reports a key that is missing.
        r.required("url");
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        Self {
            addr: r.parse_with("url", nowhere, |url| {
                let addr = url.strip_prefix("http://").unwrap_or(url);
                let addr = addr.trim_end_matches('/').parse();
                addr.map_err(|_| "must be http://IP:PORT".to_owned())
            }),
        }
    }
}

/// `[front]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListenSettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether this process is ready.
    pub ready: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Where peers send their heartbeats, over UDP, and ask for what no datagram holds,
    /// over TCP.
    pub peers: SocketAddr,
    /// Local address of connections to upstreams; by default the system chooses it.
    pub source: Option<IpAddr>,
}

impl ListenSettings {
    fn read(r: &mut SectionReader<'_>) -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            listen: r.parse("listen", local(8080)),
            ready: r.parse("ready", local(8089)),
            metrics: r.parse("metrics", local(9464)),
            peers: r.parse("peers", local(7200)),
            source: r.parse_with("source", None, |ip| {
                let ip = ip.parse().map_err(|_| "must be an IP address".to_owned());
                ip.map(Some)
            }),
        }
    }
}

/// `[front]`: which connections of callers are accepted.
fn intake(r: &mut SectionReader<'_>) -> IntakeSettings {
    let default = IntakeSettings::default();
    IntakeSettings {
        max_connections: r.within("max_connections", default.max_connections, 1, 1_000_000),
        max_lag: r.duration("max_lag", default.max_lag),
    }
}

/// `[bounds]`: what operators expect to hold within which time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundSettings {
    /// A removed key is refused after this, on every VM.
    pub revoke: Duration,
    /// Whether a removed key must be refused after that bound also by a VM that
    /// cannot reach the store. If not, such a VM serves on by the configuration
    /// that it knows.
    pub revoke_strict: bool,
    /// A new configuration is in force after this.
    pub config_apply: Duration,
    /// The upstreams of an evacuated failure domain get no new work after this.
    pub evacuate: Duration,
    /// Between the signal to stop and the end of the process.
    pub grace: Duration,
}

impl BoundSettings {
    fn read(r: &mut SectionReader<'_>) -> Self {
        Self {
            revoke: r.duration("revoke", Duration::from_secs(5)),
            revoke_strict: r.parse_with("revoke_strict", true, strictness),
            config_apply: r.duration("config_apply", Duration::from_secs(2)),
            evacuate: r.duration("evacuate", Duration::from_secs(5)),
            grace: r.duration("grace", Duration::from_secs(8)),
        }
    }
}

/// `[retry]`: what all VMs together may send beyond the first attempt of each
/// request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed for each request in the window.
    pub ratio: f64,
    /// Retries allowed in the window besides, for the whole fleet.
    pub extra: f64,
    /// The sliding window.
    pub window: Duration,
}

impl RetrySettings {
    fn read(r: &mut SectionReader<'_>) -> Self {
        Self {
            ratio: r.within("ratio", 0.2, 0.0, 1.0),
            extra: r.within("extra", 20.0, 0.0, 1_000_000.0),
            window: r.duration("window", Duration::from_secs(10)),
        }
    }
}

/// `[quarantine]`: requests and parts of prompts that end what runs them.
fn quarantine(r: &mut SectionReader<'_>) -> QuarantineSettings {
    let default = QuarantineSettings::default();
    QuarantineSettings {
        ends: r.within("ends", default.ends, 0, 1000),
        part_ends: r.within("part_ends", default.part_ends, 0, 1000),
        hold: r.duration("hold", default.hold),
    }
}

/// Requests and parts that are never held.
fn lifted(r: &mut SectionReader<'_>) -> Vec<Subject> {
    r.parse_with("lift", Vec::new(), |text| {
        let listed = text.split(',').map(str::trim).filter(|t| !t.is_empty());
        let parsed = listed.map(|t| t.parse().map_err(|e| format!("`{t}`: {e}")));
        parsed.collect()
    })
}

/// `[serving]`: policies that can be switched and measured.
#[derive(Clone, Debug)]
pub struct ServingSettings {
    /// How an upstream is chosen.
    pub policy: AnyPolicy,
    /// Whether changes of the own use of upstreams are told at once.
    pub tell_changes: bool,
    /// Whether running generations are moved away from a leaving upstream.
    pub rescue: bool,
    /// Whether engines are asked if they leave while the store is silent.
    pub ask_engines: bool,
    /// The part of an engine's memory below which a new generation's memory is
    /// also kept at a second engine; 0 keeps none.
    pub backup_below: f64,
    /// Requests that wait; beyond it they are refused.
    pub max_queued: usize,
    /// The part of its objective that a request may wait for an upstream.
    pub wait_for_place: f64,
}

impl ServingSettings {
    fn read(r: &mut SectionReader<'_>) -> Self {
        Self {
            policy: r.parse("policy", AnyPolicy::default()),
            tell_changes: r.parse_with("tell_changes", true, on_off),
            rescue: r.parse_with("rescue", true, on_off),
            ask_engines: r.parse_with("ask_engines", true, on_off),
            backup_below: r.within("backup_below", 0.0, 0.0, 1.0),
            max_queued: r.within("max_queued", 500, 1, 1_000_000),
            wait_for_place: r.within("wait_for_place", 0.6, 0.0, 10.0),
        }
    }
}

/// `[placement]`: what each part of an upstream's score counts; 0 switches it
/// off.
fn weights(r: &mut SectionReader<'_>) -> Weights {
    let default = Weights::default();
    let mut weight = |key, default| r.within(key, default, 0.0, 100.0);
    Weights {
        running: weight("running", default.running),
        fill: weight("fill", default.fill),
        remote: weight("remote", default.remote),
        backlog: weight("backlog", default.backlog),
        cold: weight("cold", default.cold),
        slowdown: weight("slowdown", default.slowdown),
        late: weight("late", default.late),
        pause: weight("pause", default.pause),
        hold: weight("hold", default.hold),
        harm: weight("harm", default.harm),
        speed: weight("speed", default.speed),
    }
}

/// `[buffers]`: bytes kept for peers that read slowly. An organisation's bound holds at least
/// one stream, and the VM's bound at least one organisation.
fn buffers(r: &mut SectionReader<'_>) -> BufferLimits {
    let default = BufferLimits::default();
    let mut size = |key, default: usize, least: usize| {
        let bytes = r.size(key, default.max(least));
        if bytes < least {
            let line = r.line(key);
            let message = format!("must be at least {}", ByteSize(least as u64));
            r.report(FindingKind::BadValue, key, line, message);
        }
        bytes
    };
    let request = size("request", default.request, MIN_REQUEST_BUFFER);
    let organisation = size("organisation", default.organisation, request);
    BufferLimits {
        request,
        organisation,
        vm: size("vm", default.vm, organisation),
    }
}

/// `[admission]`: how requests wait while upstreams are full.
fn admission(r: &mut SectionReader<'_>) -> AdmissionSettings {
    AdmissionSettings {
        keep_room: r.parse_with("keep_room", false, on_off),
        order_by_due: r.parse_with("order_by_due", false, on_off),
        claim_for_large: r.parse_with("claim_for_large", false, on_off),
        refuse_hopeless: r.parse_with("refuse_hopeless", false, on_off),
    }
}

/// The platform writes nothing where its bounds do not say; then the key that was
/// removed counts for more than the request.
fn strictness(value: &str) -> Result<bool, String> {
    match value {
        "true" | "" => Ok(true),
        "false" => Ok(false),
        _ => Err("must be true or false".to_owned()),
    }
}

fn on_off(value: &str) -> Result<bool, String> {
    match value {
        "on" => Ok(true),
        "off" => Ok(false),
        _ => Err("must be on or off".to_owned()),
    }
}

impl Settings for FrontSettings {
    const PROGRAM: Program = Program::Front;

    fn read(s: &mut Sections<'_>) -> Self {
        let (front, intake) = s.section("front", |r| (ListenSettings::read(r), intake(r)));
        let (quarantine, lifted) = s.section("quarantine", |r| (quarantine(r), lifted(r)));
        Self {
            vm: s.section("vm", VmSettings::read),
            log: s.section("log", LogSettings::read),
            store: s.section("platform", StoreSettings::read),
            front,
            intake,
            bounds: s.section("bounds", BoundSettings::read),
            retry: s.section("retry", RetrySettings::read),
            quarantine,
            lifted,
            serving: s.section("serving", ServingSettings::read),
            placement: s.section("placement", weights),
            buffers: s.section("buffers", buffers),
            admission: s.section("admission", admission),
        }
    }
}
