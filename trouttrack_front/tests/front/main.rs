//! Integration tests of the front against a simulated platform.

mod bad_input;
mod buffers;
mod compatibility;
mod config;
mod entries;
mod evacuation;
mod freshness;
mod incarnations;
mod large_fleet;
mod leaving;
mod moves;
mod own_words;
mod pace;
mod peers;
mod plain;
mod rate_limits;
mod reachability;
mod repeats;
mod slow_upstreams;
mod soak;
mod starts;
mod stop;
mod store;
mod store_restored;
mod streams;
mod support;
