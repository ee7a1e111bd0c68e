//! The client against peers that answer byte by byte.

mod client;
mod endless;
mod given_up;
