//! The actor that owns the decision tables and runs their systems.

mod actor;
mod messages;
mod ticket;

pub use actor::Dispatcher;
pub use messages::{
    Configure, Ended, InFlight, ListRequests, ListUpstreams, PeerUses, Progress, Refusal, Reported,
    SetLeaving, Submit, Summarise, Summary, Tick, Uses, Why,
};
pub use ticket::{Placement, Ticket};
