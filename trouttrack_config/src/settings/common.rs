//! Sections that every program reads.

use crate::finding::FindingKind;
use crate::ini::SectionReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// `[vm]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmSettings {
    /// Name of this process among its peers.
    pub name: String,
    /// The failure domain that it stands in.
    pub failure_domain: String,
}

impl VmSettings {
    pub(super) fn read(r: &mut SectionReader<'_>) -> Self {
        Self {
            name: r.required("name"),
            failure_domain: r.required("failure_domain"),
        }
    }
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// For programs.
    Json,
}

/// `[log]`
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Form of the lines.
    pub format: LogFormat,
    /// The least severe level logged.
    pub level: LogLevel,
}

/// A log level by name.
pub(super) type LogLevel = log::LevelFilter;

impl LogSettings {
    pub(super) fn read(r: &mut SectionReader<'_>) -> Self {
        Self {
            format: r.parse_with("format", LogFormat::Text, |v| match v {
                "text" => Ok(LogFormat::Text),
                "json" => Ok(LogFormat::Json),
                _ => Err("must be text or json".to_owned()),
            }),
            level: r.parse_with("level", LogLevel::Info, |v| {
                v.parse()
                    .map_err(|_| "must be error, warn, info, debug or trace".to_owned())
            }),
        }
    }
}

/// `[trace]`
#[derive(Clone, Debug, PartialEq)]
pub struct TraceSettings {
    /// Where spans are sent; none are made without it.
    pub otlp_url: Option<String>,
    /// The share of untraced requests that get a trace.
    pub sample: f64,
}

impl TraceSettings {
    pub(super) fn read(r: &mut SectionReader<'_>) -> Self {
        Self {
            otlp_url: r.text("otlp_url").map(str::to_owned),
            sample: r.within("sample", 1.0, 0.0, 1.0),
        }
    }
}

/// `[platform]`
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformSettings {
    /// Base URL of the object API.
    pub url: String,
    /// How long a call may take.
    pub timeout: Duration,
    /// The most calls a second.
    pub calls_per_second: f64,
}

impl PlatformSettings {
    pub(super) fn read(r: &mut SectionReader<'_>) -> Self {
        let url = r.required("url");
        if !url.is_empty() && !url.starts_with("http://") && !url.starts_with("https://") {
            let line = r.line("url");
            let message = format!("`{url}`: must start with http:// or https://");
            r.report(FindingKind::BadValue, "url", line, message);
        }
        Self {
            url,
            timeout: r.duration("timeout", Duration::from_secs(2)),
            calls_per_second: r.within("calls_per_second", 20.0, 0.1, 10_000.0),
        }
    }
}

/// `[rpc]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RpcSettings {
    /// Where peers reach this process.
    pub listen: SocketAddr,
    /// The gateways known from the start.
    pub peers: Vec<SocketAddr>,
}

impl RpcSettings {
    pub(super) fn read(r: &mut SectionReader<'_>) -> Self {
        Self {
            listen: r.parse("listen", SocketAddr::from(([127, 0, 0, 1], 0))),
            peers: r.parse_with("peers", Vec::new(), |v| {
                v.split(',')
                    .map(str::trim)
                    .filter(|s| !s.is_empty())
                    .map(|s| s.parse().map_err(|e| format!("{s}: {e}")))
                    .collect()
            }),
        }
    }
}

/// `[tls]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// PEM certificate chain.
    pub certificate: PathBuf,
    /// PEM private key.
    pub key: PathBuf,
    /// How often both are looked at.
    pub reload: Duration,
}

impl TlsSettings {
    pub(super) fn read(r: &mut SectionReader<'_>) -> Option<Self> {
        let certificate = r.text("certificate").map(PathBuf::from);
        let key = r.text("key").map(PathBuf::from);
        let reload = r.duration("reload", Duration::from_secs(10));
        let missing = match (&certificate, &key) {
            (Some(_), None) => Some(("key", "must be given with `certificate`")),
            (None, Some(_)) => Some(("certificate", "must be given with `key`")),
            _ => None,
        };
        if let Some((name, message)) = missing {
            let line = r.line(name);
            r.report(FindingKind::Missing, name, line, message.to_owned());
        }
        Some(Self {
            certificate: certificate?,
            key: key?,
            reload,
        })
    }
}
