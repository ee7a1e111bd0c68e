//! What is done when, drawn from a seed.

mod act;
mod departures;
mod draw;
mod hard_load;
mod releases;
mod size;

pub use act::{Act, Departure, LinkFault, Place, StoreFailure};
pub use draw::{Plan, Step};
pub use size::Size;
