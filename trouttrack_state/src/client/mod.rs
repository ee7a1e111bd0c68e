//! Single calls to the object API.

mod backoff;
mod error;
mod object;
mod types;

pub use backoff::Backoff;
pub use error::{PlatformError, PlatformErrorKind, never_sent};
pub use object::ObjectClient;
pub use types::{Change, Changes, Condition, Object, Vm, VmState, Write};
