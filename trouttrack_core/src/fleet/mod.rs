//! Fleet configuration that applies to requests: routes, services and keys.

mod connections;
mod routes;
mod types;

pub use connections::idle_share;
pub use routes::{Admission, RouteTable};
pub use types::{
    CallerLimits, EngineSpec, FleetConfig, Organisation, Route, RouteKind, ServiceSpec, Share,
};
