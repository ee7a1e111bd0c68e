//! Tests of the decision logic, which does no I/O.

mod admission;
mod buffers;
mod claims;
mod cold;
mod entries;
mod fleet_budget;
mod freshness;
mod known_load;
mod length;
mod membership;
mod placement_under_load;
mod policies;
mod quarantine;
mod rate_limited_fleet;
mod rate_limits;
mod reachability;
mod relocate;
mod retained_memory;
mod retry_rule;
mod service_rates;
mod support;
mod upstream_notices;
mod upstream_table;
mod watcher_election;
mod world;
