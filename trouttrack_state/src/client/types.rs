//! What the object API takes and gives.

use bytes::Bytes;
use serde::Deserialize;

/// What a write requires of the object as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// It must not exist.
    Absent,
    /// It must have this version.
    Version(u64),
}

/// An object and its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Grows with each write.
    pub version: u64,
    /// Its content, at most a megabyte.
    pub body: Bytes,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// It took effect and made this version.
    Done(u64),
    /// The condition did not hold; the object has this version (0 if absent).
    Refused(u64),
}

/// A change, as a watch tells it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Change {
    /// The object.
    pub key: String,
    /// Its version now.
    pub version: u64,
    /// Whether it is gone.
    pub deleted: bool,
}

/// What a watch or a list answers.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Changes {
    /// Where the next watch goes on.
    pub revision: u64,
    /// Whether this is every object rather than what changed.
    pub complete: bool,
    /// The changes.
    pub changes: Vec<Change>,
}

/// Whether a VM lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It serves.
    Live,
    /// It has been told to go.
    Leaving,
}

/// One line of the VM list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Where its processes listen, by IP.
    pub addr: String,
    /// Where it stands.
    pub failure_domain: String,
    /// Whether it lives.
    pub state: VmState,
}
