//! Tests of the decision logic, which does no I/O.

mod admission;
mod claims;
mod cold;
mod entries;
mod fleet_budget;
mod freshness;
mod known_load;
mod length;
mod membership;
mod policies;
mod quarantine;
mod rate_limited_fleet;
mod rate_limits;
mod relocate;
mod retry_rule;
mod support;
mod upstream_notices;
mod upstream_table;
mod watcher_election;
mod world;
