//! The configuration that all processes of a fleet share.
//!
//! Operators write it as INI or change it through the administration API. In
//! the platform's service it is a root that names immutable [`Part`]s by the
//! hash of their content; replacing the root is the only commit point.

mod change;
mod from_ini;
mod parts;
mod types;
mod validate;
mod view;

pub use change::{Change, DiffKind, DiffLine, EntityKind, Field, diff};
pub use from_ini::{from_document, read_file, to_ini};
pub use parts::{ChangeRef, MAX_PART, Part, PartRef, PartsError, RECENT, Root, join, split};
pub use types::{
    Evacuation, Fleet, KeyHash, Organisation, Priority, Rule, Service, ServiceKind, Target,
    Upstream, hash_key,
};
pub use validate::validate;
pub use view::{FleetView, Resolved};
