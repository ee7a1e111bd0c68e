//! Settings and fleets: what is right is read, what is wrong is reported.

mod changes;
mod examples;
mod fleets;
mod front;
mod settings;
