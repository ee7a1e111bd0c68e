//! The soak's own parts.

mod check;
mod departures;
mod ends;
mod lasting;
mod link;
mod load;
mod order;
mod paths;
mod releases;
