//! Revisions of the platform's store.

use crate::StoreEpoch;
use serde::de::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// A position in the history of the platform's store.
///
/// A store that is restored from a backup assigns the numbers after the backup a second time.
/// Revisions are therefore ordered by epoch first and by number within an epoch.
///
/// # Examples
///
/// ```
/// use trouttrack_core::membership::Revision;
/// let lost = Revision::new(1, 39);
/// let restored = Revision::new(2, 37);
/// assert!(restored > lost);
/// assert!(Revision::new(2, 39) > restored);
/// assert_eq!("2.37".parse(), Ok(restored));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The epoch in which the store assigned the number.
    #[serde(deserialize_with = "valid_epoch")]
    pub epoch: StoreEpoch,
    /// The store's revision number, which rises within an epoch.
    pub number: u64,
}

/// Decodes an epoch. After one that no store reaches, no response of the store would be current.
fn valid_epoch<'de, D: Deserializer<'de>>(deserializer: D) -> Result<StoreEpoch, D::Error> {
    let epoch = StoreEpoch::deserialize(deserializer)?;
    match epoch <= Revision::MAX_EPOCH {
        true => Ok(epoch),
        false => Err(D::Error::custom("epoch out of range")),
    }
}

impl Revision {
    /// The highest epoch that is decoded: no store is restored so often.
    pub const MAX_EPOCH: StoreEpoch = u32::MAX as StoreEpoch;

    /// Creates a revision from an epoch and a number.
    #[must_use]
    pub const fn new(epoch: StoreEpoch, number: u64) -> Self {
        Self { epoch, number }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.number)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    /// Parses `EPOCH.NUMBER`; a bare number belongs to epoch 0.
    fn from_str(s: &str) -> Result<Self, Self::Err> {
        let (epoch, number) = s.split_once('.').unwrap_or(("0", s));
        Ok(Self::new(epoch.parse()?, number.parse()?))
    }
}
