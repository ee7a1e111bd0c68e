//! State that the request path bases its decisions on, one type per concern.

mod budgets;
mod buffers;
mod clock;
mod deferred;
mod front;
mod intake;
mod lifecycle;
mod origins;
mod quarantine;
mod reachability;
mod removals;
mod routing;
mod scheduler;
mod store_contact;
mod ticket;
mod upstream;
mod upstreams;
mod versions;

pub use budgets::Budgets;
pub use buffers::{Buffers, HeldBytes, ReaderEnded};
pub use clock::Clock;
pub use front::Front;
pub use intake::IntakeState;
pub use lifecycle::{InFlight, Lifecycle};
pub use origins::Origins;
pub use quarantine::{QuarantineState, parts_text, text as fingerprint_text};
pub use routing::Routing;
pub use scheduler::{Placed, Refusal, Scheduler};
pub use store_contact::StoreContact;
pub use ticket::Ticket;
pub use upstream::Upstream;
pub use upstreams::{Seen, Upstreams};
pub use versions::Versions;
