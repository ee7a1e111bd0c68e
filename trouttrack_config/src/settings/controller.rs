//! The controller's own sections.

use super::common::{
    LogSettings, PlatformSettings, RpcSettings, TlsSettings, TraceSettings, VmSettings,
};
use super::load::{Sections, Settings};
use crate::finding::FindingKind;
use crate::ini::SectionReader;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

const MIB: usize = 1024 * 1024;

/// Everything that `trouttrack_controller` reads.
#[derive(Clone, Debug)]
pub struct ControllerSettings {
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
    /// `[admin]`
    pub admin: AdminSettings,
    /// `[orders]`
    pub orders: OrderSettings,
}

/// `[orders]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// How long the lease is held without being renewed.
    pub lease: Duration,
    /// How often engines are looked at.
    pub every: Duration,
    /// Pause between two orders.
    pub pace: Duration,
}

impl OrderSettings {
    fn read(r: &mut SectionReader<'_>) -> Self {
        Self {
            lease: r.duration("lease", Duration::from_secs(10)),
            every: r.duration("every", Duration::from_secs(5)),
            pace: r.duration("pace", Duration::from_secs(2)),
        }
    }
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// May look.
    Viewer,
    /// May look and change.
    Operator,
}

/// One operator's key.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorKey {
    /// Who it is, for the audit trail.
    pub name: String,
    /// What it allows.
    pub role: Role,
    /// The secret.
    pub key: String,
}

impl std::fmt::Debug for OperatorKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorKey")
            .field("name", &self.name)
            .field("role", &self.role)
            .finish_non_exhaustive()
    }
}

impl FromStr for OperatorKey {
    type Err = String;

    /// # Examples
    ///
    /// ```
    /// use trouttrack_config::settings::OperatorKey;
    /// let key: OperatorKey = "night-desk:viewer:s3cret".parse().unwrap();
    /// assert_eq!(key.name, "night-desk");
    /// assert!(!format!("{key:?}").contains("s3cret"));
    /// ```
    fn from_str(s: &str) -> Result<Self, String> {
        let mut parts = s.splitn(3, ':');
        let (Some(name), Some(role), Some(key)) = (parts.next(), parts.next(), parts.next()) else {
            return Err("must be name:role:key".to_owned());
        };
        let role = match role {
            "viewer" => Role::Viewer,
            "operator" => Role::Operator,
            _ => return Err("the role must be viewer or operator".to_owned()),
        };
        Ok(Self {
            name: name.to_owned(),
            role,
            key: key.to_owned(),
        })
    }
}

/// `[admin]`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdminSettings {
    /// Where operators connect.
    pub listen: SocketAddr,
    /// The operators' keys.
    pub keys: Vec<OperatorKey>,
    /// The largest body, in bytes.
    pub max_body: usize,
    /// How long a change waits to be in force everywhere.
    pub in_force_timeout: Duration,
}

impl AdminSettings {
    fn read(r: &mut SectionReader<'_>) -> Self {
        let given = r.required("key");
        let keys = match given.is_empty() {
            true => Vec::new(),
            false => Self::keys(r, &given),
        };
        Self {
            listen: r.parse("listen", SocketAddr::from(([127, 0, 0, 1], 8081))),
            keys,
            max_body: r.size("max_body", MIB),
            in_force_timeout: r.duration("in_force_timeout", Duration::from_secs(5)),
        }
    }

    /// Reads the keys one by one; a finding never repeats the secret.
    fn keys(r: &mut SectionReader<'_>, given: &str) -> Vec<OperatorKey> {
        let line = r.line("key");
        let mut keys = Vec::new();
        for (i, text) in given.split(',').map(str::trim).enumerate() {
            match text.parse() {
                Ok(key) => keys.push(key),
                Err(e) => {
                    let message = format!("key {}: {e}", i + 1);
                    r.report(FindingKind::BadValue, "key", line, message);
                }
            }
        }
        keys
    }
}

impl Settings for ControllerSettings {
    const PROGRAM: super::Program = super::Program::Controller;

    fn read(s: &mut Sections<'_>) -> Self {
        Self {
            vm: s.section("vm", VmSettings::read),
            log: s.section("log", LogSettings::read),
            trace: s.section("trace", TraceSettings::read),
            platform: s.section("platform", PlatformSettings::read),
            rpc: s.section("rpc", RpcSettings::read),
            tls: s.section("tls", TlsSettings::read),
            admin: s.section("admin", AdminSettings::read),
            orders: s.section("orders", OrderSettings::read),
        }
    }
}
