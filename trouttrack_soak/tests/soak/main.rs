//! The soak's own parts.

mod check;
mod link;
mod load;
