//! Admission of callers' connections to a VM.
//!
//! The load balancer may hand one VM most new connections of its failure domain. A connection
//! that is closed before anything was read costs its caller one more connection, which reaches
//! another VM; a request that was read and is served badly costs the caller its answer. So a VM
//! accepts only what it can serve, by two bounds:
//!
//! - a number of open connections, each of which may need memory and descriptors;
//! - the time by which its event loop is late. Beyond [`IntakeSettings::max_lag`] it closes a
//!   part of the new connections, the larger the later the loop is, so that the rest is served
//!   in time. A VM without live peers closes none for this reason.

use crate::Time;
use std::time::Duration;

/// How long a lag is believed.
const LAG_VALID: Duration = Duration::from_secs(1);
/// Default bound on open connections. Together with a connection to an upstream for each, it is
/// half of the descriptors of a VM of the smallest kind.
const DEFAULT_MAX_CONNECTIONS: usize = 1024;
/// Default lag beyond which connections are closed, a fraction of the shortest objectives.
const DEFAULT_MAX_LAG: Duration = Duration::from_millis(100);

/// Settings of the intake.
///
/// # Examples
///
/// ```
/// use trouttrack_core::intake::IntakeSettings;
/// assert_eq!(IntakeSettings::default().max_connections, 1024);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IntakeSettings {
    /// Open connections beyond which new ones are closed.
    pub max_connections: usize,
    /// Lag of the event loop beyond which a part of the new connections is closed.
    pub max_lag: Duration,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            max_connections: DEFAULT_MAX_CONNECTIONS,
            max_lag: DEFAULT_MAX_LAG,
        }
    }
}

/// Why a new connection is closed unread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedReason {
    /// Too many connections are open.
    Connections,
    /// The event loop is late.
    Lag,
}

impl ShedReason {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::Lag => "lag",
        }
    }
}

/// Decides which new connections a VM accepts.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::intake::{Intake, IntakeSettings, ShedReason};
/// let settings = IntakeSettings { max_connections: 1, ..IntakeSettings::default() };
/// let mut intake = Intake::new(settings);
/// let now = Duration::from_secs(1);
/// assert_eq!(intake.open(now, 0.0, true), Ok(()));
/// assert_eq!(intake.open(now, 0.0, true), Err(ShedReason::Connections));
/// intake.close();
/// assert_eq!(intake.open(now, 0.0, true), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct Intake {
    settings: IntakeSettings,
    connections: usize,
    lag: Duration,
    lag_at: Time,
}

impl Intake {
    /// Creates an intake without open connections.
    #[must_use]
    pub fn new(settings: IntakeSettings) -> Self {
        Self {
            settings,
            connections: 0,
            lag: Duration::ZERO,
            lag_at: Time::ZERO,
        }
    }

    /// Number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// Counts a new connection, unless it must be closed unread. `draw` is a random number from 0
    /// to 1; `has_peers` tells whether another VM may serve the caller instead.
    ///
    /// # Errors
    ///
    /// Why the connection must be closed.
    pub fn open(&mut self, now: Time, draw: f64, has_peers: bool) -> Result<(), ShedReason> {
        if self.connections >= self.settings.max_connections {
            return Err(ShedReason::Connections);
        }
        if has_peers && draw < self.shed_share(now) {
            return Err(ShedReason::Lag);
        }
        self.connections += 1;
        Ok(())
    }

    /// Records that a connection that was counted is closed.
    pub fn close(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Records by how much the event loop was late.
    pub fn record_lag(&mut self, now: Time, lag: Duration) {
        self.lag = lag;
        self.lag_at = now;
    }

    /// Share of the new connections that are closed because of the lag: what would bring it back
    /// to its bound if it is in proportion to the connections.
    fn shed_share(&self, now: Time) -> f64 {
        let max = self.settings.max_lag;
        if max.is_zero() || self.lag <= max || now.saturating_sub(self.lag_at) > LAG_VALID {
            return 0.0;
        }
        1.0 - max.as_secs_f64() / self.lag.as_secs_f64()
    }
}
