//! The client against peers that answer byte by byte.

mod client;
mod given_up;
