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
pub use upstreams::{DOMAINS, EVENTS, FATAL, LONG_BY};
pub(crate) use upstreams::{LONG, Member, Upstreams};
