//! The gateway's own sections.

use super::common::{
    LogSettings, PlatformSettings, RpcSettings, TlsSettings, TraceSettings, VmSettings,
};
use super::load::{Sections, Settings};
use crate::ini::SectionReader;
use std::net::SocketAddr;
use std::time::Duration;
use trouttrack_core::routing::AnyPolicy;

const MIB: usize = 1024 * 1024;

/// Everything that `trouttrack_gateway` reads.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// `[vm]`
    pub vm: VmSettings,
    /// `[log]`
    pub log: LogSettings,
    /// `[trace]`
    pub trace: TraceSettings,
    /// `[platform]`
    pub platform: PlatformSettings,
    /// `[rpc]`
    pub rpc: RpcSettings,
    /// `[tls]`
    pub tls: Option<TlsSettings>,
    /// `[caller]`
    pub caller: CallerSettings,
    /// `[upstream]`
    pub upstream: UpstreamSettings,
    /// `[admission]`
    pub admission: AdmissionSettings,
}

/// `[caller]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Threads that serve callers.
    pub workers: usize,
    /// The largest body, in bytes.
    pub max_body: usize,
    /// How long a caller may take to send its headers, and again its body.
    pub read_timeout: Duration,
    /// Open connections for each thread.
    pub max_connections: usize,
    /// Seals the handles by which callers come back.
    pub handle_secret: String,
    /// How long a planned stop waits for requests in progress.
    pub drain: Duration,
    /// How long `/readyz` says no before the port closes.
    pub drain_notice: Duration,
    /// How long a stream runs on after its caller went away.
    pub reconnect_grace: Duration,
}

impl CallerSettings {
    fn read(r: &mut SectionReader<'_>) -> Self {
        Self {
            listen: r.parse("listen", SocketAddr::from(([127, 0, 0, 1], 8080))),
            workers: r.within("workers", 2, 1, 64),
            max_body: r.size("max_body", MIB),
            read_timeout: r.duration("read_timeout", Duration::from_secs(10)),
            max_connections: r.within("max_connections", 8192, 1, 1_000_000),
            handle_secret: r.required("handle_secret"),
            drain: r.duration("drain", Duration::from_secs(600)),
            drain_notice: r.duration("drain_notice", Duration::from_secs(5)),
            reconnect_grace: r.duration("reconnect_grace", Duration::from_secs(30)),
        }
    }
}

/// `[upstream]`
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSettings {
    /// How long a connection may take.
    pub connect_timeout: Duration,
    /// Silence allowed before the first token.
    pub first_token: Duration,
    /// Silence allowed between tokens.
    pub token_gap: Duration,
    /// How long a probe, cancel or fence may take.
    pub probe: Duration,
    /// The most hand-overs of one request.
    pub attempts: u32,
    /// The most resumes in a row without a new token.
    pub resumes: u32,
    /// How often load reports are asked for.
    pub report_interval: Duration,
    /// Retries allowed for each first attempt, per service.
    pub retry_ratio: f64,
}

impl UpstreamSettings {
    fn read(r: &mut SectionReader<'_>) -> Self {
        Self {
            connect_timeout: r.duration("connect_timeout", Duration::from_secs(1)),
            first_token: r.duration("first_token", Duration::from_secs(30)),
            token_gap: r.duration("token_gap", Duration::from_secs(5)),
            probe: r.duration("probe", Duration::from_secs(1)),
            attempts: r.within("attempts", 3, 1, 20),
            resumes: r.within("resumes", 5, 1, 100),
            report_interval: r.duration("report_interval", Duration::from_millis(500)),
            retry_ratio: r.within("retry_ratio", 0.1, 0.0, 1.0),
        }
    }
}

/// `[admission]`
#[derive(Clone, Debug)]
pub struct AdmissionSettings {
    /// The routing policy.
    pub policy: AnyPolicy,
    /// How much longer each priority may wait than the one above it.
    pub ageing: Duration,
    /// A request that has waited this long goes before all shares.
    pub max_wait: Duration,
    /// The most requests that wait.
    pub max_queued: usize,
    /// Share of an engine's memory kept free for the most urgent priority.
    pub urgent_reserve: f64,
    /// Quantile of the remaining tokens that the memory forecast uses.
    pub growth_quantile: f64,
    /// Tokens that the memory forecast looks ahead.
    pub look_ahead: u64,
    /// How often the systems run.
    pub tick: Duration,
}

impl AdmissionSettings {
    fn read(r: &mut SectionReader<'_>) -> Self {
        let default = "trouttrack"
            .parse()
            .expect("the default policy is a known one");
        Self {
            policy: r.parse("policy", default),
            ageing: r.duration("ageing", Duration::from_secs(5)),
            max_wait: r.duration("max_wait", Duration::from_secs(30)),
            max_queued: r.within("max_queued", 2000, 1, 1_000_000),
            urgent_reserve: r.within("urgent_reserve", 0.1, 0.0, 0.9),
            growth_quantile: r.within("growth_quantile", 0.5, 0.3, 0.99),
            look_ahead: r.within("look_ahead", 512, 16, 1_000_000),
            tick: r.duration("tick", Duration::from_millis(5)),
        }
    }
}

impl Settings for GatewaySettings {
    const PROGRAM: super::Program = super::Program::Gateway;

    fn read(s: &mut Sections<'_>) -> Self {
        Self {
            vm: s.section("vm", VmSettings::read),
            log: s.section("log", LogSettings::read),
            trace: s.section("trace", TraceSettings::read),
            platform: s.section("platform", PlatformSettings::read),
            rpc: s.section("rpc", RpcSettings::read),
            tls: s.section("tls", TlsSettings::read),
            caller: s.section("caller", CallerSettings::read),
            upstream: s.section("upstream", UpstreamSettings::read),
            admission: s.section("admission", AdmissionSettings::read),
        }
    }
}
