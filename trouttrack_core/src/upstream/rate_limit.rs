//! The rate of requests that an upstream in need asks for.

use super::incarnation::Incarnation;
use crate::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The longest that a VM's word of a limit is taken to be on its way. What it tells of is dated
/// back by that, so that a word that comes back to its teller is never newer than its own.
const ON_ITS_WAY: Duration = Duration::from_millis(50);
/// How long before this process started the first moment lies that a statement may be of:
/// peers tell of what they heard before.
const EARLIEST: Duration = Duration::from_secs(24 * 3600);

/// The requests that an upstream takes from all VMs together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateLimit {
    /// As many as come.
    #[default]
    Unlimited,
    /// So many a second.
    PerSecond(f64),
}

impl RateLimit {
    /// The requests a second, if they are limited.
    #[must_use]
    pub fn per_second(self) -> Option<f64> {
        match self {
            Self::Unlimited => None,
            Self::PerSecond(rate) => Some(rate),
        }
    }

    /// Whether there is a limit.
    #[must_use]
    pub fn is_limited(self) -> bool {
        self.per_second().is_some()
    }
}

/// What an upstream said of its limit, and when it said so at the earliest and latest.
///
/// Answers overtake each other, and VMs tell each other of them. A limit ends only by an
/// answer that is surely newer than the last one that named it: one to a request that was
/// sent after that had been heard.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::upstream::{RateLimit, RateStatement};
/// let at = Duration::from_millis;
/// let limited = RateStatement::new(RateLimit::PerSecond(2.5), at(100), at(160));
/// let overtaken = RateStatement::new(RateLimit::Unlimited, at(120), at(170));
/// assert!(!overtaken.replaces(&limited));
/// let newer = RateStatement::new(RateLimit::Unlimited, at(161), at(170));
/// assert!(newer.replaces(&limited));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateStatement {
    /// The limit.
    pub limit: RateLimit,
    /// When the request was sent that it was said in answer to, from `EARLIEST` on.
    asked_at: Time,
    /// When it was heard, from `EARLIEST` on.
    heard_at: Time,
}

impl RateStatement {
    /// What was said in answer to a request that was sent at `asked_at`, and heard at
    /// `heard_at`.
    #[must_use]
    pub fn new(limit: RateLimit, asked_at: Time, heard_at: Time) -> Self {
        Self {
            limit,
            asked_at: EARLIEST + asked_at,
            heard_at: EARLIEST + heard_at,
        }
    }

    /// Whether it is to be believed instead of another one of the same upstream. Of two
    /// that may have been said in either order, the one that names a limit is.
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        match (self.limit.is_limited(), other.limit.is_limited()) {
            (true, false) => self.heard_at >= other.asked_at,
            (false, true) => self.asked_at > other.heard_at,
            _ => self.heard_at > other.heard_at,
        }
    }
}

/// What one VM tells another of an upstream's limit; times are told as ages.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use trouttrack_core::upstream::{Incarnation, RateLimit, RateStatement, ToldLimit};
/// let (life, now) = (Incarnation::new("u1", 7), Duration::from_secs(9));
/// let heard = RateStatement::new(RateLimit::PerSecond(2.5), now, now);
/// let told = ToldLimit::new(&life, &heard, now);
/// // A VM that started later takes it for older than one that hears the upstream itself.
/// let second = Duration::from_secs(1);
/// let own = RateStatement::new(RateLimit::Unlimited, second, second);
/// assert_eq!(told.statement(second).limit, heard.limit);
/// assert!(own.replaces(&told.statement(second)));
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToldLimit {
    /// The upstream's life.
    pub life: Incarnation,
    /// The requests a second that it takes from all VMs together, if they are limited.
    pub per_second: Option<f64>,
    /// How long ago the request was sent that it was said in answer to, in milliseconds.
    pub asked_ms: u64,
    /// How long ago it was heard, in milliseconds.
    pub heard_ms: u64,
}

impl ToldLimit {
    /// Tells what is known at `now` of a life.
    #[must_use]
    pub fn new(life: &Incarnation, statement: &RateStatement, now: Time) -> Self {
        let age = |at: Time| (EARLIEST + now).saturating_sub(at).as_millis() as u64;
        Self {
            life: life.clone(),
            per_second: statement.limit.per_second(),
            asked_ms: age(statement.asked_at),
            heard_ms: age(statement.heard_at),
        }
    }

    /// The statement as of this VM's clock, if it was told at `now`.
    #[must_use]
    pub fn statement(&self, now: Time) -> RateStatement {
        let at = |ms| (EARLIEST + now).saturating_sub(Time::from_millis(ms) + ON_ITS_WAY);
        RateStatement {
            limit: self
                .per_second
                .filter(|rate| rate.is_finite())
                .map_or(RateLimit::Unlimited, RateLimit::PerSecond),
            asked_at: at(self.asked_ms),
            heard_at: at(self.heard_ms),
        }
    }
}
