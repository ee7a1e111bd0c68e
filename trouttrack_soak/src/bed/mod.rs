//! The fleet: a store, upstreams, fronts, and a link before each.

mod balance;
mod config;
mod fleet;
mod kept;
mod routes;
mod upstreams;

pub(crate) use config::Configs;
pub use config::{COLD_RATE, Key, LASTING_KEY, ORGANISATION};
pub(crate) use fleet::Bed;
pub use fleet::{Evacuated, TurnedCold};
pub use routes::RouteName;
pub(crate) use routes::{ENGINES, HOST};
pub(crate) use upstreams::COMMON_PART;
pub use upstreams::{DOMAINS, EVENTS, FATAL, FATAL_PART, LONG_BY};
pub(crate) use upstreams::{LONG, Member, Upstreams};
