//! One request: what the caller sent, the attempts, the session that drives
//! the state machine, and what the caller is answered.

mod answer;
mod attempt;
mod body;
mod client;
mod handle;
mod plain;
mod session;
mod wire;

pub use answer::{Answer, SseWriter};
pub use attempt::{Attempt, Cancelled, Opened, Read};
pub use body::{Ask, BodyError, Face};
pub use client::{Clients, Target};
pub use handle::{Handle, HandleError, Sealer};
pub use plain::{PlainAnswer, PlainCall, run_plain};
pub(crate) use session::REJECTED;
pub use session::{Ending, Progress, Session, SessionParts};
